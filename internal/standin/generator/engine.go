package generator

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// Engine is a stand-in for a model engine. It is safe for concurrent use. Close it after
// use.
type Engine struct {
	settings Settings
	server   http.Server
	conns    connections
	// context ends when the engine closes.
	context context.Context
	cancel  context.CancelFunc
	// running counts the step loop, the loads and the requests being served.
	running sync.WaitGroup
	// work wakes the step loop; it buffers at most one wake-up.
	work chan struct{}

	mu                 sync.Mutex
	incarnation        string               // guarded by mu
	incarnationContext context.Context      // ends with the incarnation; guarded by mu
	endIncarnation     context.CancelFunc   // guarded by mu
	faults             Faults               // guarded by mu
	thawed             chan struct{}        // nil unless frozen; guarded by mu
	role               orderer.Role         // guarded by mu
	fence              uint64               // highest accepted in this incarnation; guarded by mu
	slots              slotTable            // guarded by mu
	batch              batch                // guarded by mu
	sequences          map[string]*sequence // by request ID, including ended ones; guarded by mu
	cache              prefixCache          // guarded by mu
	events             eventLog             // guarded by mu
	reports            reportLog            // guarded by mu
	steps              int64                // of this incarnation; guarded by mu
	seqSteps           int64                // of this incarnation; guarded by mu
	record             Record               // guarded by mu
	hashes             []uint64             // scratch of the step loop; guarded by mu
}

// NewEngine returns a running engine that is not yet listening.
func NewEngine(s Settings) *Engine {
	s = s.withDefaults()
	e := &Engine{settings: s, work: make(chan struct{}, 1)}
	e.context, e.cancel = context.WithCancel(context.Background())
	e.server.Handler = e.Handler()
	e.server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	e.mu.Lock()
	e.reset()
	e.faults = s.Faults
	e.faults.Restart, e.faults.Silence = false, false
	e.setFrozen(s.Faults.Frozen)
	e.mu.Unlock()
	e.running.Go(e.loop)
	return e
}

// Listen starts serving on the TCP address, whose port may be 0, and returns the bound
// address.
func (e *Engine) Listen(address string) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", errors.Annotate(err, "engine")
	}
	e.Serve(l)
	return l.Addr().String(), nil
}

// Serve starts serving on the listener and returns at once. Close closes the listener.
func (e *Engine) Serve(l net.Listener) {
	e.running.Go(func() { _ = e.server.Serve(listener{Listener: l, conns: &e.conns}) })
}

// Close aborts all requests and waits until the engine has stopped.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	err := e.server.Close()
	e.conns.release()
	e.running.Wait()
	e.settings.Client.CloseIdleConnections()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseSequences()
	return errors.Trace(err)
}

// Record returns a copy of the runs and orders so far.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.after(0)
}

// Restart simulates a restart of the process: all state but the record is lost, and all
// connections are cut.
func (e *Engine) Restart() { e.restart(nil) }

func (e *Engine) restart(except *connection) {
	e.mu.Lock()
	e.loseSequences()
	e.reset()
	e.mu.Unlock()
	e.conns.cut(except)
	e.wake()
}

// reset sets up the state of a new incarnation. The caller holds mu.
func (e *Engine) reset() {
	s := &e.settings
	if e.endIncarnation != nil {
		e.endIncarnation()
	}
	e.incarnationContext, e.endIncarnation = context.WithCancel(e.context)
	e.incarnation = rand.Text()
	e.role = s.Role
	e.fence = 0
	e.slots = slotTable{limit: s.Slots}
	e.batch = batch{limit: s.MaxBatch}
	e.sequences = make(map[string]*sequence)
	e.cache = newPrefixCache(s.CachedBlocks)
	e.events = eventLog{lag: s.CacheEventLag, loss: s.CacheEventLoss, random: s.Random}
	e.steps, e.seqSteps = 0, 0
	e.reports = reportLog{lag: s.ReportLag}
	e.recordLoad(time.Now())
}

// loseSequences ends all sequences in progress as Lost. The caller holds mu.
func (e *Engine) loseSequences() {
	for _, s := range e.sequences {
		if s.outcome == InProgress {
			e.end(s, Lost, nil)
		}
	}
}

// wake wakes the step loop.
func (e *Engine) wake() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}

// recordLoad adds a load report of the current state. The caller holds mu.
func (e *Engine) recordLoad(now time.Time) {
	e.reports.add(orderer.LoadReport{
		Incarnation:   e.incarnation,
		Measured:      now,
		Running:       len(e.batch.running),
		Waiting:       len(e.batch.waiting),
		MaxBatch:      e.settings.MaxBatch,
		SlotsFree:     e.settings.Slots - len(e.slots.occupied),
		Steps:         e.steps,
		SequenceSteps: e.seqSteps,
	})
}

// inUse returns the number of requests in progress for the model. The caller holds mu.
func (e *Engine) inUse(model string) int {
	count := 0
	for _, s := range e.sequences {
		if s.outcome == InProgress && s.Model == model {
			count++
		}
	}
	return count
}

// MaxBatch returns the maximum number of sequences in the batch.
func (e *Engine) MaxBatch() int { return e.settings.MaxBatch }
