package driver

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Workload describes who calls what and how often. Times and rates are those of
// the real deployment; Schedule scales them.
type Workload struct {
	Name      string
	BaseModel string
	// Workspaces have positive weights.
	Workspaces []WorkspaceLoad
	Service    ServiceLoad
	// Rate is the mean number of calls in a second, the rush left out.
	Rate  float64
	Burst Burst
	// ZipfExponent is the s in the popularity 1/rank^s of a workspace's adapters.
	ZipfExponent float64
	// ShiftAt is the moment, as a share of the run, at which the ranks of all
	// adapters are drawn anew at once; 0 means never.
	ShiftAt float64
	Rush    Rush
	Mix     Mix
	Tokens  TokenCounts
	// NamedVersion is the share of engine calls that name their version; the
	// others get the current one.
	NamedVersion float64
	// SecondVersionEvery gives each n-th adapter of a workspace a second version,
	// which is then its current one; 0 gives none.
	SecondVersionEvery int
	// Deadline is the longest time that a caller waits.
	Deadline time.Duration
	Size     DeploymentSize
}

// WorkspaceLoad is one workspace of a Workload.
type WorkspaceLoad struct {
	Name string
	// Weight is the workspace's share of the calls, relative to the others.
	Weight float64
	// Share weighs the workspace in queues, slots and load permits.
	Share int
	// Priority is that of the workspace's rule for all its adapters, 0 to 9.
	Priority int
	// AdapterPrefix begins the names of the workspace's adapters.
	AdapterPrefix string
	// Adapters is the number of adapters.
	Adapters int
}

// ServiceLoad is the plain service of a Workload.
type ServiceLoad struct {
	Name string
	// ReadPath is called by GET and is idempotent, WritePath by POST and is not.
	ReadPath  string
	WritePath string
}

// Burst modulates the arrivals: a Poisson process whose rate is higher during
// bursts, with exponentially distributed lengths. The mean rate stays. The zero
// value means plain Poisson arrivals.
type Burst struct {
	// Factor is the rate during a burst relative to that between bursts.
	Factor float64
	// MeanLength is the mean length of a burst, MeanPause that between bursts.
	MeanLength time.Duration
	MeanPause  time.Duration
}

// Rush is one workspace's run on many cold adapters beside the usual load.
type Rush struct {
	// Workspace is empty for no rush.
	Workspace string
	// From and To are shares of the run.
	From float64
	To   float64
	// Rate is the number of additional calls in a second.
	Rate float64
	// Adapters is the number of adapters, the least popular ones.
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
	// Resent is the share of the calls under an Idempotency-Key that are sent
	// again on purpose, through another entry where there is one.
	Resent float64
}

// weights returns the frequencies by CallKind.
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

// TokenCounts describe the lengths of prompts and answers: log-normal around the
// median, within the bounds.
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

// DeploymentSize is the deployment that the workload was made for.
type DeploymentSize struct {
	FailureDomains int
	Engines        int
	ServiceWorkers int
	// LoadsPerSecond is the weight store's rate.
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

// Validate returns an error that tells what makes the workload impossible.
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

// WithAdapters returns the workload with its adapters cut or grown to about the
// count in all, in the same proportions, one at least for each workspace.
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

// MissShare returns the part of the calls to engines that would need a load if the
// slots held the most popular adapters all the time, each once: the least that any
// choice can reach while the popularity stands still. It is what a rate of calls
// has to be weighed against the weight store with.
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

// adapterName returns the name of the workspace's numbered adapter.
func (l *WorkspaceLoad) adapterName(index int) string {
	return fmt.Sprintf("%s-%04d", l.AdapterPrefix, index)
}

// Names of the versions that Prepare declares.
const (
	firstVersion  = "v1"
	secondVersion = "v2"
)

// versions returns the number of versions of the numbered adapter.
func (w *Workload) versions(index int) int {
	if w.SecondVersionEvery > 0 && index%w.SecondVersionEvery == 0 {
		return 2
	}
	return 1
}

// currentVersion returns the version that Prepare declares as current.
func (w *Workload) currentVersion(index int) string {
	if w.versions(index) == 2 {
		return secondVersion
	}
	return firstVersion
}
