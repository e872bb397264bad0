package driver

import (
	"cmp"
	"encoding/json"
	"io"
	"os"
	"slices"

	"github.com/juju/errors"
)

// ReportFormat is the version of the current report format.
const ReportFormat = 1

// Report is the result of a run. A nil figure was not observed.
type Report struct {
	Format     int
	Workload   string
	Parameters Parameters
	Sizes      Sizes
	// Label identifies the run, for example by the policy of the deployment.
	Label string
	// Seconds is the time from the start of the run to the last answer.
	Seconds float64
	// Stopped reports whether the run was ended before its scheduled duration.
	Stopped bool
	// WarmUp counts the calls of the warm-up. Their promises are checked as those of
	// all calls, but only Series includes them among the other figures.
	WarmUp EndingCounts
	All    GroupFigures
	// LatenessMillis is the time between the intended and the actual send time. High
	// values mean that the driver itself was short of processor time.
	LatenessMillis *Quantiles
	// Resent counts the intentional duplicates of calls with an Idempotency-Key.
	Resent EndingCounts
	// Causes count the calls that were not completed by cause, the most frequent
	// first.
	Causes     []CauseFigures
	Kinds      []KindFigures
	Workspaces []WorkspaceFigures
	Engines    *EngineFigures
	Promises   []PromiseFigures
	// Faults are the first errors of connections and observers.
	Faults []string `json:",omitempty"`
	Series []Point
}

// Cause is the answer to a call that was not completed, as its caller sees it.
type Cause struct {
	Ending Ending
	// Status is the HTTP status; 0 if there was no answer.
	Status int
	// Code is the error code; it may be empty.
	Code string
}

// CauseFigures counts the calls of one cause.
type CauseFigures struct {
	Cause
	Calls int64
}

// causeFigures returns the causes, the most frequent first.
func causeFigures(counts map[Cause]int64) []CauseFigures {
	var found []CauseFigures
	for cause, calls := range counts {
		found = append(found, CauseFigures{Cause: cause, Calls: calls})
	}
	slices.SortFunc(found, func(a, b CauseFigures) int {
		return cmp.Or(
			cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Ending, b.Ending),
			cmp.Compare(a.Status, b.Status), cmp.Compare(a.Code, b.Code),
		)
	})
	return found
}

// Parameters are the settings of the run.
type Parameters struct {
	Seed            uint64
	DurationSeconds float64
	// WarmUpSeconds is the part of the duration that is excluded from the measurement.
	WarmUpSeconds float64
	TimeScale     float64
	RateScale     float64
	MaxCalls      int
	MaxInFlight   int
	Balance       Balance
	CheckText     bool
	// Rate is the workload's mean number of calls per second before scaling.
	Rate         float64
	ZipfExponent float64
	ShiftAt      float64
	RushFrom     float64
	RushTo       float64
	RushRate     float64
	RushAdapters int
	// RushWorkspace is empty if there is no rush.
	RushWorkspace string
}

// Sizes describe the workload and the deployment of the run.
type Sizes struct {
	Workspaces int
	Adapters   int
	Entries    int
	// Engines and Services count those whose records or metrics were read.
	Engines  int
	Services int
}

// GroupFigures are the figures of one set of calls. Latencies are those of completed calls,
// measured from the intended send time.
type GroupFigures struct {
	Endings     EndingCounts
	TotalMillis *Quantiles
	// FirstTokenMillis and BetweenTokenMillis are of streamed calls.
	FirstTokenMillis   *Quantiles
	BetweenTokenMillis *Quantiles
	// Stall is the time that calls waited for an adapter load, Queue the time that they
	// waited for batch capacity, as reported by the deployment.
	Stall Waits
	Queue Waits
	// InVainSeconds is the total time of the calls that were not completed. No latency
	// includes them, so that without this figure a deployment would look fast if it
	// refused the calls that would have waited long.
	InVainSeconds float64
}

// KindFigures are the figures of one kind of call.
type KindFigures struct {
	Kind CallKind
	GroupFigures
}

// WorkspaceFigures are the figures of one workspace.
type WorkspaceFigures struct {
	Name string
	GroupFigures
	// DuringRush and OutsideRush are the total latencies of the workspace's calls to
	// engines, without the calls of the rush itself.
	DuringRush  *Quantiles
	OutsideRush *Quantiles
}

// Report sets the figures of r that the tally counts.
func (t *Tally) Report(w *Workload, r *Report) {
	r.All = t.all.figures()
	r.LatenessMillis = t.lateness.quantiles()
	r.WarmUp, r.Resent = t.warmUpCalls, t.resent
	r.Causes = causeFigures(t.causes)
	r.Kinds, r.Workspaces = nil, nil
	for k := range t.kinds {
		if t.kinds[k].endings.Calls > 0 {
			r.Kinds = append(r.Kinds, KindFigures{Kind: CallKind(k), GroupFigures: t.kinds[k].figures()})
		}
	}
	for i := range w.Workspaces {
		r.Workspaces = append(r.Workspaces, WorkspaceFigures{
			Name:         w.Workspaces[i].Name,
			GroupFigures: t.workspaces[i].figures(),
			DuringRush:   t.duringRush[i].quantiles(),
			OutsideRush:  t.outsideRush[i].quantiles(),
		})
	}
	r.Series = t.points.points
}

// Broken returns the number of failed checks of promises.
func (r *Report) Broken() int64 {
	count := int64(0)
	for i := range r.Promises {
		if r.Promises[i].Broken != nil {
			count += *r.Promises[i].Broken
		}
	}
	return count
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return errors.Annotate(e.Encode(r), "encode report")
}

// ReadReport reads a report from a file. A report of another format is a NotValid error.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Annotatef(err, "%s", path)
	}
	if r.Format != ReportFormat {
		return nil, errors.NotValidf("%s: report format %d (expected %d)", path, r.Format, ReportFormat)
	}
	return &r, nil
}
