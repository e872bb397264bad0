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

// The causes for which a running request is aborted.
const (
	errCancelled = errors.ConstError("caller has left")
	errRestarted = errors.ConstError("engine restarted")
	errDeadline  = errors.ConstError("deadline passed")
)

// job is an attempt that waits or runs. Its mutable fields are guarded by Companion.mu.
type job struct {
	// key identifies the attempt in the slot table, the queue and Companion.jobs.
	key      string
	dispatch messenger.Dispatch
	answer   *streamer.Answer

	arrived  time.Time
	deadline time.Time
	// active reports whether the job runs, or has run and has not ended yet.
	active bool
	// abortCause is the cause for which the run is to be aborted, or nil.
	abortCause error
	// cancel aborts the run; nil before the run has its context.
	cancel context.CancelCauseFunc
	// mayHaveRun reports whether an earlier run may have begun.
	mayHaveRun bool
	// endedIncarnations are the incarnations of the engine that ended while they ran the
	// job.
	endedIncarnations []string
	// startedAt is when the current run started.
	startedAt time.Time
	// runs counts the runs at the engine.
	runs int
	// incarnation is the engine's incarnation of the current run.
	incarnation string
	queued      time.Duration
	stalled     time.Duration
}

func jobKey(id streamer.ID) string { return fmt.Sprintf("%s-%d", id.Request, id.Attempt) }

func newJob(d messenger.Dispatch, a *streamer.Answer) *job {
	return &job{key: jobKey(a.ID()), dispatch: d, answer: a}
}

func (j *job) event(kind recorder.Kind, backend string) recorder.Event {
	return recorder.Event{
		Kind: kind, Request: j.dispatch.Request, Workspace: j.dispatch.Workspace, Backend: backend, Version: j.dispatch.Version,
	}
}

// enqueue queues the job for its adapter version and a place in the batch. The returned
// refusal is about the job itself; other jobs that the queue rejects in its favour are
// ended here. The caller holds mu.
func (c *Companion) enqueue(now time.Time, j *job) *messenger.Refusal {
	d := j.dispatch
	c.jobs[j.key] = j
	load := time.Duration(0)
	if c.table != nil {
		if !c.table.Ready(d.Version) {
			load = max(c.table.LoadTime(d.Version), c.loadTime)
		}
		actions := c.table.Want(now, loader.Want{
			Request: j.key, Workspace: d.Workspace, Share: d.Share, Version: d.Version, Source: d.Source,
		})
		if refusal := loadFailure(actions, j.key); refusal != nil {
			delete(c.jobs, j.key)
			return refusal
		}
		c.apply(actions)
	}
	refused := c.queue.Push(now, scheduler.Item{
		Request: j.key, Workspace: d.Workspace, Share: d.Share, Version: d.Version,
		Priority: d.Priority, Tokens: d.Tokens, Deadline: j.deadline,
	}, load)
	var own *messenger.Refusal
	for _, r := range refused {
		if r.Request == j.key {
			own = queueRefusal(r)
			c.removeJob(j)
			continue
		}
		c.endRejected(r)
	}
	if own == nil {
		c.settings.Recorder.Record(j.event(recorder.KindQueued, c.settings.Node))
	}
	c.startReady()
	return own
}

// loadFailure returns the refusal among the actions that concerns the request, or nil.
func loadFailure(actions []loader.Action, key string) *messenger.Refusal {
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

func queueRefusal(r scheduler.Refused) *messenger.Refusal {
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

// endRejected ends a waiting job that the queue has rejected. The caller holds mu.
func (c *Companion) endRejected(r scheduler.Refused) {
	if j := c.jobs[r.Request]; j != nil {
		c.removeJob(j)
		c.endLocked(j, c.notRunEnd(j, queueRefusal(r)))
	}
}

// refuseJob ends a job that has not started. The caller holds mu.
func (c *Companion) refuseJob(j *job, r *messenger.Refusal) {
	c.queue.Remove(j.key)
	c.removeJob(j)
	c.endLocked(j, c.notRunEnd(j, r))
}

// removeJob deletes the job and releases its wait or pin in the slot table. The caller
// holds mu.
func (c *Companion) removeJob(j *job) {
	delete(c.jobs, j.key)
	if c.table != nil {
		c.apply(c.table.Release(c.settings.Now(), j.key))
	}
}

// notRunEnd returns the end of a job that will not be run. Its outcome is unknown if an
// earlier run may have begun before the engine restarted.
func (c *Companion) notRunEnd(j *job, r *messenger.Refusal) messenger.End {
	e := messenger.End{
		Outcome: messenger.OutcomeNotRun, Reason: r.Reason, Detail: r.Detail, RetryAfterMillis: r.RetryAfterMillis,
	}
	if j.mayHaveRun {
		e.Outcome = messenger.OutcomeUnknown
		e.RetryAfterMillis = 0
	}
	return e
}

// startReady starts all jobs that can run. The caller holds mu.
func (c *Companion) startReady() {
	for {
		now := c.settings.Now()
		if wait := c.regulator.Wait(now, 0); wait > 0 {
			c.scheduleTurn(wait)
			return
		}
		free := c.maxBatch - c.running - c.foreignRequests()
		started, ok := c.queue.Next(now, free, func(it scheduler.Item) bool {
			return c.table == nil || c.table.Pin(it.Request)
		})
		if !ok {
			return
		}
		c.regulator.Take(now)
		c.startJob(now, started)
	}
}

// foreignRequests returns the number of requests that the engine still runs for an earlier
// companion.
func (c *Companion) foreignRequests() int {
	if c.table == nil {
		return 0
	}
	return c.table.ForeignPins()
}

// startJob runs a job whose version is pinned. The caller holds mu.
func (c *Companion) startJob(now time.Time, s scheduler.Started) {
	j := c.jobs[s.Request]
	j.queued += s.Queued
	j.stalled += s.Stalled
	j.runs++
	j.startedAt = now
	j.incarnation = c.engine.Incarnation
	c.running++
	c.metrics.jobStarted(j.dispatch, s)
	c.settings.Recorder.Record(j.event(recorder.KindAdmitted, c.settings.Node))
	j.active = true
	c.spawnLocked(func(ctx context.Context) {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		if !j.deadline.IsZero() {
			var stop context.CancelFunc
			ctx, stop = context.WithTimeoutCause(ctx, j.deadline.Sub(now), errDeadline)
			defer stop()
		}
		c.mu.Lock()
		j.cancel = cancel
		if j.abortCause != nil {
			cancel(j.abortCause)
		}
		c.mu.Unlock()
		if c.settings.Service != nil {
			c.forward(ctx, j)
		} else {
			c.generate(ctx, j)
		}
	})
}

// abort aborts the job's run. The caller holds Companion.mu.
func (j *job) abort(cause error) {
	j.abortCause = cause
	if j.cancel != nil {
		j.cancel(cause)
	}
}

// finish ends a job after its run and frees its place and pin. Tokens is the engine's
// count, negative if unknown.
func (c *Companion) finish(j *job, e messenger.End, tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(j, tokens)
	c.endLocked(j, e)
	c.startReady()
}

// release frees the job's place in the batch and its pin. The caller holds mu.
func (c *Companion) release(j *job, tokens int64) {
	c.running--
	c.queue.Finish(c.settings.Now(), j.key, tokens)
	c.removeJob(j)
}

func (c *Companion) endLocked(j *job, e messenger.End) {
	e.StallMillis = float64(j.stalled) / float64(time.Millisecond)
	e.QueueMillis = float64(j.queued) / float64(time.Millisecond)
	e.Load = c.loadLocked()
	e.EndedLives = j.endedIncarnations
	c.metrics.jobEnded(e.Outcome, e.Reason)
	event := j.event(recorder.KindEngineFinished, c.settings.Node)
	event.Detail = e.Outcome.String()
	c.settings.Recorder.Record(event)
	j.answer.End(c.settings.Now(), e)
}
