package router

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// Errors of Choose. Both mean that no backend server was given the call.
const (
	// ErrNoBackend means that no backend server serves the pool.
	ErrNoBackend = errors.ConstError("no backend server serves the pool")
	// ErrNoneAvailable means that the pool has backend servers, and that each of
	// them is suspect or was tried.
	ErrNoneAvailable = errors.ConstError("no backend server is left to try")
)

// maxCandidates bounds the candidates of one choice.
const maxCandidates = 12

// Call is what a choice is made for.
type Call struct {
	Pool Pool
	// Version is WORKSPACE/ADAPTER@VERSION; empty for a plain service.
	Version string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int64
	// Prefix is a hash of the beginning of the prompt under the version; 0
	// means none.
	Prefix uint64
	// Avoid names the backend servers already tried.
	Avoid []string
}

// Candidate is one backend server that was weighed.
type Candidate struct {
	Backend string
	Reason  Reason
	Taken   bool
	// Stall and Wait are the expected seconds of loading and of queueing.
	Stall float64
	Wait  float64
	// Batch is the engine time, in seconds, that the placement wastes.
	Batch float64
	// Score is the weighted sum; the lowest is taken.
	Score float64
}

// Decision is the caller's storage for a choice. It may be used again after
// Finish.
type Decision struct {
	Backend     string
	Address     string
	Incarnation string
	Epoch       uint64
	// Cold means that the version is expected to be loaded for this call.
	Cold bool
	// Spread is the number of homes that the version's demand calls for.
	Spread int

	candidates [maxCandidates]Candidate
	count      int

	// chosen is set from Choose until Finish.
	chosen *backend
	// loading tells that the call counts as a load in chosen's lane.
	loading bool
	// known is the version in shard; it stays there as long as it has a call
	// in flight. It is nil for a plain service.
	known  *version
	shard  *shard
	prefix uint64
	// affine tells that the prefix was believed to be cached where the call went.
	affine bool
}

// Candidates returns what was weighed. The result is valid until the next
// Choose with the same Decision.
func (d *Decision) Candidates() []Candidate { return d.candidates[:d.count] }

// Choices returns the candidates as part of an event.
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

// has reports whether the backend server was weighed already.
func (d *Decision) has(b *backend) bool {
	for i := range d.count {
		if d.candidates[i].Backend == b.member.Name {
			return true
		}
	}
	return false
}
