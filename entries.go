package marigoldpoint

import (
	"math/rand/v2"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/claimer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/drainer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/limiter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/retrier"
)

// The parts of an entry.
type (
	// Limiter decides which calls an entry takes; several goroutines may use it.
	Limiter = limiter.Limiter
	// LimitedCall is what a Limiter counts.
	LimitedCall = limiter.Call
	// LimiterSettings are a Limiter's options.
	LimiterSettings = limiter.Settings
	// Retrier decides on retries; several goroutines may use it.
	Retrier = retrier.Retrier
	// RetrierSettings are a Retrier's options.
	RetrierSettings = retrier.Settings
	// ClaimMachine is one non-idempotent call's claim at one entry.
	ClaimMachine = claimer.Machine
	// ClaimSettings are a ClaimMachine's options.
	ClaimSettings = claimer.Settings
	// ClaimIdentity names a claimed call and its holder.
	ClaimIdentity = claimer.Identity
	// Drain is the planned stop of one role.
	Drain = drainer.Drain
	// DrainSettings are a Drain's options.
	DrainSettings = drainer.Settings
	// DrainFacts are what the owner of a Drain knows at one moment.
	DrainFacts = drainer.Facts
)

// NewLimiter returns a limiter without calls in flight. Random jitters what it
// tells refused callers.
func NewLimiter(s LimiterSettings, random *rand.Rand) *Limiter { return limiter.NewLimiter(s, random) }

// NewRetrier returns a retrier with full budgets.
func NewRetrier(s RetrierSettings, random *rand.Rand) *Retrier { return retrier.NewRetrier(s, random) }

// NewClaimMachine returns the machine of a call that has not been proposed.
func NewClaimMachine(s ClaimSettings, i ClaimIdentity, deadline time.Time) *ClaimMachine {
	return claimer.NewMachine(s, i, deadline)
}

// NewDrain returns a Drain that serves.
func NewDrain(s DrainSettings) *Drain { return drainer.NewDrain(s) }
