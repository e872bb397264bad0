package driver

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// notObserved is the text for a figure that was not observed.
const notObserved = "not observed"

// Compare writes the figures of two reports side by side, with the ratio of b to a.
func Compare(w io.Writer, a, b *Report) error {
	var c comparison
	c.addLine("", reportName(a), reportName(b), "B/A")
	c.addLine("workload", a.Workload, b.Workload, "")
	c.addLine("seed", strconv.FormatUint(a.Parameters.Seed, 10), strconv.FormatUint(b.Parameters.Seed, 10), "")
	c.addFigures(a, b)
	c.addPromises(a, b)
	return c.write(w)
}

func reportName(r *Report) string {
	if r.Label == "" {
		return r.Workload
	}
	return r.Label
}

// comparison holds the lines of a comparison.
type comparison struct {
	lines []comparisonLine
}

// comparisonLine holds the name, the two figures and their ratio.
type comparisonLine struct{ name, a, b, ratio string }

func (c *comparison) addLine(name, a, b, ratio string) {
	c.lines = append(c.lines, comparisonLine{name, a, b, ratio})
}

// write writes the lines with names aligned left and figures aligned right.
func (c *comparison) write(w io.Writer) error {
	var widths comparisonLine
	widen := func(width *string, text string) {
		if len(text) > len(*width) {
			*width = text
		}
	}
	for _, l := range c.lines {
		widen(&widths.name, l.name)
		widen(&widths.a, l.a)
		widen(&widths.b, l.b)
		widen(&widths.ratio, l.ratio)
	}
	for _, l := range c.lines {
		text := fmt.Sprintf("%-*s  %*s  %*s  %*s", len(widths.name), l.name,
			len(widths.a), l.a, len(widths.b), l.b, len(widths.ratio), l.ratio)
		if _, err := fmt.Fprintln(w, strings.TrimRight(text, " ")); err != nil {
			return errors.Annotate(err, "write comparison")
		}
	}
	return nil
}

// addFigure adds one figure of both reports; nil means not observed.
func (c *comparison) addFigure(name string, a, b *float64, decimals int) {
	ratio := ""
	if a != nil && b != nil && *a != 0 {
		ratio = strconv.FormatFloat(*b / *a, 'f', 2, 64)
	}
	c.addLine(name, figureText(a, decimals), figureText(b, decimals), ratio)
}

func figureText(v *float64, decimals int) string {
	if v == nil {
		return notObserved
	}
	return strconv.FormatFloat(*v, 'f', decimals, 64)
}

func (c *comparison) addCount(name string, a, b int64) {
	x, y := float64(a), float64(b)
	c.addFigure(name, &x, &y, 0)
}

// addQuantiles adds the median and the tail of a time.
func (c *comparison) addQuantiles(name string, a, b *Quantiles) {
	for _, line := range []struct {
		name string
		of   func(*Quantiles) float64
	}{
		{"p50", func(q *Quantiles) float64 { return q.P50 }},
		{"p95", func(q *Quantiles) float64 { return q.P95 }},
		{"p99", func(q *Quantiles) float64 { return q.P99 }},
	} {
		c.addFigure(name+" "+line.name+", ms", quantile(a, line.of), quantile(b, line.of), 1)
	}
}

func (c *comparison) addFigures(a, b *Report) {
	c.addCount("calls", a.All.Endings.Calls, b.All.Endings.Calls)
	c.addCount("completed", a.All.Endings.Completed, b.All.Endings.Completed)
	c.addCount("not run", a.All.Endings.NotRun, b.All.Endings.NotRun)
	c.addCount("unknown", a.All.Endings.Unknown, b.All.Endings.Unknown)
	c.addCount("cut", a.All.Endings.Cut, b.All.Endings.Cut)
	c.addCount("unanswered", a.All.Endings.Unanswered, b.All.Endings.Unanswered)
	c.addCount("past deadline", a.All.Endings.PastDeadline, b.All.Endings.PastDeadline)
	c.addFigure("time of calls not completed, s", &a.All.InVainSeconds, &b.All.InVainSeconds, 2)
	c.addFigure("load stall in all, s", a.All.Stall.TotalSeconds, b.All.Stall.TotalSeconds, 2)
	c.addQuantiles("load stall", a.All.Stall.Millis, b.All.Stall.Millis)
	c.addFigure("queue in all, s", a.All.Queue.TotalSeconds, b.All.Queue.TotalSeconds, 2)
	c.addQuantiles("queue", a.All.Queue.Millis, b.All.Queue.Millis)
	c.addEngines(a.Engines, b.Engines)
	c.addQuantiles("total", a.All.TotalMillis, b.All.TotalMillis)
	c.addQuantiles("first token", a.All.FirstTokenMillis, b.All.FirstTokenMillis)
	c.addQuantiles("between tokens", a.All.BetweenTokenMillis, b.All.BetweenTokenMillis)
	for i := range a.Workspaces {
		other := &WorkspaceFigures{}
		for j := range b.Workspaces {
			if b.Workspaces[j].Name == a.Workspaces[i].Name {
				other = &b.Workspaces[j]
			}
		}
		name := a.Workspaces[i].Name
		p99 := func(q *Quantiles) float64 { return q.P99 }
		c.addFigure(name+" p99, ms", quantile(a.Workspaces[i].OutsideRush, p99), quantile(other.OutsideRush, p99), 1)
		c.addFigure(name+" p99 in the rush, ms", quantile(a.Workspaces[i].DuringRush, p99), quantile(other.DuringRush, p99), 1)
	}
}

func (c *comparison) addEngines(a, b *EngineFigures) {
	of := func(e *EngineFigures, value func(*EngineFigures) float64) *float64 {
		if e == nil {
			return nil
		}
		v := value(e)
		return &v
	}
	fill := func(e *EngineFigures) *float64 {
		if e == nil || e.BatchFill == nil {
			return nil
		}
		percent := *e.BatchFill * 100
		return &percent
	}
	c.addFigure("batch fill, %", fill(a), fill(b), 2)
	for _, line := range []struct {
		name     string
		decimals int
		value    func(*EngineFigures) float64
	}{
		{"loads", 0, func(e *EngineFigures) float64 { return float64(e.Loads) }},
		{"loads per second", 2, func(e *EngineFigures) float64 { return e.LoadsPerSecond }},
		{"evictions", 0, func(e *EngineFigures) float64 { return float64(e.Evictions) }},
	} {
		c.addFigure(line.name, of(a, line.value), of(b, line.value), line.decimals)
	}
	// Counts over different reload windows have no ratio.
	again := func(e *EngineFigures) float64 { return float64(e.NeededAgain) }
	if a != nil && b != nil && a.NeededWithinSeconds != b.NeededWithinSeconds {
		c.addLine("evictions needed again", a.reloadText(), b.reloadText(), "")
		return
	}
	c.addFigure("evictions needed again", of(a, again), of(b, again), 0)
}

func (e *EngineFigures) reloadText() string {
	return fmt.Sprintf("%d within %g s", e.NeededAgain, e.NeededWithinSeconds)
}

// addPromises adds the number of failed checks and of all checks of each promise.
func (c *comparison) addPromises(a, b *Report) {
	for i := range a.Promises {
		other := PromiseFigures{}
		for j := range b.Promises {
			if b.Promises[j].Promise == a.Promises[i].Promise {
				other = b.Promises[j]
			}
		}
		c.addLine(a.Promises[i].Promise.String()+" broken", a.Promises[i].text(), other.text(), "")
	}
}

// text returns the figures as "2 of 10".
func (p *PromiseFigures) text() string {
	if p.Tried == nil || p.Broken == nil {
		return notObserved
	}
	return strconv.FormatInt(*p.Broken, 10) + " of " + strconv.FormatInt(*p.Tried, 10)
}
