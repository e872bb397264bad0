package attendant

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/cacher"
	"marigoldpoint.example/marigoldpoint/internal/coordination/continuer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/estimator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/pacer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// Attendant manages one engine. It is safe for concurrent use.
type Attendant struct {
	settings Settings
	metrics  *metrics
	// generation increases with each start of the process: the start time in Unix
	// milliseconds.
	generation uint64
	root       context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
	// wakeup starts a poll of the engine at once.
	wakeup chan struct{}
	// speedWakeup starts a poll of the slowdown factor at once.
	speedWakeup chan struct{}

	// orderMu is held while an order is sent: each order is based on the engine's sequence
	// after the previous one.
	orderMu sync.Mutex

	mu sync.Mutex
	// table is nil until the first report of the engine; guarded by mu, as all fields
	// below.
	table *loader.Table
	// pacer limits the concurrent loads.
	pacer *pacer.Pacer
	// report is the last report. It belongs to the engine's incarnation, whose membership
	// has the given epoch.
	report      Report
	incarnation string
	epoch       uint64
	// reachable reports whether the last poll of the engine succeeded.
	reachable bool
	// contact is when the engine answered and refused connections.
	contact    contact
	admissions map[string]*admission
	// regulator spaces the requests to the engine's incarnation if it has named a limit, and
	// limitReported means that its reports have named one. limitedGrants is the number of
	// requests admitted under the current limit.
	regulator     regulator.Regulator
	limitReported bool
	limitedGrants int
	// turnScheduled means that a task waits for the next request's turn under the limit.
	turnScheduled bool
	// origins holds the origins of the attempts of which this companion is a replica.
	origins *continuer.Store
	// previousModel is the model that the engine held last.
	previousModel string
	// orderedModel is the model that the engine is loading; empty if none.
	orderedModel string
	// blocked holds the requests that wait for their model to be loaded, or for an earlier
	// version of their adapter to leave its slot.
	blocked map[string]*admission
	// earlyReleases holds the arrival times of releases that arrived before their
	// admission.
	earlyReleases map[string]time.Time
	// entries are the connections of entries; the end of a connection ends the admissions
	// made over it.
	entries map[*messenger.Conn]struct{}
	// localEntries are the entries in the engine's own failure domain, remoteEntries those
	// in others.
	localEntries, remoteEntries *subscriberGroup
	cache                       *promptCache
	// memory models the engine's memory for prompts as it reports it; cache is the model that
	// does not depend on reports.
	memory *cacher.Cache
	// evicted lists the adapters that have left their slots, the latest last; newlyEvicted
	// are those that have not been handed to the subscriber groups yet.
	evicted      []string
	newlyEvicted []string
	// prefills is the prefill of the prompts admitted so far.
	prefills estimator.Backlog
	// speed is what is known of the speed of the engine's machine. speedReports means that the
	// engine has reported it, also in an earlier incarnation.
	speed        estimator.Speed
	speedReports bool
	// speedPolledAt is when the last poll of the factor ended, whether or not it succeeded.
	speedPolledAt time.Time
	longPrompts   longPrompts
	// shortage is what is known of waits for slots and loads.
	shortage shortage
	closed   bool
}

// cacheMemoryShare is the part of the engine's memory that is assumed to hold cached prompt
// parts; running requests take the rest.
const cacheMemoryShare = 0.7

// NewAttendant returns an attendant that polls its engine until Close. It panics if the
// engine, the view or the random source is missing.
func NewAttendant(s Settings) *Attendant {
	if s.Engine == nil || s.View == nil || s.Random == nil {
		panic("attendant: settings need an engine, a view and a random source")
	}
	s = s.withDefaults()
	a := &Attendant{
		settings:      s,
		generation:    uint64(s.Now().UnixMilli()),
		wakeup:        make(chan struct{}, 1),
		speedWakeup:   make(chan struct{}, 1),
		admissions:    make(map[string]*admission),
		blocked:       make(map[string]*admission),
		earlyReleases: make(map[string]time.Time),
		entries:       make(map[*messenger.Conn]struct{}),
		localEntries:  newSubscriberGroup(),
		remoteEntries: newSubscriberGroup(),
		cache:         newPromptCache(0),
		memory:        cacher.NewCache(),
		origins:       continuer.NewStore(continuer.Settings{}),
	}
	a.metrics = newMetrics(s.Registerer)
	a.root, a.cancel = context.WithCancel(context.Background())
	a.spawn(a.observe)
	a.spawn(a.observeSpeed)
	a.spawn(func() { a.publish(a.localEntries) })
	a.spawn(func() { a.publish(a.remoteEntries) })
	return a
}

// Ready reports whether the engine has been polled and was reachable at the last poll.
func (a *Attendant) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table != nil && a.reachable
}

// ViewChanged moves waiting requests to newer versions. It starts a poll of the engine if
// requests can't be admitted yet, or if the view names another incarnation of the engine. It
// does not block. After a restart of all
// processes, requests arrive as soon as control has published the deployment; without this
// call they would be refused until the next poll, and orders would name the previous
// incarnation.
func (a *Attendant) ViewChanged() {
	member, known := a.settings.View().Member(a.settings.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followVersions(a.settings.Now())
	if a.table == nil || !a.reachable || known && member.Spec.Incarnation != a.incarnation {
		a.wake()
	}
}

// Idle reports whether there are no admitted or waiting requests.
func (a *Attendant) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.admissions) == 0
}

// Close stops the attendant and waits for its goroutines. The engine keeps running its
// requests.
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

// spawnLocked is spawn for a caller that holds mu.
func (a *Attendant) spawnLocked(f func()) {
	if a.closed {
		return
	}
	a.tasks.Go(f)
}

// pause waits for d, and returns false if the attendant closes.
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
	case messenger.MethodLimit:
		var m messenger.Limit
		if err := messenger.Decode(params, &m); err != nil {
			return nil, err
		}
		a.handleLimit(m)
		return nil, nil
	case messenger.MethodRecordOrigin:
		var m messenger.RecordOrigin
		if err := messenger.Decode(params, &m); err != nil {
			return nil, err
		}
		a.recordOrigin(m)
		return nil, nil
	case messenger.MethodFindOrigin:
		var m messenger.FindOrigin
		if err := messenger.Decode(params, &m); err != nil {
			return nil, err
		}
		return a.findOrigin(m), nil
	case messenger.MethodInspect:
		var m messenger.Inspect
		if err := messenger.Decode(params, &m); err != nil {
			return nil, err
		}
		return a.inspect(ctx, m), nil
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

// watch subscribes an entry to the engine's state, starting with the full state, or ends its
// subscription.
func (a *Attendant) watch(conn *messenger.Conn, m messenger.Watch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.End {
		delete(a.localEntries.conns, conn)
		delete(a.remoteEntries.conns, conn)
		return
	}
	group := a.remoteEntries
	if m.FailureDomain == a.settings.FailureDomain {
		group = a.localEntries
	}
	group.add(conn)
	a.releaseOnDisconnect(conn)
}

// releaseOnDisconnect ends the admissions made over a connection when it closes. The caller
// holds mu.
func (a *Attendant) releaseOnDisconnect(conn *messenger.Conn) {
	if _, ok := a.entries[conn]; ok {
		return
	}
	a.entries[conn] = struct{}{}
	a.spawnLocked(func() {
		select {
		case <-conn.Done():
		case <-a.root.Done():
		}
		a.removeConn(conn)
	})
}

// removeConn removes the connection of an entry and all admissions made over it, since the
// entry can no longer release them.
func (a *Attendant) removeConn(conn *messenger.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.entries, conn)
	delete(a.localEntries.conns, conn)
	delete(a.remoteEntries.conns, conn)
	for _, adm := range a.admissions {
		if adm.conn == conn {
			a.remove(adm)
		}
	}
}
