package driver

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Workload describes the callers, the kinds of their calls and the rates. Times and rates
// are those of the real deployment; Schedule scales them.
type Workload struct {
	Name      string
	BaseModel string
	// Workspaces are the workspaces; at least one. Their weights must be positive.
	Workspaces []WorkspaceLoad
	Service    ServiceLoad
	// Rate is the mean number of calls per second without the rush.
	Rate  float64
	Burst Burst
	// ZipfExponent is s in the popularity 1/rank^s of a workspace's adapters.
	ZipfExponent float64
	// ShiftAt is the time, as a fraction of the run, at which all adapters get new random
	// ranks; 0 means never.
	ShiftAt float64
	Rush    Rush
	Mix     Mix
	Tokens  TokenCounts
	// NamedVersion is the fraction of engine calls that name a version; the others get
	// the current one.
	NamedVersion float64
	// SecondVersionEvery is n if each n-th adapter of a workspace has a second version,
	// which is its current one; 0 means none has.
	SecondVersionEvery int
	// Deadline is the maximum time that a caller waits.
	Deadline time.Duration
	Size     DeploymentSize
}

// WorkspaceLoad is one workspace of a Workload.
type WorkspaceLoad struct {
	Name string
	// Weight is the workspace's share of the calls, relative to the others.
	Weight float64
	// Share is the weight of the workspace in queues, slots and load permits.
	Share int
	// Priority is that of the rule for all adapters of the workspace, 0 to 9.
	Priority int
	// AdapterPrefix is the prefix of the names of the workspace's adapters.
	AdapterPrefix string
	// Adapters is the number of adapters.
	Adapters int
}

// ServiceLoad is the plain service of a Workload.
type ServiceLoad struct {
	Name string
	// ReadPath is called with GET, which is idempotent, WritePath with POST, which is
	// not.
	ReadPath  string
	WritePath string
}

// Burst modulates the arrivals: a Poisson process with a higher rate during bursts. The
// lengths of bursts and pauses are exponentially distributed, and the mean rate is
// unchanged. The zero value means a plain Poisson process.
type Burst struct {
	// Factor is the rate during a burst relative to that outside bursts.
	Factor float64
	// MeanLength is the mean length of a burst, MeanPause that of the pause between
	// bursts.
	MeanLength time.Duration
	MeanPause  time.Duration
}

// Rush is a phase in which one workspace additionally calls many rarely used adapters.
type Rush struct {
	// Workspace is the name of the workspace; empty for no rush.
	Workspace string
	// From and To are the start and the end, as fractions of the run.
	From float64
	To   float64
	// Rate is the number of additional calls per second.
	Rate float64
	// Adapters is the number of called adapters, the least popular of the workspace.
	Adapters int
}

// Mix holds the relative frequency of each kind of call.
type Mix struct {
	StreamedChat       float64
	WholeChat          float64
	StreamedCompletion float64
	WholeCompletion    float64
	Review             float64
	ServiceRead        float64
	ServiceWrite       float64
	// Resent is the fraction of the calls with an Idempotency-Key that are intentionally
	// sent twice, the second time through another entry if possible.
	Resent float64
}

// weights returns the relative frequencies by CallKind.
func (m Mix) weights() [callKinds]float64 {
	return [callKinds]float64{
		StreamedChat:       m.StreamedChat,
		WholeChat:          m.WholeChat,
		StreamedCompletion: m.StreamedCompletion,
		WholeCompletion:    m.WholeCompletion,
		Review:             m.Review,
		ServiceRead:        m.ServiceRead,
		ServiceWrite:       m.ServiceWrite,
	}
}

// TokenCounts describe the lengths of prompts and answers, which have a log-normal
// distribution limited to the range from Min to Max.
type TokenCounts struct {
	// SharedPrefix is the number of prompt tokens that all calls of one template
	// share; Templates is the number of templates of each adapter.
	SharedPrefix int
	Templates    int
	Prompt       TokenRange
	Answer       TokenRange
}

// TokenRange is a distribution of token counts.
type TokenRange struct {
	Median int
	// Spread is the standard deviation of the count's logarithm.
	Spread float64
	Min    int
	Max    int
}

// DeploymentSize is the size of the deployment for which the workload is designed.
type DeploymentSize struct {
	FailureDomains int
	Engines        int
	ServiceWorkers int
	// LoadsPerSecond is the rate of adapter loads that the weight store supports.
	LoadsPerSecond int
}

// Adapters returns the number of adapters of all workspaces.
func (w *Workload) Adapters() int {
	count := 0
	for _, l := range w.Workspaces {
		count += l.Adapters
	}
	return count
}

// Validate returns a NotValid error if the workload can't be run.
func (w *Workload) Validate() error {
	switch {
	case len(w.Workspaces) == 0:
		return errors.NotValidf("workload without workspaces")
	case w.Rate <= 0:
		return errors.NotValidf("rate %v", w.Rate)
	case w.Burst.Factor < 0 || w.Burst.MeanLength < 0 || w.Burst.MeanPause < 0:
		return errors.NotValidf("negative burst")
	case w.ZipfExponent < 0:
		return errors.NotValidf("Zipf exponent %v", w.ZipfExponent)
	case w.ShiftAt < 0 || w.ShiftAt >= 1:
		return errors.NotValidf("shift at %v of the run", w.ShiftAt)
	case w.Tokens.Prompt.Min < 1 || w.Tokens.Answer.Min < 1:
		return errors.NotValidf("token counts below 1")
	}
	for _, l := range w.Workspaces {
		if l.Weight <= 0 || l.Adapters < 1 {
			return errors.NotValidf("workspace %q of weight %v with %d adapters", l.Name, l.Weight, l.Adapters)
		}
	}
	return w.Rush.validate(w)
}

func (r *Rush) validate(w *Workload) error {
	if r.Workspace == "" {
		return nil
	}
	if r.From < 0 || r.To > 1 || r.From >= r.To || r.Rate <= 0 || r.Adapters < 1 {
		return errors.NotValidf("rush from %v to %v of the run at rate %v over %d adapters", r.From, r.To, r.Rate, r.Adapters)
	}
	for _, l := range w.Workspaces {
		if l.Name == r.Workspace && r.Adapters <= l.Adapters {
			return nil
		}
	}
	return errors.NotValidf("rush of %q over %d adapters, which it lacks,", r.Workspace, r.Adapters)
}

// WithAdapters returns the workload with about count adapters in total. The workspaces keep
// their proportions, with at least one adapter each.
func (w Workload) WithAdapters(count int) Workload {
	factor := float64(count) / float64(w.Adapters())
	scaled := make([]WorkspaceLoad, len(w.Workspaces))
	for i, l := range w.Workspaces {
		l.Adapters = max(1, int(float64(l.Adapters)*factor+0.5))
		scaled[i] = l
	}
	w.Workspaces = scaled
	for _, l := range scaled {
		if l.Name == w.Rush.Workspace {
			w.Rush.Adapters = min(l.Adapters, max(1, int(float64(w.Rush.Adapters)*factor+0.5)))
		}
	}
	return w
}

// MissShare returns the fraction of the calls to engines that would need a load if the
// slots always held the most popular adapters, each once. This is the lower limit of any
// placement while the popularity does not shift. Multiplied by the rate of calls to engines
// it gives the lowest load rate, which must be within the capacity of the weight store.
func (w *Workload) MissShare(slots int) float64 {
	var shares []float64
	weights := 0.0
	for i := range w.Workspaces {
		weights += w.Workspaces[i].Weight
	}
	for i := range w.Workspaces {
		below := 0.0
		for _, cumulative := range zipf(w.Workspaces[i].Adapters, w.ZipfExponent) {
			shares = append(shares, (cumulative-below)*w.Workspaces[i].Weight/weights)
			below = cumulative
		}
	}
	slices.Sort(shares)
	miss := 0.0
	for _, share := range shares[:max(0, len(shares)-slots)] {
		miss += share
	}
	return miss
}

// adapterName returns the name of the adapter with the index.
func (l *WorkspaceLoad) adapterName(index int) string {
	return fmt.Sprintf("%s-%04d", l.AdapterPrefix, index)
}

// Names of the versions that Prepare declares.
const (
	firstVersion  = "v1"
	secondVersion = "v2"
)

// versions returns the number of versions of the adapter with the index.
func (w *Workload) versions(index int) int {
	if w.SecondVersionEvery > 0 && index%w.SecondVersionEvery == 0 {
		return 2
	}
	return 1
}

// currentVersion returns the version that Prepare declares as the adapter's current one.
func (w *Workload) currentVersion(index int) string {
	if w.versions(index) == 2 {
		return secondVersion
	}
	return firstVersion
}
