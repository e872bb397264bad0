package driver

import (
	"cmp"
	"encoding/json"
	"io"
	"os"
	"slices"

	"github.com/juju/errors"
)

// ReportFormat is the number of the format that a Report has today.
const ReportFormat = 1

// Report is what a run leaves. A nil figure was not observed.
type Report struct {
	Format     int
	Workload   string
	Parameters Parameters
	Sizes      Sizes
	// Label tells runs apart, such as by the policy of the deployment.
	Label string
	// Seconds is the time from the first intended moment to the last answer.
	Seconds float64
	// Stopped tells that the run was ended before its time.
	Stopped bool
	// WarmUp counts the calls before the measuring began. Their promises are
	// checked like all others; no other figure holds them, but for the Series.
	WarmUp EndingCounts
	All    GroupFigures
	// Lateness is the time between the intended moments and the sending; a high one
	// says that the driver itself was short of processor time.
	LatenessMillis *Quantiles
	// Resent counts the calls that were sent again on purpose under the same key.
	Resent EndingCounts
	// Causes count the calls that were not completed by what they were told, the
	// most frequent first.
	Causes     []CauseFigures
	Kinds      []KindFigures
	Workspaces []WorkspaceFigures
	Engines    *EngineFigures
	Promises   []PromiseFigures
	// Faults are the first errors of connections and observers.
	Faults []string `json:",omitempty"`
	Series []Point
}

// Cause is what a caller was told of a call that was not completed.
type Cause struct {
	Ending Ending
	// Status is 0 where no answer came.
	Status int
	// Code is the machine-readable cause; it may be empty.
	Code string
}

// CauseFigures count the calls of one cause.
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

// Parameters are what the run was asked to do.
type Parameters struct {
	Seed            uint64
	DurationSeconds float64
	// WarmUpSeconds is the part of the duration before the measuring began.
	WarmUpSeconds float64
	TimeScale     float64
	RateScale     float64
	MaxCalls      int
	MaxInFlight   int
	Balance       Balance
	CheckText     bool
	// Rate is the workload's mean number of calls in a second before scaling.
	Rate         float64
	ZipfExponent float64
	ShiftAt      float64
	RushFrom     float64
	RushTo       float64
	RushRate     float64
	RushAdapters int
	// RushWorkspace is empty where no workspace rushes.
	RushWorkspace string
}

// Sizes tell what the run was run on.
type Sizes struct {
	Workspaces int
	Adapters   int
	Entries    int
	// Engines and Services count those whose records or metrics were read.
	Engines  int
	Services int
}

// GroupFigures are the figures of one set of calls. Latencies are of completed
// calls and count from the intended send time.
type GroupFigures struct {
	Endings     EndingCounts
	TotalMillis *Quantiles
	// FirstTokenMillis and BetweenTokenMillis are of streamed calls.
	FirstTokenMillis   *Quantiles
	BetweenTokenMillis *Quantiles
	// Stall is the time that calls waited for a load, Queue that for a place in a
	// batch, as the deployment reports them.
	Stall Waits
	Queue Waits
	// InVainSeconds is the time that the calls took which were not completed. They
	// stand in no other figure: a deployment that refuses what would have waited
	// long looks fast without this one.
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
	// DuringRush and OutsideRush are the total latencies of its calls to engines,
	// those of the rush left out.
	DuringRush  *Quantiles
	OutsideRush *Quantiles
}

// Report fills in what the tally counted.
func (t *Tally) Report(w *Workload, r *Report) {
	r.All = t.all.figures()
	r.LatenessMillis = t.lateness.quantiles()
	r.WarmUp, r.Resent = t.warming, t.resent
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
			DuringRush:   t.rushing[i].quantiles(),
			OutsideRush:  t.quiet[i].quantiles(),
		})
	}
	r.Series = t.points.points
}

// Broken returns the number of broken promises.
func (r *Report) Broken() int64 {
	count := int64(0)
	for i := range r.Promises {
		if r.Promises[i].Broken != nil {
			count += *r.Promises[i].Broken
		}
	}
	return count
}

// WriteJSON writes the report.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return errors.Annotate(e.Encode(r), "report")
}

// ReadReport reads a report of the present format from a file.
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
		return nil, errors.NotValidf("%s: format %d where %d is read; it", path, r.Format, ReportFormat)
	}
	return &r, nil
}
