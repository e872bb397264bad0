package placer

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Defaults of Settings. Times of a load are those that the users' engines have.
const (
	// DefaultPrefillRate is the number of prompt tokens that an engine reads in a
	// second.
	DefaultPrefillRate = 38_000.0
	// DefaultColdLoad is the time to load an adapter from the weight store, and
	// DefaultWarmLoad from the engine's own memory.
	DefaultColdLoad = 250 * time.Millisecond
	DefaultWarmLoad = 25 * time.Millisecond
	// DefaultDistance is what the way to another failure domain counts for: the
	// round trip, twice.
	DefaultDistance = 4 * time.Millisecond
	// DefaultPromptDistance is what it counts for with prompts and streams, whose
	// bytes between failure domains the users pay for. It is half of a load from
	// the store, so that an adapter that is asked for in a domain for a while is
	// loaded there: a fifth of all bytes between domains.
	DefaultPromptDistance = 120 * time.Millisecond
	// DefaultCallTime is the assumed time of a plain service's call before one was
	// measured.
	DefaultCallTime = 60 * time.Millisecond
	// DefaultSuspicion is for how long a backend server is passed over after it
	// could not be reached; it doubles up to DefaultSuspicionMax.
	DefaultSuspicion    = 300 * time.Millisecond
	DefaultSuspicionMax = 3 * time.Second
)

// Settings are a Placer's options. The zero value of a field means its documented
// default.
type Settings struct {
	FailureDomain string
	// PrefillRate is in tokens a second.
	PrefillRate float64
	ColdLoad    time.Duration
	WarmLoad    time.Duration
	Distance    time.Duration
	// PromptDistance takes the place of Distance for engines.
	PromptDistance time.Duration
	CallTime       time.Duration
	Suspicion      time.Duration
	SuspicionMax   time.Duration
	// Random breaks ties. Required.
	Random *rand.Rand
}

func (s Settings) withDefaults() Settings {
	s.PrefillRate = cmp.Or(s.PrefillRate, DefaultPrefillRate)
	s.ColdLoad = cmp.Or(s.ColdLoad, DefaultColdLoad)
	s.WarmLoad = cmp.Or(s.WarmLoad, DefaultWarmLoad)
	s.Distance = cmp.Or(s.Distance, DefaultDistance)
	s.PromptDistance = cmp.Or(s.PromptDistance, DefaultPromptDistance)
	s.CallTime = cmp.Or(s.CallTime, DefaultCallTime)
	s.Suspicion = cmp.Or(s.Suspicion, DefaultSuspicion)
	s.SuspicionMax = cmp.Or(s.SuspicionMax, DefaultSuspicionMax)
	return s
}
