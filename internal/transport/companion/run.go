package companion

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// maxRuns limits the runs of an idempotent job whose engine restarted during a run.
const maxRuns = 3

// run is one run of a job at the engine.
type run struct {
	companion *Companion
	job       *job
	// request is the id of the run at the engine.
	request string
	builder *builder
	// usage counts the answer's tokens; nil until the engine has sent it.
	usage *orderer.Usage
	// includeUsage reports whether the caller asked for the chunk with the usage.
	includeUsage bool
}

// generate runs the job at the engine and ends it.
func (c *Companion) generate(ctx context.Context, j *job) {
	r := &run{companion: c, job: j, request: fmt.Sprintf("%s-%d", j.key, j.runs)}
	r.prepare()
	endpoint := orderer.ChatCompletions
	if j.dispatch.Kind == messenger.CallKindCompletion {
		endpoint = orderer.Completions
	}
	call := orderer.Call{
		Request: r.request, Endpoint: endpoint, Model: j.dispatch.Version,
		// For engines the lowest number has the highest priority, for a dispatch the highest.
		Priority: maxPriority - min(max(0, j.dispatch.Priority), maxPriority),
		Body:     j.dispatch.Body,
		OnLimit:  c.limitRecorder(j),
	}
	if !j.dispatch.Idempotent {
		call.IdempotencyKey = j.dispatch.Request
	}
	err := c.settings.Engine.Generate(ctx, call, func(p orderer.Piece) error { return r.forward(ctx, p) })
	if err == nil {
		c.finish(j, r.completedEnd(), r.tokens())
		return
	}
	r.handleFailure(ctx, err)
}

const maxPriority = 9

// tokens returns the answer's token count, or -1 if unknown.
func (r *run) tokens() int64 {
	if r.usage == nil {
		return -1
	}
	return int64(r.usage.TotalTokens)
}

func (r *run) completedEnd() messenger.End {
	e := messenger.End{Outcome: messenger.OutcomeCompleted, Model: r.job.dispatch.Version}
	if u := r.usage; u != nil {
		e.PromptTokens = int64(u.PromptTokens)
		e.AnswerTokens = int64(u.CompletionTokens)
		if u.PromptDetails != nil {
			e.CachedTokens = int64(u.PromptDetails.CachedTokens)
		}
	}
	return e
}

// forward passes one event of the engine on to the answer.
func (r *run) forward(ctx context.Context, p orderer.Piece) error {
	j := r.job
	if !p.Done && p.Model != j.dispatch.Version {
		return errors.Annotatef(orderer.ErrWrongModel, "engine answered by %q", p.Model)
	}
	if p.Usage != nil {
		r.usage = p.Usage
	}
	head := &messenger.Head{Status: statusOK, ContentType: contentStream, Model: j.dispatch.Version}
	if r.builder != nil {
		if !p.Done {
			return r.builder.add(p.Data)
		}
		body, err := r.builder.body()
		if err != nil {
			return err
		}
		head.ContentType = contentJSON
		return r.write(ctx, head, body)
	}
	if p.Usage != nil && !r.includeUsage && p.Text == "" && p.FinishReason == "" {
		return nil
	}
	return r.write(ctx, head, frame(p.Data))
}

const (
	statusOK      = 200
	contentStream = "text/event-stream"
	contentJSON   = "application/json"
)

// frame returns the server-sent event that carries the data.
func frame(data []byte) []byte {
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	return append(event, "\n\n"...)
}

func (r *run) write(ctx context.Context, head *messenger.Head, data []byte) error {
	retention := time.Duration(r.companion.settings.Companion.AnswerRetention)
	return errors.Trace(r.job.answer.Write(ctx, retention, head, data))
}

// recordFailure logs a run that the backend server did not answer in full, and counts the defect of its answer.
func (r *run) recordFailure(err error) {
	c, d := r.companion, &r.job.dispatch
	c.metrics.answerFailed(err)
	c.settings.Log.Warn().Err(err).Str("Backend", c.settings.Node).Str("Request", d.Request).Str("Version", d.Version).
		Stringer("Defect", exchanger.DefectOf(err)).Msg("run failed")
}

// handleFailure ends a run that did not complete the answer.
func (r *run) handleFailure(ctx context.Context, err error) {
	c, j := r.companion, r.job
	cause := context.Cause(ctx)
	if errors.Is(err, orderer.ErrNotRun) {
		r.handleNotRun(ctx, err)
		return
	}
	r.recordFailure(err)
	if r.engineGone(ctx, err) {
		end := messenger.End{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonEngine, Detail: err.Error()}
		c.retryOrEnd(j, j.dispatch.Idempotent && j.answer.Length() == 0, true, end)
		return
	}
	end := messenger.End{Outcome: messenger.OutcomeUnknown, Reason: reasonOf(cause), Detail: err.Error()}
	cancelled, settled := r.stop(ctx)
	if settled && cancelled.Known && !cancelled.Began && !cancelled.Ended {
		end = c.notRunEnd(j, messenger.NewRefusal(reasonOf(cause), err.Error()))
	}
	if settled {
		c.finish(j, end, -1)
		return
	}
	// The caller gets the end now; the pin is kept until the engine has stopped.
	c.mu.Lock()
	c.endLocked(j, end)
	c.mu.Unlock()
	r.awaitStop()
}

// handleNotRun ends a run that certainly did not begin. If the engine had lost its
// adapters, the job is queued again even if it is not idempotent, since nothing has run.
func (r *run) handleNotRun(ctx context.Context, err error) {
	c, j := r.companion, r.job
	refusal := messenger.NewRefusal(messenger.ReasonEngine, err.Error())
	var e *orderer.Error
	if errors.As(err, &e) {
		refusal.RetryAfterMillis = e.RetryAfter.Milliseconds()
	}
	lost := errors.Is(context.Cause(ctx), errRestarted) || errors.Is(err, orderer.ErrNotResident)
	if lost {
		c.refreshState(context.WithoutCancel(ctx))
	}
	c.retryOrEnd(j, lost, false, c.notRunEnd(j, refusal))
}

func reasonOf(cause error) messenger.Reason {
	switch {
	case errors.Is(cause, errCancelled):
		return messenger.ReasonCancelled
	case errors.Is(cause, errDeadline):
		return messenger.ReasonDeadline
	case errors.Is(cause, errClosed):
		return messenger.ReasonStopping
	default:
		return messenger.ReasonEngine
	}
}

// engineGone reports whether the engine incarnation that ran the job has ended. It is not
// enough that the engine does not know the request, since the request may still be on its
// way to the engine.
func (r *run) engineGone(ctx context.Context, err error) bool {
	if errors.Is(context.Cause(ctx), errRestarted) {
		return true
	}
	if !errors.Is(err, orderer.ErrRequestNotFound) {
		return false
	}
	state, ok := r.companion.refreshState(context.WithoutCancel(ctx))
	return ok && state.Incarnation != r.job.incarnation
}

// state reads the engine's state.
func (c *Companion) state(ctx context.Context) (orderer.EngineState, bool) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	state, err := c.settings.Engine.State(ctx)
	return state, err == nil
}

// retryOrEnd queues a job again whose engine has restarted, if allowed, and otherwise ends
// it with fallback. Began reports whether this run may have begun.
func (c *Companion) retryOrEnd(j *job, allowed, began bool, fallback messenger.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.settings.Now()
	c.release(j, -1)
	j.mayHaveRun = j.mayHaveRun || began
	if began {
		j.endedIncarnations = append(j.endedIncarnations, j.incarnation)
	}
	allowed = allowed && j.runs < maxRuns && !c.closed && !errors.Is(j.abortCause, errCancelled) &&
		(j.deadline.IsZero() || now.Before(j.deadline))
	if !allowed {
		c.endLocked(j, fallback)
		c.startReady()
		return
	}
	j.active, j.abortCause, j.cancel = false, nil, nil
	event := j.event(recorder.KindRetried, c.settings.Node)
	event.Detail = "the engine had restarted"
	c.settings.Recorder.Record(event)
	if refusal := c.enqueue(now, j); refusal != nil {
		c.endLocked(j, c.notRunEnd(j, refusal))
	}
}

// stop orders the engine to cancel the run. It reports whether the engine has certainly
// done so.
func (r *run) stop(ctx context.Context) (orderer.Cancellation, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), engineCallTimeout)
	defer cancel()
	answer, err := r.companion.settings.Engine.Cancel(ctx, r.request)
	return answer, err == nil && answer.Known
}

// engineCallTimeout limits one state or cancel call to the engine.
const engineCallTimeout = 2 * time.Second

// awaitStop keeps the place in the batch and the pin until the engine can no longer be
// working on the run.
//
// An engine that can't be reached may still be generating. An eviction of the version would
// interrupt another receiver of the answer, or make the engine fail, which shows as an
// engine error in mid-stream after an eviction. So the pin is kept beyond the end of the
// request, until the engine confirms the cancellation or has restarted.
func (r *run) awaitStop() {
	c := r.companion
	wait := settleBackoffInitial
	for pauser.Pause(c.root, wait) {
		if _, ok := r.stop(c.root); ok || c.engineDone(r.job) {
			break
		}
		wait = min(2*wait, settleBackoffMax)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(r.job, -1)
	c.startReady()
}

const (
	settleBackoffInitial = 100 * time.Millisecond
	settleBackoffMax     = 2 * time.Second
)

// engineDone asks the engine whether it runs no more requests of the job's version than the
// other jobs account for.
func (c *Companion) engineDone(j *job) bool {
	state, ok := c.state(c.root)
	if !ok {
		return false
	}
	if state.Incarnation != j.incarnation {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	others := c.table.Pins(j.dispatch.Version) - 1
	for _, a := range state.Adapters {
		if a.Name == j.dispatch.Version {
			return a.InUse <= others
		}
	}
	return true
}
