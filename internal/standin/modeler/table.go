package modeler

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// Row contains the results of a pattern over several seeds: means, and the standard error
// InTimeError of InTime.
type Row struct {
	Pattern                                    string
	Without                                    string
	Seeds                                      int
	InTime, InTimeError, Late, Lost, Worst     float64
	Away, First, Copies, WarmLoads, TurnedAway float64
	Ended, Repeated, Innocent                  float64
	Reports                                    float64
	// LimitedMost is the largest over all seeds.
	LimitedMost int
	LimitedUse  float64
}

// SimulateSeeds simulates a pattern with the seeds 1 to seeds, of which at most atOnce
// run concurrently, and returns the means.
func SimulateSeeds(p Pattern, without []Mechanism, seeds, atOnce int) (Row, error) {
	results := make([]*Result, seeds)
	var g errgroup.Group
	g.SetLimit(max(1, atOnce))
	for i := range seeds {
		g.Go(func() error {
			r, err := Simulate(Settings{Pattern: p, Without: without, Seed: uint64(i + 1)})
			results[i] = r
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return Row{}, err
	}
	row := Row{Pattern: p.Name, Without: name(without), Seeds: seeds}
	var squares float64
	n := float64(seeds)
	for _, r := range results {
		row.InTime += r.InTime() / n
		squares += r.InTime() * r.InTime() / n
		row.Late += r.Late() / n
		row.Lost += r.Lost() / n
		row.Worst += r.Worst() / n
		row.Away += r.Away() / n
		row.First += float64(r.First) / n
		row.Copies += float64(r.Copies) / n
		row.WarmLoads += float64(r.Warm) / n
		row.TurnedAway += float64(r.TurnedAway) / n
		row.Ended += float64(r.Ended) / n
		row.Repeated += float64(r.Repeated) / n
		row.Innocent += float64(r.Innocent) / n
		row.Reports += float64(r.Reports) / n
		row.LimitedMost = max(row.LimitedMost, r.LimitedMost)
		row.LimitedUse += r.LimitedUse / n
	}
	row.InTimeError = math.Sqrt(max(0, squares-row.InTime*row.InTime) / max(1, n-1))
	return row, nil
}

func name(without []Mechanism) string {
	text := ""
	for i, m := range without {
		if i > 0 {
			text += ","
		}
		text += m.String()
	}
	return text
}

// WriteTable writes the rows as a text table.
func WriteTable(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "pattern\twithout\tseeds\tin time\t+-\tlate\tlost\tworst windows\taway\tfirst loads\tcopies\twarm\tturned away\tended\trepeated\tinnocent\treports\tmost under limit\tuse of limit")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%.2f\n",
			r.Pattern, r.Without, r.Seeds, r.InTime, r.InTimeError, r.Late, r.Lost, r.Worst, r.Away, r.First, r.Copies, r.WarmLoads, r.TurnedAway, r.Ended, r.Repeated, r.Innocent, r.Reports, r.LimitedMost, r.LimitedUse)
	}
	return w.Flush()
}
