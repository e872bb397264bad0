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
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/scheduler"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/transport/streamer"
)

// Companion manages one backend server. It is safe for concurrent use.
type Companion struct {
	settings Settings
	// incarnation identifies this run of the companion process.
	incarnation string
	buffer      *streamer.Buffer
	metrics     *metrics

	// root is cancelled by Close.
	root   context.Context
	cancel context.CancelCauseFunc
	// tasks are the goroutines that Close waits for. They are started under mu, so that
	// none starts once closed is set.
	tasks sync.WaitGroup

	// refreshMu serializes reading and applying the engine's state. Of two concurrent reads
	// the older could be applied last, which would undo a restart and detect it again. It
	// is locked before mu.
	refreshMu sync.Mutex

	mu sync.Mutex
	// closed prevents new tasks; guarded by mu, as all fields below.
	closed bool
	// leaving and ended record the latest leave announcement of a planned stop. A join that
	// completes later repeats it for the new membership.
	leaving, ended bool
	// draining makes the companion refuse new requests.
	draining bool
	// lease is the present membership; its Epoch is 0 before the first.
	lease registrar.Lease
	// joining reports whether a join is in progress.
	joining bool
	// superseded reports whether the engine has accepted orders of a later companion.
	superseded bool
	// table is the engine's slot table; nil for a plain service, and before Start has read
	// the engine's state.
	table *loader.Table
	queue *scheduler.Queue
	// jobs holds the waiting and running attempts, by key.
	jobs map[string]*job
	// permitRequests holds the pending requests for load permits, by version. Closing and
	// deleting a channel withdraws its request.
	permitRequests map[string]chan struct{}
	// running is the number of occupied places in the batch.
	running  int
	maxBatch int
	// regulator spaces the requests to the backend server if it has named a limit.
	// turnScheduled means that a task waits for the next request's turn under it.
	regulator     regulator.Regulator
	turnScheduled bool
	// engine is the last state read from the engine.
	engine engineView
	// refreshDue requests an early read of the engine's state.
	refreshDue chan struct{}
	// grants holds the granted permits, by version.
	grants map[string]permitter.Grant
	// nextStaticLoad is the earliest time of the next load without a control host.
	nextStaticLoad time.Time
	// loadTime is the moving mean of the time from the permit to the end of a load.
	loadTime time.Duration
	// sequence counts the load reports.
	sequence uint64
}

// NewCompanion returns a companion that accepts no requests before Start. It panics if the
// settings are incomplete.
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
		jobs:           map[string]*job{},
		permitRequests: map[string]chan struct{}{},
		maxBatch:       s.Companion.MaxBatch,
		refreshDue:     make(chan struct{}, 1),
		grants:         map[string]permitter.Grant{},
	}
	c.metrics = newMetrics(c, s.Registerer)
	c.metrics.setLimit(regulator.Limit{})
	return c
}

// Start reads the engine's state, takes over its slots and joins the membership. It returns
// once the companion accepts requests, or with the context's error.
func (c *Companion) Start(ctx context.Context) error {
	if c.settings.Engine != nil {
		if err := c.adopt(ctx); err != nil {
			return errors.Annotate(err, "taking over the engine")
		}
	} else if c.maxBatch == 0 {
		c.maxBatch = DefaultServiceBatch
	}
	c.settings.Control.OnMembershipEnd(c.membershipEnded)
	if err := c.join(ctx); err != nil {
		return errors.Annotate(err, "joining the membership")
	}
	c.mu.Lock()
	// Companions that start together must not all use a static load at once.
	c.nextStaticLoad = c.settings.Now().Add(c.staticInterval())
	c.mu.Unlock()
	c.spawn(c.tick)
	c.spawn(c.renew)
	if c.settings.Engine != nil {
		c.spawn(c.watchEngine)
	}
	c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindStarted, Backend: c.settings.Node, Detail: c.incarnation})
	return nil
}

// Incarnation identifies this run of the companion process.
func (c *Companion) Incarnation() string { return c.incarnation }

// Ready reports whether the companion accepts requests.
func (c *Companion) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Epoch != 0 && !c.draining && !c.superseded && !c.closed && c.reachable(c.settings.Now())
}

// errClosed is the cause of the requests that Close interrupts.
const errClosed = errors.ConstError("companion closed")

// Close stops the companion at once and waits for its goroutines. Requests in progress end
// with an unknown outcome; call Drain first to let them finish.
func (c *Companion) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel(errClosed)
	c.tasks.Wait()
	c.metrics.close()
	return nil
}

// spawn runs f in a goroutine whose context Close cancels and whose end Close waits for.
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

// Load returns the present load, with the next sequence number.
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
		l.SlotsFree = c.table.FreeSlots()
		l.LoadsWaiting = c.table.LoadsWaiting()
	}
	return l
}
