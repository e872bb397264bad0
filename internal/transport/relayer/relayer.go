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

// Relayer serves opaque calls. Several goroutines may use it.
type Relayer struct {
	settings Settings
	metrics  *metrics
	budget   *budget
	root     context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	// inFlight counts the calls in progress.
	inFlight atomic.Int64
	// trusted is set once what is known was all that was accepted.
	trusted atomic.Bool
	// stopAt is when a planned stop cuts what is in progress, in nanoseconds since
	// 1970; 0 while none is under way.
	stopAt atomic.Int64
	// lostAt is when a stream broke last, in nanoseconds since 1970.
	lostAt atomic.Int64
	// poll wakes the watch over companions.
	poll chan struct{}

	randomMu sync.Mutex
	random   *rand.Rand

	watchedMu sync.Mutex
	// watched holds what is known of the companions, by the engine's name; guarded by
	// watchedMu.
	watched map[string]companion
	// watcher tells which of them are silent; guarded by watchedMu.
	watcher *watcher.Watcher
	// silentLast are those that were silent at the last check, with their services, and
	// doubtUntil is until when all are attended; guarded by watchedMu.
	silentLast map[string]string
	doubtUntil time.Time
	// engines holds the names of the engines whose companions tell their state, by
	// connection; guarded by watchedMu.
	engines map[*messenger.Conn]string

	// suspects tells which requests are kept from backend servers.
	suspects *suspecter.Table
	// reviewed is the revision up to which quarantines have ended attempts; views come one
	// after another.
	reviewed uint64

	lossesMu sync.Mutex
	// losses holds what breaks just now, and inspecting counts what is inspected; guarded
	// by lossesMu.
	losses     map[incarnation]*loss
	inspecting int

	attemptsMu sync.Mutex
	// attempts holds those in progress, by the engine's name; guarded by attemptsMu.
	attempts map[string]map[*attempt]struct{}
}

// NewRelayer returns a relayer that follows its view from now on. Calls reach it
// by ServeHTTP.
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

// Routing returns the configuration in force, or nil while none can be trusted.
//
// A process that has just started may be told an old state at first, by a control
// host that has just started too: the configuration of before would be in force at
// this entry for a moment, seconds after another was accepted. Later, what is known
// stays in use, also without contact to control hosts.
func (r *Relayer) Routing() *tracker.Routing {
	if !r.trusted.Load() {
		if r.settings.Trusted != nil && !r.settings.Trusted() {
			return nil
		}
		r.trusted.Store(true)
	}
	return r.settings.View().Routing
}

// ViewChanged has the relayer follow a new view. It is quick.
func (r *Relayer) ViewChanged(v *tracker.View) {
	r.settings.Placer.SetView(v)
	r.suspects.Follow(v)
	r.endFormer(v)
	r.endQuarantined(v)
	select {
	case r.poll <- struct{}{}:
	default:
	}
}

// SetStopTime tells the relayer that what is in progress at a time will be cut.
func (r *Relayer) SetStopTime(at time.Time) { r.stopAt.Store(at.UnixNano()) }

// Close ends the watch over companions and waits. Calls in progress are their
// server's to end.
func (r *Relayer) Close() error {
	r.lossesMu.Lock()
	r.cancel()
	r.lossesMu.Unlock()
	r.tasks.Wait()
	return nil
}

// Handle takes what companions send.
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
		r.budget.share(s.Entries)
	}
	if m, ok := r.settings.View().Member(s.Name); ok && !r.settings.Placer.Report(r.settings.Now(), m.Spec.Service, s) {
		r.askState(conn)
	}
	return nil, nil
}

// engineOf returns the name of the engine whose companion is at the other end. It is
// told with the whole state only.
func (r *Relayer) engineOf(conn *messenger.Conn, told string) string {
	r.watchedMu.Lock()
	defer r.watchedMu.Unlock()
	if told == "" {
		return r.engines[conn]
	}
	if r.engines[conn] == "" {
		for other := range r.engines {
			if other.Ended() {
				delete(r.engines, other)
			}
		}
		r.engines[conn] = told
	}
	return told
}

// watchCompanions keeps each companion telling its state.
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
		r.unwatch(wanted)
		for _, m := range wanted {
			if !r.subscribed(m) {
				r.tasks.Go(func() { r.watch(m) })
			}
		}
	}
}

// unwatch forgets the companions of engines that serve no more.
func (r *Relayer) unwatch(wanted []tracker.Member) {
	r.watchedMu.Lock()
	defer r.watchedMu.Unlock()
	maps.DeleteFunc(r.watched, func(name string, _ companion) bool {
		return !slices.ContainsFunc(wanted, func(m tracker.Member) bool { return m.Name == name })
	})
	r.watcher.Keep(func(name string) bool {
		_, is := r.watched[name]
		return is
	})
}

// subscribed reports whether a companion tells its state on the connection in use, and the
// state is known.
func (r *Relayer) subscribed(m tracker.Member) bool {
	conn := r.settings.Companions.Live(r.settings.CompanionAddress(m))
	r.watchedMu.Lock()
	c := r.watched[m.Name]
	r.watchedMu.Unlock()
	return conn != nil && c.conn == conn && r.settings.Placer.Known(m.Spec.Service, m.Name)
}

// watch asks one companion to tell its state, unless it does and the state is known.
// It may not be: the companion's first word can come before the entry has heard of
// its engine.
func (r *Relayer) watch(m tracker.Member) {
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
	if known && r.settings.Placer.Known(m.Spec.Service, m.Name) {
		return
	}
	if !known {
		r.settings.Log.Info().Str("Companion", address).Msg("companion reached")
	}
	r.askState(conn)
}

// askState asks a companion to tell the whole of its engine's state.
func (r *Relayer) askState(conn *messenger.Conn) {
	if err := conn.Notify(r.root, messenger.MethodWatch, messenger.Watch{Node: r.settings.Node, FailureDomain: r.settings.FailureDomain}); err != nil {
		r.settings.Log.Debug().Err(err).Str("Companion", conn.Peer()).Msg("companion not asked")
	}
}

// draw returns an even draw from 0 to 1.
func (r *Relayer) draw() float64 {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.Float64()
}
