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

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	settings Settings
	router   *router.Router
	limiter  *limiter.Limiter
	retrier  *retrier.Retrier
	metrics  *metrics
	// suspects decides which requests may not be sent to backend servers.
	suspects *suspecter.Table
	mux      *http.ServeMux
	// root is cancelled by Close and ends the background tasks.
	root   context.Context
	cancel context.CancelFunc
	// background counts the background tasks: claims being settled, and messages to
	// companions.
	background sync.WaitGroup
	// membersRevision is the revision of the membership that was passed to the router.
	membersRevision atomic.Uint64

	random random

	mu sync.Mutex
	// draining makes the entry refuse new requests; guarded by mu.
	draining bool
	// inProgress is the number of requests in progress; guarded by mu.
	inProgress int
	// drained is closed when draining is set and the last request has ended;
	// guarded by mu.
	drained chan struct{}
	// closed keeps requests that are still ending from starting background tasks;
	// guarded by mu.
	closed bool
}

// random is a random source that is safe for concurrent use.
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

// jitter returns a random duration between half of d and one and a half times d.
func (r *random) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.source.Int64N(int64(d)+1))
}

// fork returns a new random source that is seeded from this one.
func (r *random) fork() *rand.Rand { return rand.New(rand.NewPCG(r.uint64(), r.uint64())) }

// NewEntry returns a running entry. It panics if a required setting is missing.
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
	s.Control.OnDigest(e.applyDigest)
	return e
}

// Handler returns the handler of the callers' API.
func (e *Entry) Handler() http.Handler { return http.HandlerFunc(e.serve) }

// Ready reports whether the balancer should send calls to this entry.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	return !draining && e.settings.Control.LeaseValid()
}

// RefuseNew makes the entry refuse new requests as not run. Those in progress end within
// Entry.RequestTimeout.
func (e *Entry) RefuseNew() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return
	}
	e.draining = true
	if e.inProgress == 0 {
		close(e.drained)
	}
}

// Drain refuses new requests and waits for those in progress and for the background
// tasks. It returns ErrNotDrained if ctx ends first. The channel never changes, so it
// is read without mu.
func (e *Entry) Drain(ctx context.Context) error {
	e.RefuseNew()
	e.settings.Recorder.Record(recorder.Event{Kind: recorder.KindStopping})
	select {
	case <-e.drained:
	case <-ctx.Done():
		return ErrNotDrained
	}
	settled := make(chan struct{})
	go func() {
		e.background.Wait()
		close(settled)
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ErrNotDrained, "claims are still being settled")
	}
}

// Close stops the background tasks and waits for them. The listener must be closed
// before.
func (e *Entry) Close() error {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.cancel()
	e.background.Wait()
	return nil
}

// runDetached runs f in the background, independently of its request, until the limit
// or Close. After Close it does nothing, as if the entry had crashed.
func (e *Entry) runDetached(ctx context.Context, limit time.Duration, f func(ctx context.Context)) {
	ctx = context.WithoutCancel(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		stop := context.AfterFunc(e.root, cancel) //nolint:contextcheck // Close ends it too; the request's own end doesn't.
		defer stop()
		f(ctx)
	})
}

// begin counts a new request, or returns false if the entry is draining.
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

// syncMembers passes the latest membership to the router if it has changed. Every
// request calls it, so that a member that leaves receives no further requests.
func (e *Entry) syncMembers() {
	v := e.settings.Index.Members()
	if v.Revision == e.membersRevision.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if v = e.settings.Index.Members(); v.Revision == e.membersRevision.Load() {
		return
	}
	if err := e.router.SetMembers(v.Members); err != nil {
		e.settings.Log.Error().Err(err).Msg("applying the membership failed")
		return
	}
	e.membersRevision.Store(v.Revision)
}

// applyDigest passes the load and residency of backend servers, as reported by the
// control hosts, to the router.
func (e *Entry) applyDigest(d registrar.Digest) {
	e.syncMembers()
	now := e.settings.Now()
	for _, s := range d.Servers {
		e.router.Report(now, s.Name, router.Report{
			Running: s.Load.Running, Queued: s.Load.Queued, MaxBatch: s.Load.MaxBatch,
			LoadsWaiting: -1, SlotsFree: -1, Age: assumedDigestAge,
		})
		e.router.Digest(now, s.Name, s.Epoch, s.Resident)
	}
}

// reportLoad passes the load of a backend server, as reported with an answer, to the
// router.
func (e *Entry) reportLoad(backend string, l messenger.Load) {
	if l.MaxBatch == 0 {
		return
	}
	e.router.Report(e.settings.Now(), backend, router.Report{
		Running: l.Running, Queued: l.Queued, MaxBatch: l.MaxBatch,
		LoadsWaiting: l.LoadsWaiting, SlotsFree: l.SlotsFree, LoadTime: time.Duration(l.LoadMillis) * time.Millisecond,
	})
}
