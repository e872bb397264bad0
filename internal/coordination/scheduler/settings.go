package scheduler

import "time"

// Defaults of Settings.
const (
	DefaultMaxRequests = 256
	DefaultMaxTokens   = 1_000_000
	DefaultAgeStep     = 5 * time.Second
	DefaultRateWindow  = 10 * time.Second
)

// TopPriority is the highest priority; 0 is the lowest.
const TopPriority = 9

// Settings are the options of a Queue. A field with the zero value takes its default.
type Settings struct {
	// MaxRequests and MaxTokens bound the waiting items; DefaultMaxRequests and
	// DefaultMaxTokens by default.
	MaxRequests int
	MaxTokens   int64
	// WorkspaceRequests and WorkspaceTokens bound the waiting items of one workspace;
	// three quarters of the above by default, so that no single workspace fills the
	// queue.
	WorkspaceRequests int
	WorkspaceTokens   int64
	// AgeStep is the wait equivalent to one step of priority; DefaultAgeStep by
	// default.
	AgeStep time.Duration
	// RateWindow is the time constant of the measured service rate; DefaultRateWindow
	// by default.
	RateWindow time.Duration
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.MaxRequests, DefaultMaxRequests)
	setDefault(&s.MaxTokens, DefaultMaxTokens)
	setDefault(&s.WorkspaceRequests, max(1, s.MaxRequests*3/4))
	setDefault(&s.WorkspaceTokens, max(1, s.MaxTokens/4*3))
	setDefault(&s.AgeStep, DefaultAgeStep)
	setDefault(&s.RateWindow, DefaultRateWindow)
	return s
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
