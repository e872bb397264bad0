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

// Engine is a stand-in for a model engine. Close it after use.
type Engine struct {
	settings Settings
	server   http.Server
	conns    connections
	// context ends when the engine closes.
	context context.Context
	cancel  context.CancelFunc
	// running counts the step loop, the loads and the requests being served.
	running sync.WaitGroup
	// work wakes the step loop; it holds at most one wake-up.
	work chan struct{}

	mu          sync.Mutex
	incarnation string               // guarded by mu
	life        context.Context      // ends with the incarnation; guarded by mu
	endLife     context.CancelFunc   // guarded by mu
	faults      Faults               // guarded by mu
	thawed      chan struct{}        // nil unless frozen; guarded by mu
	role        orderer.Role         // guarded by mu
	fence       uint64               // highest seen in this incarnation; guarded by mu
	slots       slotTable            // guarded by mu
	batch       batch                // guarded by mu
	sequences   map[string]*sequence // by request id, ended ones too; guarded by mu
	cache       prefixCache          // guarded by mu
	events      eventLog             // guarded by mu
	reports     reportLog            // guarded by mu
	steps       int64                // of this incarnation; guarded by mu
	seqSteps    int64                // of this incarnation; guarded by mu
	record      Record               // guarded by mu
	hashes      []uint64             // scratch of the step loop; guarded by mu
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
	e.freeze(s.Faults.Frozen)
	e.mu.Unlock()
	e.running.Go(e.loop)
	return e
}

// Listen starts to serve on the address, which may end in port 0, and returns the
// address it got.
func (e *Engine) Listen(address string) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", errors.Annotate(err, "engine")
	}
	e.Serve(l)
	return l.Addr().String(), nil
}

// Serve starts to serve on the listener, which it closes in the end.
func (e *Engine) Serve(l net.Listener) {
	e.running.Go(func() { _ = e.server.Serve(listener{Listener: l, conns: &e.conns}) })
}

// Close cuts all requests and waits until the engine has stopped.
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
	e.drop()
	return errors.Trace(err)
}

// Record returns a copy of what the engine ran and was ordered so far.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.after(0)
}

// Restart drops everything and cuts all connections, as a restarted process would.
// The record stays.
func (e *Engine) Restart() { e.restart(nil) }

func (e *Engine) restart(spared *connection) {
	e.mu.Lock()
	e.drop()
	e.reset()
	e.mu.Unlock()
	e.conns.cut(spared)
	e.poke()
}

// reset sets up the state of a fresh incarnation. It needs mu.
func (e *Engine) reset() {
	s := &e.settings
	if e.endLife != nil {
		e.endLife()
	}
	e.life, e.endLife = context.WithCancel(e.context)
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
	e.note(time.Now())
}

// drop ends all sequences as lost. It needs mu.
func (e *Engine) drop() {
	for _, s := range e.sequences {
		if s.outcome == InProgress {
			e.end(s, Lost, nil)
		}
	}
}

// poke wakes the step loop.
func (e *Engine) poke() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}

// note adds a load report. It needs mu.
func (e *Engine) note(now time.Time) {
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

// inUse counts the accepted requests that name the model. It needs mu.
func (e *Engine) inUse(model string) int {
	count := 0
	for _, s := range e.sequences {
		if s.outcome == InProgress && s.Model == model {
			count++
		}
	}
	return count
}

// MaxBatch returns the number of sequences that run at once.
func (e *Engine) MaxBatch() int { return e.settings.MaxBatch }
