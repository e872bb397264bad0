package relayer

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/watcher"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// Relayer serves opaque calls. It is safe for concurrent use.
type Relayer struct {
	settings Settings
	metrics  *metrics
	budget   *budget
	root     context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	// inFlight is the number of calls in progress.
	inFlight atomic.Int64
	// trusted is set once the view has been up to date.
	trusted atomic.Bool
	// stopAt is the time at which a planned stop cuts the calls in progress, in
	// nanoseconds since 1970; 0 if no stop is planned.
	stopAt atomic.Int64
	// lastStreamLossAt is when a stream last broke, in nanoseconds since 1970.
	lastStreamLossAt atomic.Int64
	// poll triggers a check of the subscriptions to companions.
	poll chan struct{}

	randomMu sync.Mutex
	random   *rand.Rand

	watchedMu sync.Mutex
	// watched holds the companions by engine name; guarded by watchedMu.
	watched map[string]companion
	// watcher detects silent companions; guarded by watchedMu.
	watcher *watcher.Watcher
	// previouslySilent holds the companions that were silent at the last poll, with
	// their services. Until fullPaceUntil all companions use the full heartbeat pace.
	// Both are guarded by watchedMu.
	previouslySilent map[string]string
	fullPaceUntil    time.Time
	// engines holds the names of the engines whose companions report their state, by
	// connection; guarded by watchedMu.
	engines map[*messenger.Conn]string

	// suspects decides which requests may not be sent to backend servers.
	suspects *suspecter.Table
	// quarantineRevision is the revision up to which quarantines have cancelled
	// attempts. Only ViewChanged uses it, and views arrive one at a time.
	quarantineRevision uint64

	lossesMu sync.Mutex
	// losses holds the losses that are being collected, and inspections is the number
	// of running inspections and reports; guarded by lossesMu.
	losses      map[incarnation]*loss
	inspections int

	attemptsMu sync.Mutex
	// attempts holds the attempts in progress by engine name; guarded by attemptsMu.
	attempts map[string]map[*attempt]struct{}
}

// NewRelayer returns a running relayer. Calls are served by ServeHTTP.
func NewRelayer(s Settings) *Relayer {
	s = s.withDefaults()
	r := &Relayer{
		settings: s,
		metrics:  newMetrics(s.Registerer),
		budget:   newBudget(s.RetryRatio, s.RetrySlack, s.RetryWindow),
		poll:     make(chan struct{}, 1),
		random:   s.Random,
		watched:  make(map[string]companion),
		watcher:  watcher.NewWatcher(s.Silence),
		engines:  make(map[*messenger.Conn]string),
		suspects: suspecter.NewTable(suspecter.Settings{}),
		losses:   make(map[incarnation]*loss),
		attempts: make(map[string]map[*attempt]struct{}),
	}
	r.root, r.cancel = context.WithCancel(context.Background())
	r.tasks.Go(r.watchCompanions)
	r.tasks.Go(r.watchSilence)
	return r
}

// InFlight returns the number of calls in progress.
func (r *Relayer) InFlight() int { return int(r.inFlight.Load()) }

// Routing returns the configuration in force, or nil if no trusted one is known yet.
//
// Shortly after its start, a process may receive an old state from a control host that
// has just started too: an earlier configuration would then be in force at this entry
// for a moment, seconds after a newer one was accepted. Once trusted, the known
// configuration stays in use, even without contact to control hosts.
func (r *Relayer) Routing() *tracker.Routing {
	if !r.trusted.Load() {
		if r.settings.Trusted != nil && !r.settings.Trusted() {
			return nil
		}
		r.trusted.Store(true)
	}
	return r.settings.View().Routing
}

// ViewChanged applies a new view. It does not block.
func (r *Relayer) ViewChanged(v *tracker.View) {
	r.settings.Placer.SetView(v)
	r.suspects.Sync(v)
	r.cancelPreviousIncarnations(v)
	r.cancelQuarantined(v)
	select {
	case r.poll <- struct{}{}:
	default:
	}
}

// SetStopTime sets the time at which a planned stop cuts the calls in progress.
func (r *Relayer) SetStopTime(at time.Time) { r.stopAt.Store(at.UnixNano()) }

// Close stops the background tasks and waits for them. It does not end calls in
// progress; that is up to their HTTP server.
func (r *Relayer) Close() error {
	r.lossesMu.Lock()
	r.cancel()
	r.lossesMu.Unlock()
	r.tasks.Wait()
	return nil
}

// Handle processes the messages of companions.
func (r *Relayer) Handle(_ context.Context, conn *messenger.Conn, method messenger.Method, params json.RawMessage) (any, error) {
	if method != messenger.MethodState {
		return nil, messenger.NewRefusal(messenger.ReasonUnsupported, string(method))
	}
	var s placer.EngineState
	if err := messenger.Decode(params, &s); err != nil {
		return nil, err
	}
	s.Name = r.engineOf(conn, s.Name)
	if s.Entries > 0 {
		r.budget.setEntries(s.Entries)
	}
	if m, ok := r.settings.View().Member(s.Name); ok && !r.settings.Placer.Report(r.settings.Now(), m.Spec.Service, s) {
		r.requestState(conn)
	}
	return nil, nil
}

// engineOf returns the name of the engine whose companion is the peer of conn. Only
// reports of the whole state contain the name.
func (r *Relayer) engineOf(conn *messenger.Conn, name string) string {
	r.watchedMu.Lock()
	defer r.watchedMu.Unlock()
	if name == "" {
		return r.engines[conn]
	}
	if r.engines[conn] == "" {
		for other := range r.engines {
			if other.Ended() {
				delete(r.engines, other)
			}
		}
		r.engines[conn] = name
	}
	return name
}

// watchCompanions keeps the entry subscribed to the state of each engine's companion.
func (r *Relayer) watchCompanions() {
	ticker := time.NewTicker(r.settings.WatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.root.Done():
			return
		case <-ticker.C:
		case <-r.poll:
		}
		v := r.settings.View()
		if v.Routing == nil {
			continue
		}
		var wanted []tracker.Member
		v.Each(func(m tracker.Member) {
			s := v.Routing.Service(m.Spec.Service)
			if s != nil && s.Engine != nil && m.Spec.State == storer.MemberStateServing {
				wanted = append(wanted, m)
			}
		})
		r.unwatchOthers(wanted)
		for _, m := range wanted {
			if !r.subscribed(m) {
				r.tasks.Go(func() { r.subscribe(m) })
			}
		}
	}
}

// unwatchOthers removes the companions of all engines that are not wanted.
func (r *Relayer) unwatchOthers(wanted []tracker.Member) {
	r.watchedMu.Lock()
	defer r.watchedMu.Unlock()
	maps.DeleteFunc(r.watched, func(name string, _ companion) bool {
		return !slices.ContainsFunc(wanted, func(m tracker.Member) bool { return m.Name == name })
	})
	r.watcher.Retain(func(name string) bool {
		_, is := r.watched[name]
		return is
	})
}

// subscribed reports whether a companion reports its state on the current connection,
// and the state is known.
func (r *Relayer) subscribed(m tracker.Member) bool {
	conn := r.settings.Companions.Live(r.settings.CompanionAddress(m))
	r.watchedMu.Lock()
	c := r.watched[m.Name]
	r.watchedMu.Unlock()
	return conn != nil && c.conn == conn && r.settings.Placer.HasReport(m.Spec.Service, m.Name)
}

// subscribe asks a companion to report its state, unless it already does and the state
// is known. The state may be unknown because the companion's first report can arrive
// before the entry has learned of its engine.
func (r *Relayer) subscribe(m tracker.Member) {
	address := r.settings.CompanionAddress(m)
	ctx, cancel := context.WithTimeout(r.root, r.settings.WatchInterval)
	defer cancel()
	conn, err := r.settings.Companions.Conn(ctx, address)
	if err != nil {
		return
	}
	r.watchedMu.Lock()
	known := r.watched[m.Name].conn == conn
	r.watched[m.Name] = companion{service: m.Spec.Service, conn: conn}
	r.watchedMu.Unlock()
	if known && r.settings.Placer.HasReport(m.Spec.Service, m.Name) {
		return
	}
	if !known {
		r.settings.Log.Info().Str("Companion", address).Msg("companion reached")
	}
	r.requestState(conn)
}

// requestState asks a companion to report the whole state of its engine.
func (r *Relayer) requestState(conn *messenger.Conn) {
	if err := conn.Notify(r.root, messenger.MethodWatch, messenger.Watch{Node: r.settings.Node, FailureDomain: r.settings.FailureDomain}); err != nil {
		r.settings.Log.Debug().Err(err).Str("Companion", conn.Peer()).Msg("requesting the companion's state failed")
	}
}

// draw returns a uniformly distributed random number in [0, 1).
func (r *Relayer) draw() float64 {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.Float64()
}
