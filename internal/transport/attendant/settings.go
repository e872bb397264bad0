package attendant

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// Defaults of Settings.
const (
	// DefaultObserveInterval is the time between two looks at an engine at which
	// no order is under way. Only a restart is found by it.
	DefaultObserveInterval = 250 * time.Millisecond
	// DefaultPublishInterval is the least time between two states told to entries: a
	// third of a load, so that what an entry believes of a slot is seldom wrong.
	DefaultPublishInterval = 80 * time.Millisecond
	// DefaultPrefillRate is the number of prompt tokens that an engine reads in a
	// second. It only ranks engines, and entries use the same.
	DefaultPrefillRate = 38_000
	// DefaultPatience is how long requests wait before a busy adapter makes way.
	DefaultPatience = 1500 * time.Millisecond
	// DefaultHalfLife is that of the remembered demand for an adapter: demand
	// moves to other adapters within some seconds.
	DefaultHalfLife = 8 * time.Second
	// DefaultOrderTimeout is the wait for the answer to an order, from the same
	// host: some twenty times what it takes. One that was lost holds up all that
	// wait for an adapter there, and is looked for in the engine's report.
	DefaultOrderTimeout = 90 * time.Millisecond
	// DefaultLoadPollInterval is the time between two looks at a load under way.
	DefaultLoadPollInterval = 25 * time.Millisecond
	// DefaultLoadTimeout is the time after which a load counts as failed.
	DefaultLoadTimeout = 4 * time.Second
	// maxLoads is the number of adapters on their way to one engine at most; the users'
	// engines take no more at once. How many there are the pacer decides.
	maxLoads = 4
	// backoffInitial and backoffMax bound the pause after a failed load.
	backoffInitial = 200 * time.Millisecond
	backoffMax     = 2 * time.Second
)

// Engine is the backend server beside an attendant.
type Engine interface {
	// Report tells what the engine holds now.
	Report(ctx context.Context) (Report, error)
	// Order gives an order. An error means that its outcome is unknown.
	Order(ctx context.Context, o Order) (Reply, error)
}

// Settings are an Attendant's options. Engine, View and Random are required; the
// zero value of another field means its documented default.
type Settings struct {
	// Name is the backend server's, and FailureDomain its host's.
	Name          string
	FailureDomain string
	Engine        Engine
	// View returns what is known of the deployment.
	View func() *tracker.View

	ObserveInterval time.Duration
	PublishInterval time.Duration
	// PrefillRate is in tokens a second.
	PrefillRate      float64
	Patience         time.Duration
	HalfLife         time.Duration
	OrderTimeout     time.Duration
	LoadPollInterval time.Duration
	LoadTimeout      time.Duration

	Registerer prometheus.Registerer
	Log        zerolog.Logger
	// Now is a clock with monotonic readings; nil means time.Now.
	Now func() time.Time
	// Random is taken over by the attendant.
	Random *rand.Rand
}

func (s Settings) withDefaults() Settings {
	s.ObserveInterval = cmp.Or(s.ObserveInterval, DefaultObserveInterval)
	s.PublishInterval = cmp.Or(s.PublishInterval, DefaultPublishInterval)
	s.PrefillRate = cmp.Or(s.PrefillRate, DefaultPrefillRate)
	s.Patience = cmp.Or(s.Patience, DefaultPatience)
	s.HalfLife = cmp.Or(s.HalfLife, DefaultHalfLife)
	s.OrderTimeout = cmp.Or(s.OrderTimeout, DefaultOrderTimeout)
	s.LoadPollInterval = cmp.Or(s.LoadPollInterval, DefaultLoadPollInterval)
	s.LoadTimeout = cmp.Or(s.LoadTimeout, DefaultLoadTimeout)
	if s.Now == nil {
		s.Now = time.Now
	}
	return s
}
