package companion

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/scheduler"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/transport/streamer"
)

// The causes with which a running request is given up.
const (
	errCancelled = errors.ConstError("caller has left")
	errRestarted = errors.ConstError("engine restarted")
	errDeadline  = errors.ConstError("deadline passed")
)

// work is one attempt that waits or runs. Its fields are guarded by
// Companion.mu, but for those that never change.
type work struct {
	// key names the attempt in the table, the queue and Companion.works.
	key      string
	dispatch messenger.Dispatch
	answer   *streamer.Answer

	arrived  time.Time
	deadline time.Time
	// begun tells that the work runs, or has run and not ended yet.
	begun bool
	// givenUp is the cause with which the run is to end, or nil.
	givenUp error
	// cancel ends the run; nil before the run has its context.
	cancel context.CancelCauseFunc
	// mayHaveRun tells that an earlier run may have begun.
	mayHaveRun bool
	// endedLives are the lives of the engine that ended while they ran the work.
	endedLives []string
	// runs counts the times that the engine was asked to run the work.
	runs int
	// incarnation is that of the engine which was asked.
	incarnation string
	queued      time.Duration
	stalled     time.Duration
}

func keyOf(id streamer.ID) string { return fmt.Sprintf("%s-%d", id.Request, id.Attempt) }

func newWork(d messenger.Dispatch, a *streamer.Answer) *work {
	return &work{key: keyOf(a.ID()), dispatch: d, answer: a}
}

func (w *work) event(kind recorder.Kind, backend string) recorder.Event {
	return recorder.Event{
		Kind: kind, Request: w.dispatch.Request, Workspace: w.dispatch.Workspace, Backend: backend, Version: w.dispatch.Version,
	}
}

// enqueue makes the work wait for its version and its place. The caller holds
// mu. A refusal concerns the work itself; others that the queue gives up for it
// end on their own.
func (c *Companion) enqueue(now time.Time, w *work) *messenger.Refusal {
	d := w.dispatch
	c.works[w.key] = w
	load := time.Duration(0)
	if c.table != nil {
		if !c.table.Ready(d.Version) {
			load = max(c.table.LoadTime(d.Version), c.loadTime)
		}
		actions := c.table.Want(now, loader.Want{
			Request: w.key, Workspace: d.Workspace, Share: d.Share, Version: d.Version, Source: d.Source,
		})
		if refusal := failureOf(actions, w.key); refusal != nil {
			delete(c.works, w.key)
			return refusal
		}
		c.apply(actions)
	}
	refused := c.queue.Push(now, scheduler.Item{
		Request: w.key, Workspace: d.Workspace, Share: d.Share, Version: d.Version,
		Priority: d.Priority, Tokens: d.Tokens, Deadline: w.deadline,
	}, load)
	var own *messenger.Refusal
	for _, r := range refused {
		if r.Request == w.key {
			own = refusalOf(r)
			c.leave(w)
			continue
		}
		c.giveUp(r)
	}
	if own == nil {
		c.settings.Recorder.Record(w.event(recorder.KindQueued, c.settings.Node))
	}
	c.pump()
	return own
}

// failureOf returns the refusal among the actions that concerns the request.
func failureOf(actions []loader.Action, key string) *messenger.Refusal {
	for _, a := range actions {
		if f, ok := a.(loader.FailAction); ok && f.Request == key {
			return loadRefusal(f)
		}
	}
	return nil
}

func loadRefusal(f loader.FailAction) *messenger.Refusal {
	r := messenger.NewRefusal(messenger.ReasonLoadFailed, f.Cause)
	r.RetryAfterMillis = max(1, f.RetryAfter.Milliseconds())
	return r
}

func refusalOf(r scheduler.Refused) *messenger.Refusal {
	reason := messenger.ReasonOverloaded
	detail := "queue is full"
	if r.Cause == scheduler.CauseDeadline {
		reason = messenger.ReasonDeadline
		detail = "deadline can't be met"
	}
	refusal := messenger.NewRefusal(reason, detail)
	refusal.RetryAfterMillis = max(1, r.RetryAfter.Milliseconds())
	return refusal
}

// giveUp ends a waiting work that the queue has let go of. The caller holds mu.
func (c *Companion) giveUp(r scheduler.Refused) {
	if w := c.works[r.Request]; w != nil {
		c.leave(w)
		c.endLocked(w, c.notRun(w, refusalOf(r)))
	}
}

// withdraw ends a work that has not begun. The caller holds mu.
func (c *Companion) withdraw(w *work, r *messenger.Refusal) {
	c.queue.Remove(w.key)
	c.leave(w)
	c.endLocked(w, c.notRun(w, r))
}

// leave forgets the work and ends its wait or pin. The caller holds mu.
func (c *Companion) leave(w *work) {
	delete(c.works, w.key)
	if c.table != nil {
		c.apply(c.table.Release(c.settings.Now(), w.key))
	}
}

// notRun is the ending of a work that won't be run now. One whose engine
// restarted under it may have run all the same.
func (c *Companion) notRun(w *work, r *messenger.Refusal) messenger.End {
	e := messenger.End{
		Outcome: messenger.OutcomeNotRun, Reason: r.Reason, Detail: r.Detail, RetryAfterMillis: r.RetryAfterMillis,
	}
	if w.mayHaveRun {
		e.Outcome = messenger.OutcomeUnknown
		e.RetryAfterMillis = 0
	}
	return e
}

// pump starts all that can run. The caller holds mu.
func (c *Companion) pump() {
	for {
		now := c.settings.Now()
		free := c.maxBatch - c.running - c.foreign()
		started, ok := c.queue.Next(now, free, func(it scheduler.Item) bool {
			return c.table == nil || c.table.Pin(it.Request)
		})
		if !ok {
			return
		}
		c.begin(now, started)
	}
}

// foreign counts the requests of an earlier companion that the engine runs.
func (c *Companion) foreign() int {
	if c.table == nil {
		return 0
	}
	return c.table.ForeignPins()
}

// begin runs a work whose version is pinned. The caller holds mu.
func (c *Companion) begin(now time.Time, s scheduler.Started) {
	w := c.works[s.Request]
	w.queued += s.Queued
	w.stalled += s.Stalled
	w.runs++
	w.incarnation = c.engine.Incarnation
	c.running++
	c.metrics.started(w.dispatch, s)
	c.settings.Recorder.Record(w.event(recorder.KindAdmitted, c.settings.Node))
	w.begun = true
	c.spawnLocked(func(ctx context.Context) {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		if !w.deadline.IsZero() {
			var stop context.CancelFunc
			ctx, stop = context.WithTimeoutCause(ctx, w.deadline.Sub(now), errDeadline)
			defer stop()
		}
		c.mu.Lock()
		w.cancel = cancel
		if w.givenUp != nil {
			cancel(w.givenUp)
		}
		c.mu.Unlock()
		if c.settings.Service != nil {
			c.forward(ctx, w)
		} else {
			c.generate(ctx, w)
		}
	})
}

// interrupt ends the work's run. The caller of it holds Companion.mu.
func (w *work) interrupt(cause error) {
	w.givenUp = cause
	if w.cancel != nil {
		w.cancel(cause)
	}
}

// finish ends a work's run: its place and its pin are free, and its answer has
// the ending. The tokens are the engine's count, negative where unknown.
func (c *Companion) finish(w *work, e messenger.End, tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(w, tokens)
	c.endLocked(w, e)
	c.pump()
}

// release frees the work's place in the batch and its pin. The caller holds mu.
func (c *Companion) release(w *work, tokens int64) {
	c.running--
	c.queue.Finish(c.settings.Now(), w.key, tokens)
	c.leave(w)
}

func (c *Companion) endLocked(w *work, e messenger.End) {
	e.StallMillis = float64(w.stalled) / float64(time.Millisecond)
	e.QueueMillis = float64(w.queued) / float64(time.Millisecond)
	e.Load = c.loadLocked()
	e.EndedLives = w.endedLives
	c.metrics.ended(e.Outcome, e.Reason)
	event := w.event(recorder.KindEngineFinished, c.settings.Node)
	event.Detail = e.Outcome.String()
	c.settings.Recorder.Record(event)
	w.answer.End(c.settings.Now(), e)
}
