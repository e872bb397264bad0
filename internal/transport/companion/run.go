package companion

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// maxRuns bounds the runs of an idempotent work whose engine restarted under it.
const maxRuns = 3

// run is one run of a work at the engine.
type run struct {
	companion *Companion
	work      *work
	// request is the engine's name for the run.
	request string
	whole   *whole
	// usage counts the answer's tokens; nil until the engine tells.
	usage *orderer.Usage
	// wantsUsage tells that the caller asked for the chunk with the usage.
	wantsUsage bool
}

// generate runs the work at the engine and ends it.
func (c *Companion) generate(ctx context.Context, w *work) {
	r := &run{companion: c, work: w, request: fmt.Sprintf("%s-%d", w.key, w.runs)}
	r.prepare()
	endpoint := orderer.ChatCompletions
	if w.dispatch.Kind == messenger.CallKindCompletion {
		endpoint = orderer.Completions
	}
	call := orderer.Call{
		Request: r.request, Endpoint: endpoint, Model: w.dispatch.Version,
		// Engines take the lowest number first, the dispatch the highest.
		Priority: maxPriority - min(max(0, w.dispatch.Priority), maxPriority),
		Body:     w.dispatch.Body,
	}
	if !w.dispatch.Idempotent {
		call.IdempotencyKey = w.dispatch.Request
	}
	err := c.settings.Engine.Generate(ctx, call, func(p orderer.Piece) error { return r.give(ctx, p) })
	if err == nil {
		c.finish(w, r.completed(), r.tokens())
		return
	}
	r.failed(ctx, err)
}

const maxPriority = 9

// tokens returns the answer's count of tokens, or -1.
func (r *run) tokens() int64 {
	if r.usage == nil {
		return -1
	}
	return int64(r.usage.TotalTokens)
}

func (r *run) completed() messenger.End {
	e := messenger.End{Outcome: messenger.OutcomeCompleted, Model: r.work.dispatch.Version}
	if u := r.usage; u != nil {
		e.PromptTokens = int64(u.PromptTokens)
		e.AnswerTokens = int64(u.CompletionTokens)
		if u.PromptDetails != nil {
			e.CachedTokens = int64(u.PromptDetails.CachedTokens)
		}
	}
	return e
}

// give passes one event of the engine on.
func (r *run) give(ctx context.Context, p orderer.Piece) error {
	w := r.work
	if !p.Done && p.Model != w.dispatch.Version {
		return errors.Annotatef(orderer.ErrWrongModel, "engine answered by %q", p.Model)
	}
	if p.Usage != nil {
		r.usage = p.Usage
	}
	head := &messenger.Head{Status: statusOK, ContentType: contentStream, Model: w.dispatch.Version}
	if r.whole != nil {
		if !p.Done {
			return r.whole.add(p.Data)
		}
		body, err := r.whole.body()
		if err != nil {
			return err
		}
		head.ContentType = contentJSON
		return r.write(ctx, head, body)
	}
	if p.Usage != nil && !r.wantsUsage && p.Text == "" && p.FinishReason == "" {
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
	patience := time.Duration(r.companion.settings.Companion.AnswerRetention)
	return errors.Trace(r.work.answer.Write(ctx, patience, head, data))
}

// failed ends a run that gave no whole answer.
func (r *run) failed(ctx context.Context, err error) {
	c, w := r.companion, r.work
	cause := context.Cause(ctx)
	if errors.Is(err, orderer.ErrNotRun) {
		r.refused(ctx, err)
		return
	}
	c.settings.Log.Warn().Err(err).Str("Request", w.dispatch.Request).Str("Version", w.dispatch.Version).Msg("run failed")
	if r.restarted(ctx, err) {
		end := messenger.End{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonEngine, Detail: err.Error()}
		c.again(w, w.dispatch.Idempotent && w.answer.Length() == 0, true, end)
		return
	}
	end := messenger.End{Outcome: messenger.OutcomeUnknown, Reason: reasonOf(cause), Detail: err.Error()}
	cancelled, settled := r.stop(ctx)
	if settled && cancelled.Known && !cancelled.Began && !cancelled.Ended {
		end = c.notRun(w, messenger.NewRefusal(reasonOf(cause), err.Error()))
	}
	if settled {
		c.finish(w, end, -1)
		return
	}
	// The caller must not wait for the engine, but the pin must.
	c.mu.Lock()
	c.endLocked(w, end)
	c.mu.Unlock()
	r.settle()
}

// refused ends a run that certainly did not begin. One that met an engine which
// had lost its adapters is queued again, whatever it is: nothing was run.
func (r *run) refused(ctx context.Context, err error) {
	c, w := r.companion, r.work
	refusal := messenger.NewRefusal(messenger.ReasonEngine, err.Error())
	var e *orderer.Error
	if errors.As(err, &e) {
		refusal.RetryAfterMillis = e.RetryAfter.Milliseconds()
	}
	lost := errors.Is(context.Cause(ctx), errRestarted) || errors.Is(err, orderer.ErrNotResident)
	if lost {
		c.notice(context.WithoutCancel(ctx))
	}
	c.again(w, lost, false, c.notRun(w, refusal))
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

// restarted tells whether the engine that ran the work is gone. That it does not
// know the request is not enough: the request may still be on its way to it.
func (r *run) restarted(ctx context.Context, err error) bool {
	if errors.Is(context.Cause(ctx), errRestarted) {
		return true
	}
	if !errors.Is(err, orderer.ErrForgotten) {
		return false
	}
	state, ok := r.companion.notice(context.WithoutCancel(ctx))
	return ok && state.Incarnation != r.work.incarnation
}

// state asks the engine for its state now.
func (c *Companion) state(ctx context.Context) (orderer.EngineState, bool) {
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	state, err := c.settings.Engine.State(ctx)
	return state, err == nil
}

// again queues a work once more whose engine is gone, if allowed, and otherwise
// ends it. Began tells that this run may have begun.
func (c *Companion) again(w *work, allowed, began bool, otherwise messenger.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.settings.Now()
	c.release(w, -1)
	w.mayHaveRun = w.mayHaveRun || began
	if began {
		w.endedLives = append(w.endedLives, w.incarnation)
	}
	allowed = allowed && w.runs < maxRuns && !c.closed && !errors.Is(w.givenUp, errCancelled) &&
		(w.deadline.IsZero() || now.Before(w.deadline))
	if !allowed {
		c.endLocked(w, otherwise)
		c.pump()
		return
	}
	w.begun, w.givenUp, w.cancel = false, nil, nil
	event := w.event(recorder.KindRetried, c.settings.Node)
	event.Detail = "the engine had restarted"
	c.settings.Recorder.Record(event)
	if refusal := c.enqueue(now, w); refusal != nil {
		c.endLocked(w, c.notRun(w, refusal))
	}
}

// stop orders the engine to give the run up. It reports whether the engine has
// certainly done so.
func (r *run) stop(ctx context.Context) (orderer.Cancellation, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	answer, err := r.companion.settings.Engine.Cancel(ctx, r.request)
	return answer, err == nil && answer.Known
}

// stopLimit bounds one order to cancel.
const stopLimit = 2 * time.Second

// settle holds the place and the pin until the engine can no longer be working
// on the run.
//
// An engine that can't be asked may still be generating, and evicting the
// version would cut off whoever gets the answer, or fail the engine. It shows as
// an engine error in mid-stream after an eviction. So the pin outlives the
// request, until the engine confirms or has restarted.
func (r *run) settle() {
	c := r.companion
	wait := settleInitial
	for pauser.Pause(c.root, wait) {
		if _, ok := r.stop(c.root); ok || c.idle(r.work) {
			break
		}
		wait = min(2*wait, settleMax)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(r.work, -1)
	c.pump()
}

const (
	settleInitial = 100 * time.Millisecond
	settleMax     = 2 * time.Second
)

// idle asks the engine whether no more requests use the work's version than
// those which other works run.
func (c *Companion) idle(w *work) bool {
	state, ok := c.state(c.root)
	if !ok {
		return false
	}
	if state.Incarnation != w.incarnation {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	others := c.table.Pins(w.dispatch.Version) - 1
	for _, a := range state.Adapters {
		if a.Name == w.dispatch.Version {
			return a.InUse <= others
		}
	}
	return true
}
