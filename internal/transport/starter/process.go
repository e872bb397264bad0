package starter

import (
	"context"
	stderrors "errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/moderator"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/transport/companion"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
	"marigoldpoint.example/marigoldpoint/internal/transport/gatekeeper"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
	"marigoldpoint.example/marigoldpoint/internal/transport/sealer"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

// Settings configures a Process.
type Settings struct {
	// Configuration must have its defaults filled in.
	Configuration configurer.Settings
	// Eviction is the eviction policy of the companion's slots.
	Eviction loader.Policy
	// Registry registers the metrics; nil means a new one.
	Registry *prometheus.Registry
	Log      zerolog.Logger
	// Listen opens a listener; nil means net.Listen over TCP.
	Listen func(address string) (net.Listener, error)
	// Dial opens the connections to companions and control hosts; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed seeds the random sources; 0 means a random seed.
	Seed uint64
}

func (s Settings) withDefaults() Settings {
	if s.Registry == nil {
		s.Registry = prometheus.NewRegistry()
	}
	if s.Listen == nil {
		s.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	return s
}

// Process is a running process. Its methods are safe for concurrent use.
type Process struct {
	settings Settings
	recorder *recorder.Recorder
	random   *rand.Rand
	// allotter limits what connections and requests hold in the process.
	allotter *allotter.Allotter

	index         *indexer.Index
	client        *subscriber.Client
	control       *controller.Control
	entry         *gatekeeper.Entry
	pool          *dialer.Pool
	entryListener *listener.HTTP
	// callerConnections limits the connections of callers; nil without an entry.
	callerConnections *moderator.Moderator
	operatorsListener *listener.HTTP

	// companionRandom is the companion's random source. It is created at the start, since
	// random may be used only by the goroutine that starts the process.
	companionRandom *rand.Rand

	// companionMu guards the four fields below: an announcement may start the companion
	// at any time before Close.
	companionMu sync.Mutex
	// companionSettings are the companion's settings, completed by the announcement that
	// started it; guarded by companionMu.
	companionSettings configurer.CompanionSettings
	// incarnation is the one in the backend server's last announcement.
	incarnation string
	// companion is nil while the process waits for an announcement.
	companion *companion.Companion
	// companionListener accepts the entries' connections to the companion.
	companionListener *listener.Listener

	// sealer authenticates the connections between processes; nil without Peers.
	sealer *sealer.Sealer

	// runCtx ends with Close; the companion starts with it.
	runCtx    context.Context
	cancelRun context.CancelFunc
	tasks     sync.WaitGroup
	stopping  atomic.Bool
	// failed receives the first error that requires the process to stop.
	failed chan error
}

// NewProcess starts all roles and returns once their listeners are open. If it fails, it
// closes what it has opened.
func NewProcess(s Settings) (*Process, error) {
	s = s.withDefaults()
	c := s.Configuration
	p := &Process{
		settings: s,
		recorder: recorder.NewRecorder(recorder.Settings{Node: c.Node, RingSize: c.Events.RingSize, Now: s.Now}),
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		allotter: newAllotter(c.Limits),
		failed:   make(chan error, 1),
	}
	listener.Register(s.Registry, p.allotter)
	p.runCtx, p.cancelRun = context.WithCancel(context.Background())
	p.recorder.Record(recorder.Event{Kind: recorder.KindStarted, Detail: "process"})
	if err := p.start(); err != nil {
		return nil, errors.Annotate(stderrors.Join(err, p.Close()), c.Node)
	}
	return p, nil
}

// start starts the roles in the order of their dependencies.
func (p *Process) start() error {
	c := p.settings.Configuration
	p.tasks.Go(func() { listener.LogEvictions(p.runCtx, p.allotter, p.settings.Log) })
	if err := p.startSealer(); err != nil {
		return errors.Annotate(err, "reading the certificate")
	}
	if c.HasRole(configurer.RoleControl) {
		if err := p.startControl(); err != nil {
			return errors.Annotate(err, "starting control")
		}
	}
	p.startClient()
	if c.HasRole(configurer.RoleEntry) {
		if err := p.startEntry(); err != nil {
			return errors.Annotate(err, "starting the entry")
		}
	}
	if c.HasRole(configurer.RoleCompanion) {
		if err := p.startCompanion(); err != nil {
			return errors.Annotate(err, "starting the companion")
		}
	}
	return errors.Annotate(p.startOperators(), "starting the operators' listener")
}

// forkRandom returns a separate random source for one component.
func (p *Process) forkRandom() *rand.Rand {
	return rand.New(rand.NewPCG(p.random.Uint64(), p.random.Uint64()))
}

// Recorder returns the process's events.
func (p *Process) Recorder() *recorder.Recorder { return p.recorder }

// Registry returns the process's metrics.
func (p *Process) Registry() *prometheus.Registry { return p.settings.Registry }

// Failed returns a channel that receives the error after which the process must stop.
func (p *Process) Failed() <-chan error { return p.failed }

// Revision returns the newest configuration revision applied by this process.
func (p *Process) Revision() uint64 { return p.index.Revision() }

// Leading reports whether this process's control host leads.
func (p *Process) Leading() bool { return p.control != nil && p.control.Leading() }

// Ready reports whether all roles accept new work.
func (p *Process) Ready() bool {
	switch {
	case p.stopping.Load(),
		p.control != nil && !p.control.Ready(),
		p.entry != nil && !p.entry.Ready(),
		p.settings.Configuration.HasRole(configurer.RoleCompanion) && !p.companionReady():
		return false
	default:
		return true
	}
}

// companionReady reports whether the companion accepts requests. It does not while it
// waits for an announcement.
func (p *Process) companionReady() bool {
	c := p.currentCompanion()
	return c != nil && c.Ready()
}

// currentCompanion returns the companion. It is nil while the process waits for an
// announcement, and if the process has no such role.
func (p *Process) currentCompanion() *companion.Companion {
	p.companionMu.Lock()
	defer p.companionMu.Unlock()
	return p.companion
}

// fail reports an error that ends the process.
func (p *Process) fail(err error) {
	select {
	case p.failed <- err:
	default:
	}
}
