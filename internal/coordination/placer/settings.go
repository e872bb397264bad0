package placer

import (
	"cmp"
	"math/rand/v2"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/cacher"
	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
)

// Defaults of Settings. The load times are those of the deployed engines.
const (
	// DefaultMinFollowed covers all engines of a deployment of a few failure domains. More
	// are followed only in the entry's own failure domain: an entry of a large fleet sends
	// a call to the same engine of another one every few minutes, and its state is outdated
	// many times in between.
	DefaultMinFollowed = 128
	// DefaultPrefillRate is the rate at which an engine reads prompts, in tokens per
	// second.
	DefaultPrefillRate = 38_000.0
	// DefaultColdLoad is the time to load an adapter from the weight store,
	// DefaultWarmLoad from the engine's own memory.
	DefaultColdLoad = 250 * time.Millisecond
	DefaultWarmLoad = 25 * time.Millisecond
	// DefaultDistance is the cost of a call to another failure domain: twice the
	// round-trip time.
	DefaultDistance = 4 * time.Millisecond
	// DefaultPromptDistance is the corresponding cost for prompts and streams, whose
	// traffic between failure domains is billed. At half the time of a load from the
	// store, an adapter that is in steady demand in a failure domain gets loaded there,
	// which saves a fifth of the bytes sent between domains.
	DefaultPromptDistance = 120 * time.Millisecond
	// DefaultCallTime is the assumed duration of a call to a plain service before one
	// has been measured.
	DefaultCallTime = 60 * time.Millisecond
	// DefaultSuspicion is how long an unreachable backend server is avoided. The time
	// doubles with each failed attempt, up to DefaultSuspicionMax.
	DefaultSuspicion    = 300 * time.Millisecond
	DefaultSuspicionMax = 3 * time.Second
)

// Settings are the options of a Placer. A field with the zero value takes its
// documented default.
type Settings struct {
	// Node is the name of the entry.
	Node          string
	FailureDomain string
	// MinFollowed is the number of engines whose state the entry follows if its own failure
	// domain has fewer.
	MinFollowed int
	// PrefillRate is in tokens per second.
	PrefillRate float64
	ColdLoad    time.Duration
	WarmLoad    time.Duration
	Distance    time.Duration
	// PromptDistance replaces Distance for engines.
	PromptDistance time.Duration
	CallTime       time.Duration
	Suspicion      time.Duration
	SuspicionMax   time.Duration
	// PromptCache specifies how cached prompt parts affect the choice of an engine.
	PromptCache cacher.Mode
	// LongPrompts specifies whether calls with long prompts are separated from others.
	LongPrompts separator.Mode
	// Random is used to break ties. It is required.
	Random *rand.Rand
}

func (s Settings) withDefaults() Settings {
	s.MinFollowed = cmp.Or(s.MinFollowed, DefaultMinFollowed)
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
