package marigoldpoint

import (
	"math/rand/v2"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/claimer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/drainer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/limiter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/retrier"
)

// The components of an entry.
type (
	// Limiter decides which calls an entry admits. It is safe for concurrent use.
	Limiter = limiter.Limiter
	// LimitedCall is a call as seen by a Limiter.
	LimitedCall = limiter.Call
	// LimiterSettings are a Limiter's options.
	LimiterSettings = limiter.Settings
	// Retrier decides on retries. It is safe for concurrent use.
	Retrier = retrier.Retrier
	// RetrierSettings are a Retrier's options.
	RetrierSettings = retrier.Settings
	// ClaimMachine is the state machine of a non-idempotent call's claim at one entry.
	ClaimMachine = claimer.Machine
	// ClaimSettings are a ClaimMachine's options.
	ClaimSettings = claimer.Settings
	// ClaimIdentity identifies a claimed call and its holder.
	ClaimIdentity = claimer.Identity
	// Drain is the graceful stop of one role.
	Drain = drainer.Drain
	// DrainSettings are a Drain's options.
	DrainSettings = drainer.Settings
	// DrainFacts are the inputs of a Drain at one point in time.
	DrainFacts = drainer.Facts
)

// NewLimiter returns a limiter without calls in flight. Random is used to add jitter
// to the retry delays returned to refused callers.
func NewLimiter(s LimiterSettings, random *rand.Rand) *Limiter { return limiter.NewLimiter(s, random) }

// NewRetrier returns a retrier with full budgets.
func NewRetrier(s RetrierSettings, random *rand.Rand) *Retrier { return retrier.NewRetrier(s, random) }

// NewClaimMachine returns the machine of a call whose claim has not been proposed.
func NewClaimMachine(s ClaimSettings, i ClaimIdentity, deadline time.Time) *ClaimMachine {
	return claimer.NewMachine(s, i, deadline)
}

// NewDrain returns a Drain in the serving phase.
func NewDrain(s DrainSettings) *Drain { return drainer.NewDrain(s) }
