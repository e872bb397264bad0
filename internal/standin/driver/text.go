package driver

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// String returns the progress in one line.
func (p Progress) String() string {
	return fmt.Sprintf("%s of %s: %d sent, %d completed, %d not run, %d unknown or cut, %d broken promises",
		p.Elapsed.Round(time.Second), p.Duration, p.Sent, p.Ended.Completed, p.Ended.NotRun,
		p.Ended.Unknown+p.Ended.Cut+p.Ended.Unanswered, p.Broken)
}

// WriteText writes the main figures as text.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) {
		fmt.Fprintf(t, name+"\t"+format+"\n", args...)
	}
	e := &r.All.Endings
	line("calls", "%d in %.1f s: %d completed, %d not run, %d unknown, %d cut, %d unanswered, %d past their deadline",
		e.Calls, r.Seconds, e.Completed, e.NotRun, e.Unknown, e.Cut, e.Unanswered, e.PastDeadline)
	line("sent again", "%d: %d completed, %d not run, %d unknown", r.Resent.Calls, r.Resent.Completed, r.Resent.NotRun, r.Resent.Unknown)
	if r.WarmUp.Calls > 0 {
		line("warm-up", "%d calls in %g s before: %d completed", r.WarmUp.Calls, r.Parameters.WarmUpSeconds, r.WarmUp.Completed)
	}
	if r.Stopped {
		line("", "stopped before its time")
	}
	for i := range r.Causes {
		c := &r.Causes[i]
		line("", "%d %s, status %d %s", c.Calls, c.Ending, c.Status, c.Code)
	}
	line("not completed", "took %.2f s in all", r.All.InVainSeconds)
	line("sent late", "%s", r.LatenessMillis.text())
	line("total", "%s", r.All.TotalMillis.text())
	line("first token", "%s", r.All.FirstTokenMillis.text())
	line("between tokens", "%s", r.All.BetweenTokenMillis.text())
	line("load stall", "%s", r.All.Stall.text())
	line("queue", "%s", r.All.Queue.text())
	line("engines", "%s", r.Engines.text())
	for _, fault := range r.Faults {
		line("fault", "%s", fault)
	}
	for i := range r.Workspaces {
		s := &r.Workspaces[i]
		line(s.Name, "%d calls, %d completed, %d not run; total %s", s.Endings.Calls, s.Endings.Completed, s.Endings.NotRun, s.TotalMillis.text())
	}
	for i := range r.Promises {
		line(r.Promises[i].Promise.String()+" broken", "%s", r.Promises[i].text())
		for _, example := range r.Promises[i].Examples {
			line("", "%s", example)
		}
	}
	return errors.Annotate(t.Flush(), "write report")
}

func (q *Quantiles) text() string {
	if q == nil {
		return notObserved
	}
	return fmt.Sprintf("p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, most %.1f ms", q.P50, q.P95, q.P99, q.Max)
}

func (w *Waits) text() string {
	if w.TotalSeconds == nil {
		return notObserved
	}
	return fmt.Sprintf("%.2f s in all, %d of %d calls; %s; %d calls without the figure",
		*w.TotalSeconds, w.Above, w.Known, w.Millis.text(), w.Absent)
}

func (e *EngineFigures) text() string {
	if e == nil {
		return notObserved
	}
	fill := notObserved
	if e.BatchFill != nil {
		fill = strconv.FormatFloat(*e.BatchFill*100, 'f', 1, 64) + " %"
	}
	return fmt.Sprintf("batch fill %s, %d loads (%.2f/s), %d evictions, %d of them needed again within %.1f s",
		fill, e.Loads, e.LoadsPerSecond, e.Evictions, e.NeededAgain, e.NeededWithinSeconds)
}
