package gatekeeper

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/limiter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/coordination/retrier"
	"marigoldpoint.example/marigoldpoint/internal/coordination/router"
	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// ErrNotDrained means that requests were still in progress when the wait ended.
const ErrNotDrained = errors.ConstError("requests are still in progress")

// Entry serves callers. It may be used by several goroutines.
type Entry struct {
	settings Settings
	router   *router.Router
	limiter  *limiter.Limiter
	retrier  *retrier.Retrier
	metrics  *metrics
	// suspects tells which requests are kept from backend servers.
	suspects *suspecter.Table
	mux      *http.ServeMux
	// root ends with Close and ends what runs beside the requests.
	root   context.Context
	cancel context.CancelFunc
	// settling counts what runs beside the requests: claims being settled, and
	// messages to companions.
	settling sync.WaitGroup
	// membersAt is the revision of the membership that the router has.
	membersAt atomic.Uint64

	random random

	mu sync.Mutex
	// draining refuses new requests; guarded by mu.
	draining bool
	// inProgress counts the requests; guarded by mu.
	inProgress int
	// drained is closed when draining is set and the last request has ended;
	// guarded by mu.
	drained chan struct{}
	// closed keeps requests that still end from beginning more beside them;
	// guarded by mu.
	closed bool
}

// random is a random source for several goroutines.
type random struct {
	mu sync.Mutex
	// source is guarded by mu.
	source *rand.Rand
}

func (r *random) uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Uint64()
}

// jitter draws a time between half of d and one and a half of it.
func (r *random) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.source.Int64N(int64(d)+1))
}

// fork returns a random source of its own, seeded from this one.
func (r *random) fork() *rand.Rand { return rand.New(rand.NewPCG(r.uint64(), r.uint64())) }

// NewEntry returns an entry that serves at once.
func NewEntry(s Settings) *Entry {
	s.check()
	e := &Entry{settings: s, drained: make(chan struct{}), metrics: newMetrics(s.Registerer), suspects: suspecter.NewTable(suspecter.Settings{})}
	e.random.source = s.Random
	e.router = router.NewRouter(s.routerSettings())
	e.limiter = limiter.NewLimiter(limiter.Settings{
		MaxInFlight: s.Entry.MaxInFlight, MaxTokens: s.Entry.QueueTokens,
	}, e.random.fork())
	e.retrier = retrier.NewRetrier(retrier.Settings{
		Budget: s.Entry.RetryBudget, HedgeAfter: time.Duration(s.Entry.HedgeAfter),
	}, e.random.fork())
	e.root, e.cancel = context.WithCancel(context.Background())
	e.metrics.observe(e)
	e.mux = e.routes()
	s.Control.OnDigest(e.digest)
	return e
}

// Handler returns the callers' API.
func (e *Entry) Handler() http.Handler { return http.HandlerFunc(e.serve) }

// Ready reports whether the balancer should send callers here.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	return !draining && e.settings.Control.LeaseValid()
}

// Drain refuses new requests and waits for those in progress. Its error is
// ErrNotDrained when ctx ends first.
// The channel stays the same from the start, and is read without mu.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	if !e.draining {
		e.draining = true
		if e.inProgress == 0 {
			close(e.drained)
		}
	}
	e.mu.Unlock()
	e.settings.Recorder.Record(recorder.Event{Kind: recorder.KindStopping})
	select {
	case <-e.drained:
	case <-ctx.Done():
		return ErrNotDrained
	}
	settled := make(chan struct{})
	go func() {
		e.settling.Wait()
		close(settled)
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ErrNotDrained, "claims are still being settled")
	}
}

// Close ends what the entry runs beside the requests, and waits for it. The
// listener is closed before.
func (e *Entry) Close() error {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.cancel()
	e.settling.Wait()
	return nil
}

// beside runs f apart from its request, until the limit or Close. After Close it
// does nothing: a closed entry is as good as lost.
func (e *Entry) beside(ctx context.Context, limit time.Duration, f func(ctx context.Context)) {
	ctx = context.WithoutCancel(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.settling.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		stop := context.AfterFunc(e.root, cancel) //nolint:contextcheck // Close ends it too; the request's own end doesn't.
		defer stop()
		f(ctx)
	})
}

// begin counts a request in, or refuses it when the entry is draining.
func (e *Entry) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	e.inProgress++
	return true
}

func (e *Entry) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inProgress--
	if e.draining && e.inProgress == 0 {
		close(e.drained)
	}
}

// members gives the router the latest membership, where it has changed. It runs
// with each request, so that a member that leaves gets nothing from then on.
func (e *Entry) members() {
	v := e.settings.Index.Members()
	if v.Revision == e.membersAt.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if v = e.settings.Index.Members(); v.Revision == e.membersAt.Load() {
		return
	}
	if err := e.router.SetMembers(v.Members); err != nil {
		e.settings.Log.Error().Err(err).Msg("membership not taken over")
		return
	}
	e.membersAt.Store(v.Revision)
}

// digest takes in what the control hosts tell of backend servers.
func (e *Entry) digest(d registrar.Digest) {
	e.members()
	now := e.settings.Now()
	for _, s := range d.Servers {
		e.router.Report(now, s.Name, router.Report{
			Running: s.Load.Running, Queued: s.Load.Queued, MaxBatch: s.Load.MaxBatch,
			LoadsWaiting: -1, SlotsFree: -1, Age: digestAge,
		})
		e.router.Digest(now, s.Name, s.Epoch, s.Resident)
	}
}

// load takes in what an answer tells of its backend server.
func (e *Entry) load(backend string, l messenger.Load) {
	if l.MaxBatch == 0 {
		return
	}
	e.router.Report(e.settings.Now(), backend, router.Report{
		Running: l.Running, Queued: l.Queued, MaxBatch: l.MaxBatch,
		LoadsWaiting: l.LoadsWaiting, SlotsFree: l.SlotsFree, LoadTime: time.Duration(l.LoadMillis) * time.Millisecond,
	})
}
