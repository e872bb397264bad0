package loader

import "time"

// Defaults of Settings.
const (
	DefaultHalfLife        = time.Minute
	DefaultSlotWaitTimeout = 10 * time.Second
	DefaultAssumedLoadTime = time.Second
	DefaultBackoffInitial  = time.Second
	DefaultBackoffMax      = 30 * time.Second
	DefaultRegretWindow    = time.Minute
	DefaultMaxPermits      = 2
)

// Settings are the options of a Table. A field other than Slots with the zero value
// takes its default.
type Settings struct {
	// Slots is the number of versions that the engine holds at once. It must be
	// positive.
	Slots int
	// Policy is PolicyDemand by default.
	Policy Policy
	// HalfLife is the half-life of the measured demand; DefaultHalfLife by default.
	HalfLife time.Duration
	// SlotWaitTimeout is how long requests without a slot wait before a resident version
	// that has requests of its own is closed; DefaultSlotWaitTimeout by default.
	SlotWaitTimeout time.Duration
	// AssumedLoadTime is the expected load time of a version that has not been loaded
	// before; DefaultAssumedLoadTime by default.
	AssumedLoadTime time.Duration
	// BackoffInitial is the wait after a first failed load, and BackoffMax the longest
	// wait; DefaultBackoffInitial and DefaultBackoffMax by default.
	BackoffInitial time.Duration
	BackoffMax     time.Duration
	// RegretWindow is the time within which an eviction counts as regretted if its
	// version is requested again; DefaultRegretWindow by default.
	RegretWindow time.Duration
	// MaxPermits is the number of loads that may be requested or in progress at once;
	// DefaultMaxPermits by default.
	MaxPermits int
	// OrderLife is the longest time for which an abandoned order can still take effect
	// at an engine that ignores fencing numbers; 0 for engines that check them.
	OrderLife time.Duration
	// Prefetch allows loads of versions that no request waits for.
	Prefetch bool
}

func (s Settings) withDefaults() Settings {
	if s.Slots <= 0 {
		panic("loader: settings without slots")
	}
	setDefault(&s.HalfLife, DefaultHalfLife)
	setDefault(&s.SlotWaitTimeout, DefaultSlotWaitTimeout)
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
