package companion

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Engine is the interface of a model engine; an *orderer.Engine.
type Engine interface {
	State(ctx context.Context) (orderer.EngineState, error)
	Report(ctx context.Context) (orderer.LoadReport, error)
	Load(ctx context.Context, fence uint64, name, path string) error
	Unload(ctx context.Context, fence uint64, name string) error
	Generate(ctx context.Context, c orderer.Call, give func(orderer.Piece) error) error
	Cancel(ctx context.Context, request string) (orderer.Cancellation, error)
}

// Service is the interface of a plain service; an *orderer.Service.
type Service interface {
	Forward(ctx context.Context, c orderer.ServiceCall) (*orderer.ServiceAnswer, error)
}

// Control is the interface of the control hosts; a *subscriber.Client.
type Control interface {
	// Join begins a membership, or renews the present one.
	Join(ctx context.Context, name string, m storer.MemberSpec) (registrar.Lease, error)
	// Renew queues a heartbeat and does not wait until it is sent.
	Renew(r registrar.Renewal)
	// Leave marks the membership as leaving, or ends it.
	Leave(ctx context.Context, name string, epoch uint64, ended bool) error
	// OnMembershipEnd registers a function that is called when a membership has ended.
	OnMembershipEnd(f func(name string, epoch uint64))
	// LeaseValid reports whether there was contact with a leader within the configuration
	// lease.
	LeaseValid() bool
	// RequestPermit waits for a permit to load.
	RequestPermit(ctx context.Context, r permitter.Request) (permitter.Grant, error)
	// FinishPermit returns a permit.
	FinishPermit(g permitter.Grant)
}

// Defaults of Settings and of configurer.CompanionSettings.
const (
	// DefaultServiceBatch is the number of requests that a plain service runs concurrently.
	DefaultServiceBatch = 64
	// engineTimeout is the time without an answer after which an engine counts as
	// unreachable.
	engineTimeout = 5 * time.Second
	// tickInterval is the time between two checks for expired requests.
	tickInterval = 50 * time.Millisecond
	// staticLoadTimeout is the longest wait for a load without a control host.
	staticLoadTimeout = 30 * time.Second
)

// Settings are the options of a Companion. Engine or Service, Control, Now and Random are
// required.
type Settings struct {
	// Node is the process's name, and the name of the backend server.
	Node          string
	Region        string
	FailureDomain string
	// Address is the address that entries connect to, as IP:port.
	Address string
	// Companion and Stop must have their defaults filled in.
	Companion configurer.CompanionSettings
	Stop      configurer.StopSettings
	// Policy chooses the versions to evict; loader.PolicyDemand by default.
	Policy loader.Policy
	// Engine is set for a model engine, Service for a plain service.
	Engine  Engine
	Service Service
	Control Control
	// Recorder and Registerer may be nil.
	Recorder   *recorder.Recorder
	Registerer prometheus.Registerer
	Log        zerolog.Logger
	Now        func() time.Time
	// Random must not be used by others after NewCompanion.
	Random *rand.Rand
}

func (s Settings) check() {
	switch {
	case (s.Engine == nil) == (s.Service == nil):
		panic("companion: settings need either an engine or a service")
	case s.Control == nil, s.Now == nil, s.Random == nil:
		panic("companion: settings need control, clock and random source")
	}
}

// loaderSettings returns the slot table's settings for an engine.
func (s Settings) loaderSettings(e orderer.EngineState) loader.Settings {
	m := s.Companion
	l := loader.Settings{
		Slots:          max(1, cmp.Or(m.Slots, e.Slots)),
		Policy:         s.Policy,
		BackoffInitial: time.Duration(m.LoadBackoff.Initial),
		BackoffMax:     time.Duration(m.LoadBackoff.Max),
		Prefetch:       m.Prefetch,
	}
	if !s.checksFencing(e) {
		l.OrderLife = time.Duration(m.OrderLife)
	}
	return l
}

// checksFencing reports whether the engine is certain to refuse outdated fencing numbers:
// only if both the operator and the engine say so.
func (s Settings) checksFencing(e orderer.EngineState) bool {
	return s.Companion.ChecksFencing && e.ChecksFencing
}
