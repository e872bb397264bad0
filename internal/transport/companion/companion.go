package companion

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/coordination/scheduler"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/transport/streamer"
)

// Companion stands beside one backend server. It may be used by several
// goroutines.
type Companion struct {
	settings Settings
	// incarnation identifies this life of the companion.
	incarnation string
	buffer      *streamer.Buffer
	metrics     *metrics

	// root ends with Close.
	root   context.Context
	cancel context.CancelCauseFunc
	// tasks are the goroutines that Close waits for. They begin under mu, so
	// that none begins once closed is set.
	tasks sync.WaitGroup

	// noticing lets one goroutine at a time read the engine's state and take it
	// in. Of two readings at once the older could arrive last, and a restart would
	// be undone and found again. It is taken before mu.
	noticing sync.Mutex

	mu sync.Mutex
	// closed bars new tasks; guarded by mu, as all below.
	closed bool
	// leaving and ended record the latest leave announcement of a planned stop. A join
	// that completes later repeats it for the new membership.
	leaving, ended bool
	// draining refuses new requests.
	draining bool
	// lease is the present membership; its Epoch is 0 before the first.
	lease registrar.Lease
	// joining tells that a join is under way.
	joining bool
	// superseded tells that the engine has obeyed another companion since.
	superseded bool
	// table is the engine's slot table; nil for a plain service, and before
	// Start has read the engine's state.
	table *loader.Table
	queue *scheduler.Queue
	// works are the requests that wait or run, by key.
	works map[string]*work
	// asks are the requests for permits, by version. One is withdrawn by closing
	// its channel, which takes it out.
	asks map[string]chan struct{}
	// running counts the places taken in the batch.
	running  int
	maxBatch int
	// engine is what was last read of the engine, and heard when.
	engine engineView
	// reading tells that a reading of the engine's state is due.
	reading chan struct{}
	// grants are the permits held, by version.
	grants map[string]permitter.Grant
	// staticNext is the time of the next load without a control host.
	staticNext time.Time
	// loadTime is the mean time from asking for a permit to the end of a load.
	loadTime time.Duration
	// sequence counts the load reports.
	sequence uint64
}

// NewCompanion returns a companion that takes no requests before Start. It
// panics if the settings are incomplete.
func NewCompanion(s Settings) *Companion {
	s.check()
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &Companion{
		settings:    s,
		incarnation: fmt.Sprintf("%016x", s.Random.Uint64()),
		buffer: streamer.NewBuffer(streamer.Settings{
			Limit:     int64(s.Companion.AnswerBuffer),
			Retention: time.Duration(s.Companion.AnswerRetention),
		}),
		root: ctx, cancel: cancel,
		queue: scheduler.NewQueue(scheduler.Settings{
			MaxRequests: s.Companion.QueueLimit, MaxTokens: s.Companion.QueueTokens,
		}),
		works:    map[string]*work{},
		asks:     map[string]chan struct{}{},
		maxBatch: s.Companion.MaxBatch,
		reading:  make(chan struct{}, 1),
		grants:   map[string]permitter.Grant{},
	}
	c.metrics = newMetrics(c, s.Registerer)
	return c
}

// Start reads the engine's state, takes it over, and joins the membership. It
// returns once the companion takes requests, or with the context's error.
func (c *Companion) Start(ctx context.Context) error {
	if c.settings.Engine != nil {
		if err := c.adopt(ctx); err != nil {
			return errors.Annotate(err, "taking over the engine")
		}
	} else if c.maxBatch == 0 {
		c.maxBatch = DefaultServiceBatch
	}
	c.settings.Control.OnMembershipEnd(c.voided)
	if err := c.join(ctx); err != nil {
		return errors.Annotate(err, "joining the membership")
	}
	c.mu.Lock()
	// Companions that start together must not take a static load each at once.
	c.staticNext = c.settings.Now().Add(c.staticInterval())
	c.mu.Unlock()
	c.spawn(c.tick)
	c.spawn(c.renew)
	if c.settings.Engine != nil {
		c.spawn(c.watch)
	}
	c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindStarted, Backend: c.settings.Node, Detail: c.incarnation})
	return nil
}

// Incarnation identifies this life of the companion.
func (c *Companion) Incarnation() string { return c.incarnation }

// Ready tells whether the companion takes requests.
func (c *Companion) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Epoch != 0 && !c.draining && !c.superseded && !c.closed && c.reachable(c.settings.Now())
}

// errClosed is the cause with which the requests end that Close cuts off.
const errClosed = errors.ConstError("companion closed")

// Close ends everything at once and waits. Requests in progress end as unknown;
// Drain lets them finish before.
func (c *Companion) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel(errClosed)
	c.tasks.Wait()
	c.metrics.close()
	return nil
}

// spawn runs f in a goroutine that Close ends and waits for.
func (c *Companion) spawn(f func(ctx context.Context)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spawnLocked(f)
}

// spawnLocked is spawn for a caller that holds mu.
func (c *Companion) spawnLocked(f func(ctx context.Context)) {
	if c.closed {
		return
	}
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		f(c.root)
	}()
}

// Load returns the present load.
func (c *Companion) Load() messenger.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadLocked()
}

func (c *Companion) loadLocked() messenger.Load {
	c.sequence++
	l := messenger.Load{
		Sequence: c.sequence, Running: c.running, Queued: c.queue.Len(), MaxBatch: c.maxBatch,
		QueuedTokens: c.queue.Tokens(), LoadMillis: c.loadTime.Milliseconds(),
		AtUnixNano: c.settings.Now().UnixNano(),
	}
	if c.table != nil {
		l.Slots = c.table.Slots()
		l.SlotsFree = c.table.Free()
		l.LoadsWaiting = c.table.LoadsWaiting()
	}
	return l
}
