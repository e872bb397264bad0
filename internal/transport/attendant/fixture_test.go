package attendant_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marigoldpoint.example/marigoldpoint/internal/coordination/cacher"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
	"marigoldpoint.example/marigoldpoint/internal/transport/attendant"
)

const (
	model         = "m"
	failureDomain = "here"
	slots         = 2
	loadTime      = 250 * time.Millisecond
)

// engine simulates a model engine by its protocol: it refuses orders by sequence, fence and
// incarnation, takes time to load, and crashes if it is ordered to hold more adapters than
// fit.
type engine struct {
	mu          sync.Mutex
	incarnation string
	started     uint64
	sequence    uint64
	fence       uint64
	empty       bool
	disk        []string
	busy        bool
	held        map[string]uint64
	pending     map[string]uint64
	// lostOrders is the number of orders whose answer is lost; they are carried out after
	// lostOrderDelay.
	lostOrders     int
	lostOrderDelay time.Duration
	// lostAtOnce means that the connection of a lost answer is reset at once. Otherwise the sender
	// waits for its timeout, under a lock for which no other order can wait on synthetic time.
	lostAtOnce bool
	orders     []attendant.Order
	failure    string
	// stalled means that loads don't end, as while the weight store stalls.
	stalled bool
	// limit is what reports say about the limit of requests.
	limit regulator.Notice
	// memoryUsed and memoryTotal are the reported memory.
	memoryUsed, memoryTotal int
	// slowdown is the factor that the health path answers, 0 for none, and polls the number of its
	// requests.
	slowdown float64
	polls    int
	// presences are what connections opened in order show; the last one is kept.
	presences []attendant.Presence
	// onOrder is called with each order that is sent; nil means nothing.
	onOrder func(attendant.Order)
}

func (e *engine) Slowdown(context.Context, string) (float64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls++
	return e.slowdown, nil
}

// slow sets the factor that the health path answers, and returns the number of polls so far.
func (e *engine) slow(factor float64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
	return e.polls
}

func (e *engine) setLimit(n regulator.Notice) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = n
}

func newEngine() *engine {
	return &engine{
		incarnation: "i-1", held: map[string]uint64{}, pending: map[string]uint64{}, presences: []attendant.Presence{attendant.PresenceAccepts},
	}
}

// setPresence sets what connections opened in order show.
func (e *engine) setPresence(p ...attendant.Presence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.presences = p
}

func (e *engine) Find(context.Context, string) attendant.Presence {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.presences[0]
	if len(e.presences) > 1 {
		e.presences = e.presences[1:]
	}
	return p
}

func (e *engine) Report(context.Context) (attendant.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch e.presences[0] {
	case attendant.PresenceRefused:
		return attendant.Report{}, syscall.ECONNREFUSED
	case attendant.PresenceUnknown:
		return attendant.Report{}, context.DeadlineExceeded
	case attendant.PresenceAccepts, attendant.PresenceConnected, attendant.PresenceReplaced:
	}
	r := attendant.Report{Sequence: e.sequence, Born: e.started, Busy: e.busy, OnDisk: e.disk, Limit: e.limit, MemoryUsed: e.memoryUsed, MemoryTotal: e.memoryTotal}
	if !e.empty {
		m := attendant.HeldModel{Name: model, Version: 1}
		for name, version := range e.held {
			m.Adapters = append(m.Adapters, attendant.HeldAdapter{Name: name, Version: version})
		}
		r.Models = []attendant.HeldModel{m}
	}
	for name, version := range e.pending {
		r.Pending = append(r.Pending, attendant.PendingAdapter{Model: model, HeldAdapter: attendant.HeldAdapter{Name: name, Version: version}})
	}
	return r, nil
}

func (e *engine) Order(ctx context.Context, o attendant.Order) (attendant.Reply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.onOrder != nil {
		e.onOrder(o)
	}
	if e.lostOrders > 0 {
		e.lostOrders--
		time.AfterFunc(e.lostOrderDelay, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.execute(o)
		})
		if e.lostAtOnce {
			return 0, errors.New("connection reset")
		}
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return 0, errors.New("no answer")
	}
	return e.execute(o), nil
}

// execute checks and carries out an order at its arrival. The caller holds mu.
func (e *engine) execute(o attendant.Order) attendant.Reply {
	switch {
	case o.Incarnation != "" && o.Incarnation != e.incarnation:
		return attendant.ReplyWrongIncarnation
	case o.Fence < e.fence:
		return attendant.ReplyFenced
	case e.busy || o.Expect != e.sequence:
		return attendant.ReplyConflict
	}
	e.fence = o.Fence
	e.sequence++
	e.orders = append(e.orders, o)
	incarnation := e.incarnation
	after := func(f func()) {
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.incarnation == incarnation {
				f()
			}
		})
	}
	switch {
	case o.Adapter == "":
		e.busy = true
		after(func() { e.busy, e.empty = false, false })
	case o.Kind == attendant.OrderUnload:
		delete(e.held, o.Adapter)
		return attendant.ReplyAlreadyDone
	default:
		if e.pending[o.Adapter] = o.Version; e.empty || len(e.held)+len(e.pending) > slots {
			e.failure = fmt.Sprintf("ordered to hold %v and %v", e.held, e.pending)
		}
		if e.stalled {
			break
		}
		after(func() {
			delete(e.pending, o.Adapter)
			e.held[o.Adapter] = o.Version
		})
	}
	return attendant.ReplyAccepted
}

// restart starts another incarnation, empty.
func (e *engine) restart(incarnation string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation, e.sequence, e.fence, e.empty, e.busy = incarnation, 0, 0, true, false
	clear(e.held)
	clear(e.pending)
}

// ordered returns the number of accepted orders of a kind for an adapter.
func (e *engine) ordered(kind attendant.OrderKind, adapter string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, o := range e.orders {
		if o.Kind == kind && o.Adapter == adapter {
			n++
		}
	}
	return n
}

// fixture is an attendant with an engine, and the connection of an entry.
type fixture struct {
	// promptCache is the mode of the companions that are started.
	promptCache cacher.Mode
	t           *testing.T
	engine      *engine
	attendant   *attendant.Attendant
	tracker     *tracker.Tracker
	revision    uint64
	conn        *messenger.Conn
	network     net.Conn
	registry    *prometheus.Registry
	longPrompts separator.Mode
}

const backendName = "10.0.0.1-80"

func newFixture(t *testing.T, e *engine) *fixture {
	t.Helper()
	f := newFixtureWithoutDeployment(t, e)
	f.publishDeployment()
	return f
}

// publishDeployment gives the attendant the configuration and its engine's membership.
func (f *fixture) publishDeployment() {
	f.apply(storer.KindRouting, storer.RoutingName, storer.RoutingSpec{Number: 1})
	f.announce("i-1", storer.MemberStateServing)
}

// newFixtureWithoutDeployment returns a fixture whose attendant does not know the
// deployment.
func newFixtureWithoutDeployment(t *testing.T, e *engine) *fixture {
	t.Helper()
	f := &fixture{t: t, engine: e, promptCache: cacher.ModeWeighed, longPrompts: separator.ModeSeparate}
	f.tracker = tracker.NewTracker(tracker.Settings{Decode: func([]byte) (*tracker.Routing, error) {
		r := &tracker.Routing{Number: 1, Services: []tracker.Service{{Name: "s", HealthPath: "/health", Engine: &tracker.Engine{
			Slots: 64, MemoryTokens: 1000, MaxAdapters: slots, Models: []tracker.Model{{Name: model}},
		}}}, Routes: []tracker.Route{{
			Name: "r", Host: "h", Prefix: "/", Timeout: time.Minute, Stream: true, MaxEventGap: 400 * time.Millisecond, Shares: []tracker.Share{{Service: "s", Weight: 1}},
		}}}
		err := r.Compile()
		return r, err
	}})
	f.startCompanion()
	network, other := net.Pipe()
	f.network = other
	go func() {
		// The entry reads and discards all messages.
		buffer := make([]byte, 4096)
		for {
			if _, err := other.Read(buffer); err != nil {
				return
			}
		}
	}()
	f.conn = messenger.NewConn(network, messenger.Settings{HeartbeatInterval: time.Hour, SilenceLimit: 24 * time.Hour})
	return f
}

// startCompanion starts a companion that knows nothing of previous ones.
func (f *fixture) startCompanion() {
	f.registry = prometheus.NewRegistry()
	f.attendant = attendant.NewAttendant(attendant.Settings{
		Name: backendName, FailureDomain: failureDomain, Engine: f.engine, View: f.tracker.View, Registerer: f.registry, PromptCache: f.promptCache, LongPrompts: f.longPrompts, Random: rand.New(rand.NewPCG(1, 2)),
	})
}

// restartCompanion ends the companion and starts another.
func (f *fixture) restartCompanion() {
	if err := f.attendant.Close(); err != nil {
		f.t.Error(err)
	}
	f.startCompanion()
}

func (f *fixture) apply(kind storer.Kind, name string, spec storer.Spec) {
	f.revision++
	r := storer.Resource{Kind: kind, Metadata: storer.Metadata{Name: name, Revision: f.revision}, Spec: spec}
	if err := f.tracker.Apply([]storer.Change{{Revision: f.revision, Resource: r}}, f.revision); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) announce(incarnation string, state storer.MemberState) {
	f.apply(storer.KindMember, backendName, storer.MemberSpec{
		Service: "s", Address: "10.0.0.1:80", Incarnation: incarnation, State: state, Epoch: f.revision + 1,
	})
}

func (f *fixture) close() {
	if err := f.attendant.Close(); err != nil {
		f.t.Error(err)
	}
	_ = f.network.Close()
	_ = f.conn.Close()
	if f.engine.failure != "" {
		f.t.Error("the engine crashed: " + f.engine.failure)
	}
}

// admission is a request for admission in progress.
type admission struct {
	admitted messenger.Admitted
	err      error
	done     chan struct{}
}

func (f *fixture) admit(request, adapter string, version uint64) *admission {
	return f.admitPrompt(request, adapter, version, messenger.Part{ID: 1, Tokens: 100})
}

func (f *fixture) admitPrompt(request, adapter string, version uint64, parts ...messenger.Part) *admission {
	return f.send(messenger.Admit{Request: request, Adapter: adapter, Version: version, Parts: parts})
}

// admitIncarnation requests admission at an incarnation of the engine.
func (f *fixture) admitIncarnation(incarnation, request, adapter string, version uint64) *admission {
	return f.send(messenger.Admit{Incarnation: incarnation, Request: request, Adapter: adapter, Version: version})
}

func (f *fixture) send(m messenger.Admit) *admission {
	a := &admission{done: make(chan struct{})}
	m.Model, m.WaitMillis = model, 10_000
	for _, p := range m.Parts {
		m.Tokens += p.Tokens
	}
	params, err := json.Marshal(m)
	if err != nil {
		f.t.Fatal(err)
	}
	go func() {
		defer close(a.done)
		answer, err := f.attendant.Handle(context.Background(), f.conn, messenger.MethodAdmit, params)
		if a.err = err; err == nil {
			a.admitted = answer.(messenger.Admitted)
		}
	}()
	return a
}

func (a *admission) ended() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

func (f *fixture) release(request string) {
	params, err := json.Marshal(messenger.Release{Request: request})
	if err == nil {
		_, err = f.attendant.Handle(context.Background(), f.conn, messenger.MethodRelease, params)
	}
	if err != nil {
		f.t.Error(err)
	}
}
