package limiter

import (
	"cmp"
	"time"
)

// Defaults of Settings.
const (
	DefaultMaxInFlight = 4096
	DefaultMinInFlight = 16
	DefaultMaxTokens   = 4_000_000
	DefaultBorrow      = 0.8
	DefaultTargetWait  = time.Second
	DefaultWindow      = time.Second
	DefaultMaxRetry    = 30 * time.Second
)

// Settings are the options of a Limiter. A field with the zero value takes its
// documented default.
type Settings struct {
	// MaxInFlight and MinInFlight bound the adaptive limit of calls in flight.
	MaxInFlight int
	MinInFlight int
	// MaxTokens bounds the estimated tokens of the calls in flight.
	MaxTokens int64
	// Borrow is the share of the limit up to which workspaces may exceed their fair
	// share.
	Borrow float64
	// TargetWait is the mean queue wait above which the limit shrinks.
	TargetWait time.Duration
	// Window is the time between two adaptations.
	Window time.Duration
	// MaxRetry is the maximum time after which a caller is told to retry.
	MaxRetry time.Duration
}

func (s Settings) withDefaults() Settings {
	s.MaxInFlight = cmp.Or(s.MaxInFlight, DefaultMaxInFlight)
	s.MinInFlight = min(cmp.Or(s.MinInFlight, DefaultMinInFlight), s.MaxInFlight)
	s.MaxTokens = cmp.Or(s.MaxTokens, DefaultMaxTokens)
	s.Borrow = cmp.Or(s.Borrow, DefaultBorrow)
	s.TargetWait = cmp.Or(s.TargetWait, DefaultTargetWait)
	s.Window = cmp.Or(s.Window, DefaultWindow)
	s.MaxRetry = cmp.Or(s.MaxRetry, DefaultMaxRetry)
	return s
}
