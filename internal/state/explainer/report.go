package explainer

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Count is a number of calls and their middle and long times, in milliseconds.
type Count struct {
	Calls   int
	Middle  float64
	Longest float64
}

// CallRow tells of the calls of one route with one outcome and cause.
type CallRow struct {
	Route   string
	Outcome string
	Cause   string
	Count
}

// ReasonRow counts the refusals of one process for one reason.
type ReasonRow struct {
	Node   string
	Reason string
	Calls  int
}

// LoadRow tells of the loads of one cause.
type LoadRow struct {
	Cause string
	Count
}

// DomainRow tells of what went to engines and services in the entry's own failure
// domain, or in others.
type DomainRow struct {
	Away  bool
	Calls int
	Bytes int64
}

// EndRow tells of a request under which more than one life of backend servers ended.
type EndRow struct {
	// Same is the request's identity.
	Same string
	// Lives counts the lives, and Sendings those that broke with them.
	Lives    int
	Sendings int
}

// Report is what a log says.
type Report struct {
	Ends    []EndRow
	Calls   []CallRow
	Reasons []ReasonRow
	Loads   []LoadRow
	Domains []DomainRow
	Lines   int
	Others  int
	Skipped int
	Broken  []string
}

// Report works the log out. The lines must have been sorted.
func (l *Log) Report() Report {
	r := Report{Lines: len(l.Lines), Others: l.Others, Skipped: l.Skipped}
	for _, b := range l.Broken {
		r.Broken = append(r.Broken, b.String())
	}
	loads := l.loads()
	byAdapter, byCause := make(map[string][]load), make(map[LoadCause][]float64)
	for _, d := range loads {
		byAdapter[d.adapter] = append(byAdapter[d.adapter], d)
		byCause[d.cause] = append(byCause[d.cause], float64(d.took))
	}
	for _, cause := range slices.Sorted(maps.Keys(byCause)) {
		r.Loads = append(r.Loads, LoadRow{Cause: cause.String(), Count: count(byCause[cause])})
	}
	l.reportCalls(&r, byAdapter)
	r.Ends = l.ends()
	return r
}

// fateEnded is the Fate of a backend server whose life has ended.
const fateEnded = "Ended"

// ends returns the requests under which lives ended, those with most lives first. One with
// a single life is left out: whatever a backend server ran when it ended has one.
func (l *Log) ends() []EndRow {
	lives, sendings := make(map[string]map[string]struct{}), make(map[string]int)
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Message != messageBroke || line.Fate != fateEnded {
			continue
		}
		for _, same := range line.sames() {
			if lives[same] == nil {
				lives[same] = make(map[string]struct{})
			}
			lives[same][line.Backend+"/"+line.Incarnation] = struct{}{}
			sendings[same]++
		}
	}
	var rows []EndRow
	for same, of := range lives {
		if len(of) > 1 {
			rows = append(rows, EndRow{Same: same, Lives: len(of), Sendings: sendings[same]})
		}
	}
	slices.SortFunc(rows, func(a, b EndRow) int {
		return cmp.Or(cmp.Compare(b.Lives, a.Lives), cmp.Compare(a.Same, b.Same))
	})
	return rows
}

func (l *Log) reportCalls(r *Report, loads map[string][]load) {
	calls, reasons, domains := make(map[CallRow][]float64), make(map[ReasonRow]int), make(map[bool]DomainRow)
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Message != messageCall {
			continue
		}
		row := CallRow{Route: line.Route, Outcome: line.Outcome, Cause: explain(line, loads[line.Adapter]).String()}
		calls[row] = append(calls[row], float64(line.Took))
		if line.Outcome == outcomeRefused {
			reasons[ReasonRow{Node: line.Node, Reason: line.Reason}]++
		}
		if line.Backend != "" {
			d := domains[line.Away]
			domains[line.Away] = DomainRow{Away: line.Away, Calls: d.Calls + 1, Bytes: d.Bytes + line.Bytes}
		}
	}
	for row, times := range calls {
		row.Count = count(times)
		r.Calls = append(r.Calls, row)
	}
	slices.SortFunc(r.Calls, func(a, b CallRow) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	for row, n := range reasons {
		row.Calls = n
		r.Reasons = append(r.Reasons, row)
	}
	slices.SortFunc(r.Reasons, func(a, b ReasonRow) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Reason, b.Reason))
	})
	for _, away := range []bool{false, true} {
		if d, ok := domains[away]; ok {
			r.Domains = append(r.Domains, d)
		}
	}
}

// longShare is the share of the times that Longest stands for.
const longShare = 0.9

func count(times []float64) Count {
	slices.Sort(times)
	return Count{
		Calls: len(times), Middle: times[len(times)/2],
		Longest: times[min(len(times)-1, int(longShare*float64(len(times))))],
	}
}

// WriteText writes the report as tables.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "route\toutcome\tcause\tcalls\tmiddle ms\t9 in 10 ms")
	for _, c := range r.Calls {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%.1f\n", c.Route, c.Outcome, c.Cause, c.Calls, c.Middle, c.Longest)
	}
	fmt.Fprintln(w, "\nrefused by\treason\tcalls")
	for _, c := range r.Reasons {
		fmt.Fprintf(w, "%s\t%s\t%d\n", c.Node, c.Reason, c.Calls)
	}
	if len(r.Ends) > 0 {
		fmt.Fprintln(w, "\nbackend servers ended under\tlives\tsendings")
	}
	for _, e := range r.Ends {
		fmt.Fprintf(w, "%s\t%d\t%d\n", e.Same, e.Lives, e.Sendings)
	}
	fmt.Fprintln(w, "\nload\tloads\tmiddle ms\t9 in 10 ms")
	for _, c := range r.Loads {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\n", c.Cause, c.Calls, c.Middle, c.Longest)
	}
	fmt.Fprintln(w, "\nfailure domain\tcalls\tbytes of answers")
	for _, d := range r.Domains {
		name := "own"
		if d.Away {
			name = "another"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\n", name, d.Calls, d.Bytes)
	}
	fmt.Fprintf(w, "\n%d lines read, %d without a JSON object, %d skipped\n", r.Lines, r.Others, r.Skipped)
	for _, b := range r.Broken {
		fmt.Fprintln(w, "skipped:", b)
	}
	return w.Flush()
}
