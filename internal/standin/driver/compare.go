package driver

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// notObserved stands for a figure that nobody observed.
const notObserved = "not observed"

// Compare writes the figures of two reports side by side, with the ratio of the
// second to the first.
func Compare(w io.Writer, a, b *Report) error {
	var c comparison
	c.texts("", reportName(a), reportName(b), "B/A")
	c.texts("workload", a.Workload, b.Workload, "")
	c.texts("seed", strconv.FormatUint(a.Parameters.Seed, 10), strconv.FormatUint(b.Parameters.Seed, 10), "")
	c.figures(a, b)
	c.promises(a, b)
	return c.write(w)
}

func reportName(r *Report) string {
	if r.Label == "" {
		return r.Workload
	}
	return r.Label
}

// comparison gathers the lines of a comparison.
type comparison struct {
	lines []comparisonLine
}

// comparisonLine is one line: the name and the two figures with their ratio.
type comparisonLine struct{ name, a, b, ratio string }

func (c *comparison) texts(name, a, b, ratio string) {
	c.lines = append(c.lines, comparisonLine{name, a, b, ratio})
}

// write writes the lines with the names to the left and the figures to the right.
func (c *comparison) write(w io.Writer) error {
	var widest comparisonLine
	wider := func(width *string, text string) {
		if len(text) > len(*width) {
			*width = text
		}
	}
	for _, l := range c.lines {
		wider(&widest.name, l.name)
		wider(&widest.a, l.a)
		wider(&widest.b, l.b)
		wider(&widest.ratio, l.ratio)
	}
	for _, l := range c.lines {
		text := fmt.Sprintf("%-*s  %*s  %*s  %*s", len(widest.name), l.name,
			len(widest.a), l.a, len(widest.b), l.b, len(widest.ratio), l.ratio)
		if _, err := fmt.Fprintln(w, strings.TrimRight(text, " ")); err != nil {
			return errors.Annotate(err, "comparison")
		}
	}
	return nil
}

// figure writes one figure of both reports; nil was not observed.
func (c *comparison) figure(name string, a, b *float64, decimals int) {
	ratio := ""
	if a != nil && b != nil && *a != 0 {
		ratio = strconv.FormatFloat(*b / *a, 'f', 2, 64)
	}
	c.texts(name, figureText(a, decimals), figureText(b, decimals), ratio)
}

func figureText(v *float64, decimals int) string {
	if v == nil {
		return notObserved
	}
	return strconv.FormatFloat(*v, 'f', decimals, 64)
}

func (c *comparison) count(name string, a, b int64) {
	x, y := float64(a), float64(b)
	c.figure(name, &x, &y, 0)
}

// quantiles writes the mean and the tail of a time.
func (c *comparison) quantiles(name string, a, b *Quantiles) {
	for _, line := range []struct {
		name string
		of   func(*Quantiles) float64
	}{
		{"p50", func(q *Quantiles) float64 { return q.P50 }},
		{"p95", func(q *Quantiles) float64 { return q.P95 }},
		{"p99", func(q *Quantiles) float64 { return q.P99 }},
	} {
		c.figure(name+" "+line.name+", ms", quantile(a, line.of), quantile(b, line.of), 1)
	}
}

func (c *comparison) figures(a, b *Report) {
	c.count("calls", a.All.Endings.Calls, b.All.Endings.Calls)
	c.count("completed", a.All.Endings.Completed, b.All.Endings.Completed)
	c.count("not run", a.All.Endings.NotRun, b.All.Endings.NotRun)
	c.count("unknown", a.All.Endings.Unknown, b.All.Endings.Unknown)
	c.count("cut", a.All.Endings.Cut, b.All.Endings.Cut)
	c.count("unanswered", a.All.Endings.Unanswered, b.All.Endings.Unanswered)
	c.count("past deadline", a.All.Endings.PastDeadline, b.All.Endings.PastDeadline)
	c.figure("time of calls not completed, s", &a.All.InVainSeconds, &b.All.InVainSeconds, 2)
	c.figure("load stall in all, s", a.All.Stall.TotalSeconds, b.All.Stall.TotalSeconds, 2)
	c.quantiles("load stall", a.All.Stall.Millis, b.All.Stall.Millis)
	c.figure("queue in all, s", a.All.Queue.TotalSeconds, b.All.Queue.TotalSeconds, 2)
	c.quantiles("queue", a.All.Queue.Millis, b.All.Queue.Millis)
	c.engines(a.Engines, b.Engines)
	c.quantiles("total", a.All.TotalMillis, b.All.TotalMillis)
	c.quantiles("first token", a.All.FirstTokenMillis, b.All.FirstTokenMillis)
	c.quantiles("between tokens", a.All.BetweenTokenMillis, b.All.BetweenTokenMillis)
	for i := range a.Workspaces {
		other := &WorkspaceFigures{}
		for j := range b.Workspaces {
			if b.Workspaces[j].Name == a.Workspaces[i].Name {
				other = &b.Workspaces[j]
			}
		}
		name := a.Workspaces[i].Name
		p99 := func(q *Quantiles) float64 { return q.P99 }
		c.figure(name+" p99, ms", quantile(a.Workspaces[i].OutsideRush, p99), quantile(other.OutsideRush, p99), 1)
		c.figure(name+" p99 in the rush, ms", quantile(a.Workspaces[i].DuringRush, p99), quantile(other.DuringRush, p99), 1)
	}
}

func (c *comparison) engines(a, b *EngineFigures) {
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
	c.figure("batch fill, %", fill(a), fill(b), 2)
	for _, line := range []struct {
		name     string
		decimals int
		value    func(*EngineFigures) float64
	}{
		{"loads", 0, func(e *EngineFigures) float64 { return float64(e.Loads) }},
		{"loads per second", 2, func(e *EngineFigures) float64 { return e.LoadsPerSecond }},
		{"evictions", 0, func(e *EngineFigures) float64 { return float64(e.Evictions) }},
	} {
		c.figure(line.name, of(a, line.value), of(b, line.value), line.decimals)
	}
	// Counts within different times have no ratio.
	again := func(e *EngineFigures) float64 { return float64(e.NeededAgain) }
	if a != nil && b != nil && a.NeededWithinSeconds != b.NeededWithinSeconds {
		c.texts("evictions needed again", a.againText(), b.againText(), "")
		return
	}
	c.figure("evictions needed again", of(a, again), of(b, again), 0)
}

func (e *EngineFigures) againText() string {
	return fmt.Sprintf("%d within %g s", e.NeededAgain, e.NeededWithinSeconds)
}

// promises writes how often each promise was broken, of how many tries.
func (c *comparison) promises(a, b *Report) {
	for i := range a.Promises {
		other := PromiseFigures{}
		for j := range b.Promises {
			if b.Promises[j].Promise == a.Promises[i].Promise {
				other = b.Promises[j]
			}
		}
		c.texts(a.Promises[i].Promise.String()+" broken", a.Promises[i].text(), other.text(), "")
	}
}

// text returns the figures as "2 of 10".
func (p *PromiseFigures) text() string {
	if p.Tried == nil || p.Broken == nil {
		return notObserved
	}
	return strconv.FormatInt(*p.Broken, 10) + " of " + strconv.FormatInt(*p.Tried, 10)
}
