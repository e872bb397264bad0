package loader

import "time"

// Defaults of Settings.
const (
	DefaultHalfLife        = time.Minute
	DefaultPatience        = 10 * time.Second
	DefaultAssumedLoadTime = time.Second
	DefaultBackoffInitial  = time.Second
	DefaultBackoffMax      = 30 * time.Second
	DefaultRegretWindow    = time.Minute
	DefaultMaxPermits      = 2
)

// Settings are the options of a Table. The zero value of each field but Slots
// means its default.
type Settings struct {
	// Slots is the number of versions that the engine holds at once. It must be
	// positive.
	Slots int
	// Policy is PolicyDemand by default.
	Policy Policy
	// HalfLife is the time in which remembered demand halves; DefaultHalfLife by
	// default.
	HalfLife time.Duration
	// Patience is the time for which requests without a slot wait for resident
	// versions that have requests of their own; DefaultPatience by default.
	Patience time.Duration
	// AssumedLoadTime is the load time of a version never loaded before;
	// DefaultAssumedLoadTime by default.
	AssumedLoadTime time.Duration
	// BackoffInitial is the wait after a first failed load, and BackoffMax the
	// longest; DefaultBackoffInitial and DefaultBackoffMax by default.
	BackoffInitial time.Duration
	BackoffMax     time.Duration
	// RegretWindow is the time in which an eviction counts as regretted when its
	// version is wanted again; DefaultRegretWindow by default.
	RegretWindow time.Duration
	// MaxPermits is the number of loads that may be asked for or under way at
	// once; DefaultMaxPermits by default.
	MaxPermits int
	// OrderLife is the longest time for which an order that was given up can still
	// take effect at an engine that ignores fencing numbers; 0 for one that
	// checks them.
	OrderLife time.Duration
	// Prefetch allows loads of versions that no request waits for.
	Prefetch bool
}

func (s Settings) withDefaults() Settings {
	if s.Slots <= 0 {
		panic("loader: settings without slots")
	}
	setDefault(&s.HalfLife, DefaultHalfLife)
	setDefault(&s.Patience, DefaultPatience)
	setDefault(&s.AssumedLoadTime, DefaultAssumedLoadTime)
	setDefault(&s.BackoffInitial, DefaultBackoffInitial)
	setDefault(&s.BackoffMax, DefaultBackoffMax)
	setDefault(&s.RegretWindow, DefaultRegretWindow)
	setDefault(&s.MaxPermits, DefaultMaxPermits)
	return s
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
