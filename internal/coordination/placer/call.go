package placer

import "time"

// Call is what a choice depends on.
type Call struct {
	Service string
	// Model and Adapter are empty for a plain service; Adapter alone may be.
	Model   string
	Adapter string
	// Version is the newest known of the adapter.
	Version uint64
	// Parts are the hashes of the prompt's parts, in order, and PartTokens their
	// sizes; Tokens is the size of the whole prompt.
	Parts      []uint32
	PartTokens []int
	Tokens     int
	// Late tells that the call can't be in time any more unless it is served at once.
	Late bool
	// Avoid names backend servers that are passed over while there are others.
	Avoid []string
}

// Choice is a backend server that was chosen, and what decided.
type Choice struct {
	Name        string
	Address     string
	Incarnation string
	Domain      string
	// Away tells that this is another failure domain than the entry's.
	Away bool
	// Expected is the time until the first byte that the choice rests on, and its
	// parts.
	Expected time.Duration
	Backlog  time.Duration
	Read     time.Duration
	Load     time.Duration
	// Running is the number of calls believed to run there.
	Running int
	// Age is the age of the companion's report; negative means none.
	Age time.Duration

	backend *backend
	pool    *pool
	fresh   time.Duration
	began   time.Time
	first   bool
}

// Outcome tells how a call went.
type Outcome int

// The endings.
const (
	// OutcomeSuccess means that the backend server answered as it should.
	OutcomeSuccess Outcome = iota
	// OutcomeServerError means that it answered with a failure of its own.
	OutcomeServerError
	// OutcomeNotRun means that it did not run the call.
	OutcomeNotRun
	// OutcomeUnreachable means that it could not be reached.
	OutcomeUnreachable
	// OutcomeBroken means that its answer broke off or was no answer.
	OutcomeBroken
	// OutcomeCanceled means that the call ended for a reason of the caller's.
	OutcomeCanceled
)
