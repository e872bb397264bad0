package operator

import (
	"cmp"
	"context"
	"crypto/rand"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Defaults of Settings.
const (
	DefaultTimeout        = 10 * time.Second
	DefaultMaxBody        = 64 << 10
	DefaultMaxWatchers    = 128
	DefaultWatchHeartbeat = 10 * time.Second
	DefaultRetryAfter     = 2 * time.Second
)

// Control is what the API needs of the control hosts. subscriber.Client is one.
type Control interface {
	// Propose has a change committed and returns the state's answer to it.
	Propose(ctx context.Context, e storer.Envelope) (storer.Result, error)
	// Read reads the replicated state.
	Read(ctx context.Context, r distributor.Read) (distributor.ReadAnswer, error)
	// InForce tells which nodes hold a revision.
	InForce(ctx context.Context, revision uint64) (distributor.InForce, error)
}

// Settings are the options of an API. The zero value of a field stands for the
// default named.
type Settings struct {
	// Control is required.
	Control Control
	// NotAccepted reports whether an error of Propose proves that the change
	// has not taken effect and won't. Without it, every error leaves the
	// outcome unknown.
	NotAccepted func(err error) bool
	// Key is the operators' bearer key. Without one the API answers on the
	// loopback only.
	Key string
	// Timeout bounds a change or a read; DefaultTimeout by default.
	Timeout time.Duration
	// MaxBody bounds the body of a change in bytes; DefaultMaxBody by default.
	MaxBody int64
	// MaxWatchers bounds the watches in progress; DefaultMaxWatchers by default.
	MaxWatchers int
	// WatchHeartbeat is the time between two lines of an idle watch;
	// DefaultWatchHeartbeat by default.
	WatchHeartbeat time.Duration
	// RetryAfter is told to callers whose change was not accepted;
	// DefaultRetryAfter by default.
	RetryAfter time.Duration
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
	// NewKey makes an idempotency key for a change that brings none; nil means
	// a random text.
	NewKey func() string
	// Recorder may be nil.
	Recorder *recorder.Recorder
	// Registerer takes the API's metrics; it may be nil.
	Registerer prometheus.Registerer
	Log        zerolog.Logger
}

func (s Settings) withDefaults() Settings {
	s.Timeout = cmp.Or(s.Timeout, DefaultTimeout)
	s.MaxBody = cmp.Or(s.MaxBody, DefaultMaxBody)
	s.MaxWatchers = cmp.Or(s.MaxWatchers, DefaultMaxWatchers)
	s.WatchHeartbeat = cmp.Or(s.WatchHeartbeat, DefaultWatchHeartbeat)
	s.RetryAfter = cmp.Or(s.RetryAfter, DefaultRetryAfter)
	if s.NotAccepted == nil {
		s.NotAccepted = func(error) bool { return false }
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.NewKey == nil {
		s.NewKey = rand.Text
	}
	return s
}
