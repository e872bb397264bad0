package router

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// Errors returned by Choose. In both cases no backend server was given the call.
const (
	// ErrNoBackend means that no backend server serves the pool.
	ErrNoBackend = errors.ConstError("no backend server serves the pool")
	// ErrNoneAvailable means that each of the pool's backend servers is suspect or has
	// been tried.
	ErrNoneAvailable = errors.ConstError("no backend server is left to try")
)

// maxCandidates bounds the candidates of one choice.
const maxCandidates = 12

// Call describes a call for which a backend server is chosen.
type Call struct {
	Pool Pool
	// Version is WORKSPACE/ADAPTER@VERSION, or empty for a plain service.
	Version string
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int64
	// Prefix is a hash of the beginning of the prompt under the version; 0 means none.
	Prefix uint64
	// Avoid lists the backend servers already tried.
	Avoid []string
}

// Candidate is a backend server considered for a call.
type Candidate struct {
	Backend string
	Reason  Reason
	Taken   bool
	// Stall and Wait are the expected times for loading and for queueing, in seconds.
	Stall float64
	Wait  float64
	// Batch is the engine time wasted by the placement, in seconds.
	Batch float64
	// Score is the weighted sum of the costs; the candidate with the lowest score is
	// chosen.
	Score float64
}

// Decision is caller-owned storage for a choice. It may be reused after Finish.
type Decision struct {
	Backend     string
	Address     string
	Incarnation string
	Epoch       uint64
	// Cold reports that the version is expected to be loaded for this call.
	Cold bool
	// Spread is the number of homes required by the demand for the version.
	Spread int

	candidates [maxCandidates]Candidate
	count      int

	// chosen is set from Choose until Finish.
	chosen *backend
	// loading reports that the call is counted in chosen.loads.
	loading bool
	// versionState is the version's state in shard, which keeps it while it has a call in
	// flight. It is nil for a plain service.
	versionState *version
	shard        *shard
	prefix       uint64
	// affine reports that the prefix was believed to be cached at the chosen backend
	// server.
	affine bool
}

// Candidates returns the candidates considered. The slice is valid until the next
// Choose with the same Decision.
func (d *Decision) Candidates() []Candidate { return d.candidates[:d.count] }

// Choices returns the candidates in the form used by recorded events.
func (d *Decision) Choices() []recorder.Choice {
	choices := make([]recorder.Choice, d.count)
	for i, c := range d.Candidates() {
		choices[i] = recorder.Choice{Backend: c.Backend, Reason: c.Reason.String(), Score: c.Score, Taken: c.Taken}
	}
	return choices
}

func (d *Decision) reset() {
	if d.chosen != nil {
		panic("router: Decision used again before Finish")
	}
	*d = Decision{}
}

// includes reports whether the backend server is among the candidates.
func (d *Decision) includes(b *backend) bool {
	for i := range d.count {
		if d.candidates[i].Backend == b.member.Name {
			return true
		}
	}
	return false
}
