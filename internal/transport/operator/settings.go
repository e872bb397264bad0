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

// Control is the client of the control hosts. *subscriber.Client implements it.
type Control interface {
	// Propose commits a change and returns its result.
	Propose(ctx context.Context, e storer.Envelope) (storer.Result, error)
	// Read reads the replicated state.
	Read(ctx context.Context, r distributor.Read) (distributor.ReadAnswer, error)
	// InForce returns which nodes hold a revision.
	InForce(ctx context.Context, revision uint64) (distributor.InForce, error)
}

// Settings configures an API. The zero value of a field means its default.
type Settings struct {
	// Control is required.
	Control Control
	// NotAccepted reports whether an error of Propose proves that the change has not
	// taken effect and will not. If it is nil, every error leaves the outcome unknown.
	NotAccepted func(err error) bool
	// Key is the operators' bearer key. Without it the API serves loopback addresses
	// only.
	Key string
	// Timeout bounds a change or a read; DefaultTimeout by default.
	Timeout time.Duration
	// MaxBody bounds the body of a change, in bytes; DefaultMaxBody by default.
	MaxBody int64
	// MaxWatchers bounds the concurrent watches; DefaultMaxWatchers by default.
	MaxWatchers int
	// WatchHeartbeat is the maximum time between two lines of an idle watch;
	// DefaultWatchHeartbeat by default.
	WatchHeartbeat time.Duration
	// RetryAfter is the Retry-After sent with responses that clients may retry;
	// DefaultRetryAfter by default.
	RetryAfter time.Duration
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
	// NewKey generates an idempotency key for a change without one; nil means a random
	// text.
	NewKey func() string
	// Recorder records accepted changes; it may be nil.
	Recorder *recorder.Recorder
	// Registerer registers the API's metrics; it may be nil.
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
