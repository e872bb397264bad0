package attendant

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/cacher"
	"marigoldpoint.example/marigoldpoint/internal/coordination/rationer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// Defaults of Settings.
const (
	// DefaultObserveInterval is the time between two polls of an engine without an order in
	// progress. Such a poll only serves to detect a restart.
	DefaultObserveInterval = 250 * time.Millisecond
	// DefaultSpeedInterval is the time between two polls of the slowdown factor while requests run
	// or wait, a quarter of a usual slow period; a poll costs the engine a health check.
	DefaultSpeedInterval = 450 * time.Millisecond
	// DefaultSpeedProbeInterval is the time between two such polls of an engine that has never
	// reported a factor.
	DefaultSpeedProbeInterval = 10 * time.Second
	// DefaultPublishInterval is the shortest time between two states published to entries:
	// a third of a load, so that the entries' view of a slot is seldom outdated.
	DefaultPublishInterval = 80 * time.Millisecond
	// DefaultPrefillRate is the number of prompt tokens that an engine is assumed to
	// prefill per second. It only ranks engines; entries use the same value.
	DefaultPrefillRate = 38_000
	// DefaultSlotWaitTimeout is how long requests wait for a slot before an adapter in use
	// is closed to new requests and evicted.
	DefaultSlotWaitTimeout = 1500 * time.Millisecond
	// DefaultHalfLife is the half-life of the recorded demand for an adapter: demand moves
	// to other adapters within seconds.
	DefaultHalfLife = 8 * time.Second
	// DefaultOrderTimeout limits the wait for an answer from the engine, which is on the
	// same host: some twenty times the usual time. A lost order delays all requests that
	// wait for an adapter there; its outcome is read from the engine's report.
	DefaultOrderTimeout = 90 * time.Millisecond
	// DefaultLoadPollInterval is the time between two polls of a load in progress.
	DefaultLoadPollInterval = 25 * time.Millisecond
	// DefaultLoadTimeout is the time after which a load counts as failed.
	DefaultLoadTimeout = 4 * time.Second
	// maxLoads is the maximum number of concurrent adapter loads of an engine; the
	// supported engines accept no more. The pacer sets the current limit.
	maxLoads = 4
	// backoffInitial and backoffMax limit the wait after a failed load.
	backoffInitial = 200 * time.Millisecond
	backoffMax     = 2 * time.Second
)

// Engine is the backend server that an attendant manages.
type Engine interface {
	// Report returns the engine's current state.
	Report(ctx context.Context) (Report, error)
	// Find looks for an incarnation of the engine on a new connection.
	Find(ctx context.Context, incarnation string) Presence
	// Order sends an order. An error means that its outcome is unknown.
	Order(ctx context.Context, o Order) (Reply, error)
	// Slowdown requests the health path, and returns the slowdown factor of the engine's machine
	// in the answer; 0 if there is none.
	Slowdown(ctx context.Context, healthPath string) (float64, error)
}

// Settings are the options of an Attendant. Engine, View and Random are required; the zero
// value of any other field means its documented default.
type Settings struct {
	// Name is the backend server's name, and FailureDomain that of its host.
	Name          string
	FailureDomain string
	Engine        Engine
	// View returns the current view of the deployment.
	View func() *tracker.View

	ObserveInterval time.Duration
	PublishInterval time.Duration
	// SpeedInterval and SpeedProbeInterval are the intervals of the polls of the slowdown factor.
	SpeedInterval      time.Duration
	SpeedProbeInterval time.Duration
	// PrefillRate is in tokens per second.
	PrefillRate      float64
	SlotWaitTimeout  time.Duration
	HalfLife         time.Duration
	OrderTimeout     time.Duration
	LoadPollInterval time.Duration
	LoadTimeout      time.Duration
	// PromptCache is the mode of cached prompt parts; reports on the cache are sent only if they
	// are weighed.
	PromptCache cacher.Mode
	// LongPrompts is whether entries separate long prompts from others; the share of long prefills
	// is reported only then.
	LongPrompts separator.Mode
	// Rationing is whether requests wait by rank and are refused as soon as they would wait
	// until after their deadline: with ModeAuto those whose entry asks for it.
	Rationing rationer.Mode

	Registerer prometheus.Registerer
	Log        zerolog.Logger
	// Now is a clock with monotonic readings; nil means time.Now.
	Now func() time.Time
	// Random must not be used by others after NewAttendant.
	Random *rand.Rand
}

func (s Settings) withDefaults() Settings {
	s.ObserveInterval = cmp.Or(s.ObserveInterval, DefaultObserveInterval)
	s.PublishInterval = cmp.Or(s.PublishInterval, DefaultPublishInterval)
	s.SpeedInterval = cmp.Or(s.SpeedInterval, DefaultSpeedInterval)
	s.SpeedProbeInterval = cmp.Or(s.SpeedProbeInterval, DefaultSpeedProbeInterval)
	s.PrefillRate = cmp.Or(s.PrefillRate, DefaultPrefillRate)
	s.SlotWaitTimeout = cmp.Or(s.SlotWaitTimeout, DefaultSlotWaitTimeout)
	s.HalfLife = cmp.Or(s.HalfLife, DefaultHalfLife)
	s.OrderTimeout = cmp.Or(s.OrderTimeout, DefaultOrderTimeout)
	s.LoadPollInterval = cmp.Or(s.LoadPollInterval, DefaultLoadPollInterval)
	s.LoadTimeout = cmp.Or(s.LoadTimeout, DefaultLoadTimeout)
	if s.Now == nil {
		s.Now = time.Now
	}
	return s
}
