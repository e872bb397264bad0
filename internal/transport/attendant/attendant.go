package attendant

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/pacer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// Attendant stands beside one engine. It may be used by several goroutines.
type Attendant struct {
	settings Settings
	metrics  *metrics
	// life rises with each start of the process.
	life   uint64
	root   context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// look wakes the observer.
	look chan struct{}

	// ordering is held while an order is given: each bases on the sequence that
	// the one before left.
	ordering sync.Mutex

	mu sync.Mutex
	// table is nil until the engine was seen; guarded by mu, as all below.
	table *loader.Table
	// pacer bounds the loads under way.
	pacer *pacer.Pacer
	// report is the last one, of the life of the engine named incarnation, whose
	// membership has the epoch.
	report      Report
	incarnation string
	epoch       uint64
	// reachable tells whether the last look at the engine succeeded.
	reachable bool
	guests    map[string]*guest
	// former is the model that the engine held last.
	former string
	// ordered is the model that the engine is loading; empty means none.
	ordered string
	// blocked are guests that wait until their model is there, or an earlier version
	// of their adapter has left its slot.
	blocked map[string]*guest
	// early holds releases that came before their admission, with their time.
	early map[string]time.Time
	// entries are the connections of entries, whose end ends what was admitted.
	entries map[*messenger.Conn]struct{}
	// near are the entries of the engine's own failure domain, and far the others.
	near, far *audience
	book      *cachebook
	// recent lists adapters that left their slots, the latest last, and left those
	// among them that no audience was told of yet.
	recent []string
	left   []string
	// readUntil is when the prompts admitted so far are expected to be read.
	readUntil time.Time
	closed    bool
}

// memoryShare is the part of an engine's memory that is believed to hold cached
// prompt parts; running requests take the rest.
const memoryShare = 0.7

// NewAttendant returns an attendant that looks at its engine from now on.
func NewAttendant(s Settings) *Attendant {
	if s.Engine == nil || s.View == nil || s.Random == nil {
		panic("attendant: NewAttendant needs an engine, a view and a random source")
	}
	s = s.withDefaults()
	a := &Attendant{
		settings: s,
		life:     uint64(s.Now().UnixMilli()),
		look:     make(chan struct{}, 1),
		guests:   make(map[string]*guest),
		blocked:  make(map[string]*guest),
		early:    make(map[string]time.Time),
		entries:  make(map[*messenger.Conn]struct{}),
		near:     newAudience(),
		far:      newAudience(),
		book:     newCachebook(0),
	}
	a.metrics = newMetrics(s.Registerer)
	a.root, a.cancel = context.WithCancel(context.Background())
	a.spawn(a.observe)
	a.spawn(func() { a.tell(a.near) })
	a.spawn(func() { a.tell(a.far) })
	return a
}

// Ready reports whether the engine was seen.
func (a *Attendant) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table != nil && a.reachable
}

// ViewChanged has the engine looked at where nothing could be taken in before, or
// where it is in another life. It is quick. After a restart of all, calls come as soon
// as control has told of the deployment; until the next look they were turned away, and
// orders went to the former life.
func (a *Attendant) ViewChanged() {
	member, known := a.settings.View().Member(a.settings.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table == nil || !a.reachable || known && member.Spec.Incarnation != a.incarnation {
		a.wake()
	}
}

// Idle reports whether no request is admitted or waits.
func (a *Attendant) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.guests) == 0
}

// Close ends the attendant and waits. The engine goes on with what it runs.
func (a *Attendant) Close() error {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.cancel()
	a.tasks.Wait()
	return nil
}

// spawn runs f in a goroutine that Close waits for.
func (a *Attendant) spawn(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spawnLocked(f)
}

func (a *Attendant) spawnLocked(f func()) {
	if a.closed {
		return
	}
	a.tasks.Go(f)
}

// pause waits, and returns false when the attendant closes.
func (a *Attendant) pause(d time.Duration) bool { return pauser.Pause(a.root, d) }

// Handle serves the messages of entries.
func (a *Attendant) Handle(ctx context.Context, conn *messenger.Conn, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodAdmit:
		var m messenger.Admit
		if err := messenger.Decode(params, &m); err != nil {
			return nil, err
		}
		return a.admit(ctx, conn, m)
	case messenger.MethodRelease:
		var m messenger.Release
		if err := messenger.Decode(params, &m); err != nil {
			return nil, err
		}
		a.release(m.Request) //nolint:contextcheck // Orders outlive the request that led to them.
		return nil, nil
	case messenger.MethodWatch:
		var m messenger.Watch
		if err := messenger.Decode(params, &m); err != nil {
			return nil, err
		}
		a.watch(conn, m) //nolint:contextcheck // Orders outlive the request that led to them.
		return nil, nil
	default:
		return nil, messenger.NewRefusal(messenger.ReasonUnsupported, string(method))
	}
}

// watch tells an entry of the engine's state from now on, the whole of it first.
func (a *Attendant) watch(conn *messenger.Conn, m messenger.Watch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	audience := a.far
	if m.FailureDomain == a.settings.FailureDomain {
		audience = a.near
	}
	audience.add(conn)
	a.follow(conn)
}

// follow ends the admissions of an entry's requests with its connection. The caller
// holds mu.
func (a *Attendant) follow(conn *messenger.Conn) {
	if _, ok := a.entries[conn]; ok {
		return
	}
	a.entries[conn] = struct{}{}
	a.spawnLocked(func() {
		select {
		case <-conn.Done():
		case <-a.root.Done():
		}
		a.forget(conn)
	})
}

// forget drops an entry whose connection ended, and all that it was admitted: the
// entry can't release it any more.
func (a *Attendant) forget(conn *messenger.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.entries, conn)
	delete(a.near.conns, conn)
	delete(a.far.conns, conn)
	for _, g := range a.guests {
		if g.conn == conn {
			a.drop(g)
		}
	}
}
