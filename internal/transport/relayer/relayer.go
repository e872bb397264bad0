package relayer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/continuer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/watcher"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/blamer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// Relayer serves opaque calls. It is safe for concurrent use.
type Relayer struct {
	settings Settings
	metrics  *metrics
	budget   *budget
	buffers  *buffers
	root     context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	// inFlight is the number of calls in progress.
	inFlight atomic.Int64
	// trusted is set once the view has been up to date.
	trusted atomic.Bool
	// stop is the planned stop; nil if there is none. calls ends when the calls in progress are to end,
	// with the cause given to endCalls.
	stop     atomic.Pointer[Stop]
	calls    context.Context
	endCalls context.CancelCauseFunc
	// durations are the recent durations of attempts.
	durations durations
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
	// lastUsed holds the engines that the entry watches only because of its calls there,
	// with the time of the last one; guarded by watchedMu.
	lastUsed map[string]time.Time

	// suspects decides which requests may not be sent to backend servers.
	suspects *suspecter.Table
	// quarantineRevision is the revision up to which quarantines have cancelled
	// attempts. Only ViewChanged uses it, and views arrive one at a time.
	quarantineRevision uint64

	// answers counts the answered requests by the parts of their prompts, and answersWanted
	// wakes their reports.
	answers       *suspecter.Answers
	answersWanted chan struct{}
	// parts are the parts of the last view, and blockRevision is the revision up to which
	// blocked parts have cancelled attempts. Only ViewChanged uses them.
	parts         *blamer.Parts
	blockRevision uint64

	lossesMu sync.Mutex
	// losses holds the losses that are being collected, and inspections is the number
	// of running inspections and reports; guarded by lossesMu.
	losses      map[incarnation]*loss
	inspections int
	// inspecting holds the incarnations of engines about which their companions are being asked in
	// the background; guarded by lossesMu.
	inspecting map[incarnation]struct{}
	// endedLimits holds the names of the backend servers whose limit's end is being reported
	// to the leader; guarded by lossesMu.
	endedLimits map[string]struct{}

	// origins holds the origins of the attempts at this entry.
	origins *continuer.Store
	// directory caches the directory of the companions in the current view.
	directory atomic.Pointer[directory]

	// held counts the calls that wait until backend servers are below their limit.
	held heldCalls

	attemptsMu sync.Mutex
	// attempts holds the attempts in progress by the name of the backend server, and answeredAt when those
	// with attempts have answered one last. unresponsive holds the incarnations of those without a
	// companion that stood still and have not answered since, by name. All are guarded by attemptsMu.
	attempts     map[string]map[*attempt]struct{}
	answeredAt   map[string]time.Time
	unresponsive map[string]string
}

// NewRelayer returns a running relayer. Calls are served by ServeHTTP.
func NewRelayer(s Settings) *Relayer {
	s = s.withDefaults()
	r := &Relayer{
		settings: s,
		metrics:  newMetrics(s.Registerer),
		buffers:  newBuffers(s.Registerer, s.Allotter),
		budget:   newBudget(s.RetryRatio, s.RetrySlack, s.RetryWindow, s.Entries),
		poll:     make(chan struct{}, 1),
		random:   s.Random,
		watched:  make(map[string]companion),
		watcher:  watcher.NewWatcher(s.Silence),
		engines:  make(map[*messenger.Conn]string),
		lastUsed: make(map[string]time.Time),
		suspects: suspecter.NewTable(suspecter.Settings{}),
		losses:   make(map[incarnation]*loss),

		answers:       suspecter.NewAnswers(),
		answersWanted: make(chan struct{}, 1),

		inspecting:  make(map[incarnation]struct{}),
		endedLimits: make(map[string]struct{}),
		attempts:    make(map[string]map[*attempt]struct{}),
		answeredAt:  make(map[string]time.Time),

		unresponsive: make(map[string]string),
		origins:      continuer.NewStore(continuer.Settings{}),
	}
	r.root, r.cancel = context.WithCancel(context.Background())
	r.calls, r.endCalls = context.WithCancelCause(context.Background())
	r.tasks.Go(r.watchCompanions)
	r.tasks.Go(r.watchSilence)
	r.tasks.Go(r.reportAnswers)
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
	if !r.isTrusted() {
		return nil
	}
	if !r.trusted.Load() {
		r.trusted.Store(true)
	}
	return r.settings.View().Routing
}

// isTrusted reports whether the view is, or has been, known to be up to date.
func (r *Relayer) isTrusted() bool {
	return r.trusted.Load() || r.settings.Trusted == nil || r.settings.Trusted()
}

// ViewChanged applies a new view. It does not block.
func (r *Relayer) ViewChanged(v *tracker.View) {
	r.settings.Placer.SetView(v)
	r.suspects.Sync(v, v.Revision)
	r.cancelPreviousIncarnations(v)
	r.cancelQuarantined(v)
	r.cancelBlocked(v)
	notify(r.poll)
	if v.Parts != r.parts {
		r.parts = v.Parts
		notify(r.answersWanted)
	}
}

// notify wakes the receiver of a channel with a buffer of one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

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
	switch method {
	case messenger.MethodState:
		return nil, r.applyState(conn, params)
	case messenger.MethodLimitState:
		return nil, r.applyLimitState(conn, params)
	case messenger.MethodSpeedState:
		return nil, r.applySpeedState(conn, params)
	case messenger.MethodLongPromptState:
		return nil, r.applyLongPromptState(conn, params)
	case messenger.MethodCacheState:
		return nil, r.applyCacheState(conn, params)
	default:
		return nil, messenger.NewRefusal(messenger.ReasonUnsupported, string(method))
	}
}

// applyState applies a companion's report on its engine.
func (r *Relayer) applyState(conn *messenger.Conn, params json.RawMessage) error {
	var s placer.EngineState
	if err := messenger.Decode(params, &s); err != nil {
		return err
	}
	s.Name = r.engineOf(conn, s.Name)
	if m, ok := r.settings.View().Member(s.Name); ok && !r.settings.Placer.Report(r.settings.Now(), m.Spec.Service, s) {
		r.requestState(conn)
	}
	return nil
}

// draw returns a uniformly distributed random number in [0, 1).
func (r *Relayer) draw() float64 {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.Float64()
}
