package demonstrator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
)

// FaultReportFormat is the version number of the format of FaultReport.
const FaultReportFormat = 1

// FaultReport is the result of a FaultRun.
type FaultReport struct {
	Format   int
	Workload string
	Seed     uint64
	Rounds   int
	Seconds  float64
	Faults   []FaultFigures
}

// FaultFigures is the result of one fault in one round.
type FaultFigures struct {
	Fault Fault
	Round int
	// Detail names the processes or connections that the fault affected.
	Detail  string
	Seconds float64
	// RecoverySeconds is the time from the end of the fault until the deployment
	// had recovered, as defined at Recovers.
	RecoverySeconds float64
	// Streams counts the long streams in progress at the start of the fault,
	// StreamsWhole those whose callers received the complete answer.
	Streams      int
	StreamsWhole int
	// FirstTokenMaxMillis is the longest time to the first token of these streams.
	FirstTokenMaxMillis int64
	Operators           OperatorFigures
	Endings             driver.EndingCounts
	// Promises holds the promises that this package checks, CallPromises those that
	// the load driver checks.
	Promises     []FaultPromiseFigures
	CallPromises []driver.PromiseFigures
	// Notes holds errors that do not by themselves break a promise.
	Notes []string `json:",omitempty"`
}

// Broken returns the number of broken promises.
func (r *FaultReport) Broken() int64 {
	count := int64(0)
	for i := range r.Faults {
		count += r.Faults[i].broken()
	}
	return count
}

func (g *FaultFigures) broken() int64 {
	count := int64(0)
	for _, p := range g.Promises {
		count += p.Broken
	}
	for _, p := range g.CallPromises {
		if p.Broken != nil {
			count += *p.Broken
		}
	}
	return count
}

// WriteJSON writes the report as indented JSON.
func (r *FaultReport) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return errors.Annotate(e.Encode(r), "report")
}

// WriteText writes the figures of one fault as text, with the numbers of checks
// and failures of each promise.
func (g *FaultFigures) WriteText(w io.Writer) error {
	verdict := "held"
	if n := g.broken(); n > 0 {
		verdict = fmt.Sprintf("%d BROKEN", n)
	}
	fmt.Fprintf(w, "%s, round %d: %s (%s; %.1f s, recovered in %.1f s)\n", g.Fault, g.Round, verdict, g.Detail, g.Seconds, g.RecoverySeconds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	e := &g.Endings
	fmt.Fprintf(t, "  calls\t%d: %d completed, %d not run, %d unknown, %d cut, %d unanswered; %d of %d long streams whole, first token after %d ms at most\n",
		e.Calls, e.Completed, e.NotRun, e.Unknown, e.Cut, e.Unanswered, g.StreamsWhole, g.Streams, g.FirstTokenMaxMillis)
	o := &g.Operators
	fmt.Fprintf(t, "  changes\t%d accepted, %d lost races, %d sent again, %d unresolved; in force after %d ms at most\n",
		o.Accepted, o.Conflicts, o.Resent, o.Unresolved, o.InForceMaxMillis)
	for _, p := range g.Promises {
		writePromise(t, p.Promise.String(), p.Broken, p.Tried, p.Examples)
	}
	for _, p := range g.CallPromises {
		if p.Tried != nil && *p.Tried > 0 {
			writePromise(t, p.Promise.String(), *p.Broken, *p.Tried, p.Examples)
		}
	}
	for _, n := range g.Notes {
		fmt.Fprintf(t, "  note\t%s\n", n)
	}
	return errors.Annotate(t.Flush(), "report")
}

func writePromise(w io.Writer, name string, broken, tried int64, examples []string) {
	fmt.Fprintf(w, "  %s\t%d of %d broken\n", name, broken, tried)
	for _, e := range examples {
		fmt.Fprintf(w, "  \t  %s\n", e)
	}
}

// WriteSummary writes the sums of each promise over all faults, and the faults
// that broke one.
func (r *FaultReport) WriteSummary(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d faults in %.1f s, seed %d\n", len(r.Faults), r.Seconds, r.Seed)
	var names []string
	sums := make(map[string]*FaultPromiseFigures)
	add := func(name string, broken, tried int64) {
		if sums[name] == nil {
			sums[name] = &FaultPromiseFigures{}
			names = append(names, name)
		}
		sums[name].Broken += broken
		sums[name].Tried += tried
	}
	for i := range r.Faults {
		for _, p := range r.Faults[i].CallPromises {
			if p.Tried != nil {
				add(p.Promise.String(), *p.Broken, *p.Tried)
			}
		}
	}
	for i := range r.Faults {
		for _, p := range r.Faults[i].Promises {
			add(p.Promise.String(), p.Broken, p.Tried)
		}
	}
	for _, n := range names {
		writePromise(t, n, sums[n].Broken, sums[n].Tried, nil)
	}
	var broken []string
	for i := range r.Faults {
		if r.Faults[i].broken() > 0 {
			broken = append(broken, fmt.Sprintf("%s (round %d)", r.Faults[i].Fault, r.Faults[i].Round))
		}
	}
	if len(broken) > 0 {
		fmt.Fprintf(t, "broken in\t%s\n", strings.Join(broken, ", "))
	}
	return errors.Annotate(t.Flush(), "report")
}
