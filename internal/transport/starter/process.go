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

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
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

// Settings are what a process is made of.
type Settings struct {
	// Configuration must have its defaults filled in.
	Configuration configurer.Settings
	// Eviction chooses how the companion's slots are freed.
	Eviction loader.Policy
	// Registry takes the metrics; nil means a new one.
	Registry *prometheus.Registry
	Log      zerolog.Logger
	// Listen opens a listener; nil means net.Listen over TCP.
	Listen func(address string) (net.Listener, error)
	// Dial opens the connections to companions and control hosts; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed seeds the random sources; 0 means a seed of the process's own.
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

// Process is a running process. It may be used by several goroutines.
type Process struct {
	settings Settings
	recorder *recorder.Recorder
	random   *rand.Rand

	index     *indexer.Index
	client    *subscriber.Client
	control   *controller.Control
	entry     *gatekeeper.Entry
	pool      *dialer.Pool
	callers   *listener.HTTP
	operators *listener.HTTP

	// companionRandom is the companion's random source, taken at the start since
	// random belongs to the goroutine that starts the process.
	companionRandom *rand.Rand

	// standing guards the companion, which an announcement may start at any time
	// before Close.
	standing sync.Mutex
	// beside are the companion's settings, completed by the announcement that it
	// began with; guarded by standing, as the rest.
	beside configurer.CompanionSettings
	// incarnation is that of the backend server's last announcement.
	incarnation string
	// companion is nil while the process waits for an announcement.
	companion *companion.Companion
	// dispatches serves the entries' connections to the companion.
	dispatches *listener.Listener

	// sealer authenticates the connections between processes; nil without Peers.
	sealer *sealer.Sealer

	// starting ends with Close; the companion joins under it.
	starting context.Context
	abandon  context.CancelFunc
	tasks    sync.WaitGroup
	stopping atomic.Bool
	// failed takes the first error that the process can't go on after.
	failed chan error
}

// NewProcess starts all roles and returns once their listeners are open.
func NewProcess(s Settings) (*Process, error) {
	s = s.withDefaults()
	c := s.Configuration
	p := &Process{
		settings: s,
		recorder: recorder.NewRecorder(recorder.Settings{Node: c.Node, RingSize: c.Events.RingSize, Now: s.Now}),
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		failed:   make(chan error, 1),
	}
	p.starting, p.abandon = context.WithCancel(context.Background())
	p.recorder.Record(recorder.Event{Kind: recorder.KindStarted, Detail: "process"})
	if err := p.start(); err != nil {
		return nil, errors.Annotate(stderrors.Join(err, p.Close()), c.Node)
	}
	return p, nil
}

// start opens the roles in the order in which they rely on each other.
func (p *Process) start() error {
	c := p.settings.Configuration
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

// fork returns a random source of its own for one part.
func (p *Process) fork() *rand.Rand {
	return rand.New(rand.NewPCG(p.random.Uint64(), p.random.Uint64()))
}

// Recorder returns the process's events.
func (p *Process) Recorder() *recorder.Recorder { return p.recorder }

// Registry returns the process's metrics.
func (p *Process) Registry() *prometheus.Registry { return p.settings.Registry }

// Failed gives the error after which the process must stop.
func (p *Process) Failed() <-chan error { return p.failed }

// Revision returns the newest configuration revision applied here.
func (p *Process) Revision() uint64 { return p.index.Revision() }

// Leading reports whether this process's control host leads.
func (p *Process) Leading() bool { return p.control != nil && p.control.Leading() }

// Ready reports whether all roles take new work.
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

// companionReady reports whether the companion takes requests; it does not while
// it waits for an announcement.
func (p *Process) companionReady() bool {
	c := p.currentCompanion()
	return c != nil && c.Ready()
}

// currentCompanion returns the companion; nil while the process waits for an
// announcement, or has no such role.
func (p *Process) currentCompanion() *companion.Companion {
	p.standing.Lock()
	defer p.standing.Unlock()
	return p.companion
}

// fail notes an error that ends the process.
func (p *Process) fail(err error) {
	select {
	case p.failed <- err:
	default:
	}
}
