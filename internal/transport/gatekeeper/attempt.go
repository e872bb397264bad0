package gatekeeper

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/router"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/transport/streamer"
)

// attempt is one dispatch of a request, or the fetching of a kept answer.
type attempt struct {
	request *request
	id      attemptID
	// decision is the router's choice; nil for a kept answer.
	decision *router.Decision
	answer   *answer
	backend  string
	address  string
	// life is the companion's incarnation that the attempt was sent to; empty
	// where it is not known.
	life  string
	inbox *inbox
	// conn is the connection that pieces come on, or nil.
	conn      *messenger.Conn
	assembler *streamer.Assembler
	// accepted tells that the companion took the attempt on.
	accepted bool
	// checked tells that the answer's head was checked.
	checked bool
	// acknowledged is the offset that the companion was told.
	acknowledged int64
	// lostAt is when the connection was lost.
	lostAt time.Time
	// late fires when a missing piece has been waited for long enough; nil while
	// none is missing.
	late <-chan time.Time
	// firstAt is when the first bytes of the answer came.
	firstAt time.Time
	end     *messenger.End
}

// acknowledgeBytes is the number of bytes after which the companion is told that
// it may free them.
const acknowledgeBytes = 64 << 10

// begin makes the attempt at a chosen backend server. The caller ends it.
func (q *request) begin(d *router.Decision) *attempt {
	q.attempts++
	a := q.newAttempt(attemptID{q.id, q.attempts}, d.Backend, d.Address, d.Incarnation)
	a.decision = d
	return a
}

func (q *request) newAttempt(id attemptID, backend, address, life string) *attempt {
	return &attempt{
		request: q, id: id, backend: backend, address: address, life: life, answer: newAnswer(q),
		inbox: q.entry.settings.PieceRouter.open(id), assembler: streamer.NewAssembler(inboxLimit),
	}
}

// run makes the attempt. The answer is left to be finished.
func (a *attempt) run(ctx context.Context) result {
	defer a.close()
	res, ended := a.dispatch(ctx, a.decision.Epoch)
	if !ended {
		res = a.follow(ctx)
	}
	a.learn(ctx, res)
	return res
}

func (a *attempt) close() { a.request.entry.settings.PieceRouter.close(a.id) }

func (a *attempt) event(kind recorder.Kind, detail string) recorder.Event {
	event := a.request.event(kind, detail)
	event.Backend = a.backend
	return event
}

// learn tells the router and the metrics what the attempt has shown.
func (a *attempt) learn(ctx context.Context, res result) {
	q, e, now := a.request, a.request.entry, a.request.entry.settings.Now()
	ending := router.Ending{
		Served:     res.outcome == messenger.OutcomeCompleted,
		LoadFailed: res.reason == messenger.ReasonLoadFailed,
	}
	if end := a.end; end != nil {
		e.load(a.backend, end.Load)
		q.blame(ctx, a.backend, end.EndedLives, a.assembler.Next() > 0)
		ending.Stall, ending.CachedTokens = millis(end.StallMillis), end.CachedTokens
		e.metrics.stalls.WithLabelValues(q.dispatch.Workspace).Observe(ending.Stall.Seconds())
		e.metrics.queueWaits.WithLabelValues(q.dispatch.Workspace).Observe(millis(end.QueueMillis).Seconds())
	}
	if !a.firstAt.IsZero() {
		ending.Ran = now.Sub(a.firstAt)
	}
	e.router.Finish(now, a.decision, ending)
	if res.suspect {
		e.router.Suspect(now, a.backend, res.retryAfter)
	}
}

// dispatch sends the attempt. It returns true with the result where that ended
// it. A lost answer ends nothing: the companion may have the attempt, and is
// asked by its id.
func (a *attempt) dispatch(ctx context.Context, epoch uint64) (result, bool) {
	q, e := a.request, a.request.entry
	conn, err := e.settings.Pool.Conn(ctx, a.address)
	if err != nil {
		if ctx.Err() != nil {
			return a.beforeSending(), true
		}
		res := notRun(messenger.ReasonUnavailable, "the companion can't be reached")
		res.suspect = true
		return res, true
	}
	if q.claim != nil {
		q.claim.machine.Dispatched()
	}
	d := q.dispatch
	d.Attempt, d.Epoch, d.DeadlineMillis = a.id.attempt, epoch, a.timeLeft()
	e.settings.Recorder.Record(a.event(recorder.KindDispatched, fmt.Sprintf("attempt %d, epoch %d", d.Attempt, d.Epoch)))
	var accepted messenger.Accepted
	err = conn.Call(ctx, messenger.MethodDispatch, d, &accepted)
	var refusal *messenger.Refusal
	var broken *messenger.BrokenError
	switch {
	case err == nil:
		a.take(conn, accepted)
		return result{}, false
	case errors.As(err, &refusal):
		return refused(refusal), true
	case errors.As(err, &broken) && !broken.Sent:
		res := notRun(messenger.ReasonUnavailable, "the connection closed before the request was sent")
		res.suspect = true
		return res, true
	case ctx.Err() != nil:
		return a.gaveUp(ctx), true
	default:
		a.lostAt = e.settings.Now()
		return result{}, false
	}
}

// beforeSending is the result where time or caller ran out before the attempt
// was sent.
func (a *attempt) beforeSending() result {
	q := a.request
	res := notRun(messenger.ReasonDeadline, "before it was sent")
	res.left = q.r.Context().Err() != nil
	res.final = true
	return res
}

// timeLeft returns the milliseconds that the companion has. It ends a little
// before the entry's, so that the companion's own truthful ending arrives.
func (a *attempt) timeLeft() int64 {
	const share, most = 20, 100
	left := a.request.deadline.Sub(a.request.entry.settings.Now()).Milliseconds()
	return max(left-min(left/share, most), 1)
}

// take begins to receive on the connection.
func (a *attempt) take(conn *messenger.Conn, accepted messenger.Accepted) {
	a.conn, a.accepted, a.life = conn, true, accepted.Incarnation
	a.request.entry.load(a.backend, accepted.Load)
}

// follow receives the answer until it ends.
func (a *attempt) follow(ctx context.Context) result {
	for {
		if a.conn == nil {
			// What came before the loss is taken first: an answer that has begun
			// is waited for, and not run elsewhere.
			if res, ended := a.receive(ctx); ended {
				return res
			}
			a.late = nil
			if res, ended := a.reconnect(ctx); ended {
				return res
			}
		}
		select {
		case <-a.inbox.arrived:
			if res, ended := a.receive(ctx); ended {
				return res
			}
		case <-a.conn.Done():
			a.conn, a.lostAt = nil, a.request.entry.settings.Now()
		case <-a.late:
			a.conn, a.lostAt = nil, a.request.entry.settings.Now()
		case <-ctx.Done():
			return a.gaveUp(ctx)
		}
	}
}

// receive puts the pieces that have arrived in order and gives them to the
// caller.
func (a *attempt) receive(ctx context.Context) (result, bool) {
	pieces, lost := a.inbox.take()
	for _, p := range pieces {
		ready, end, gap, err := a.assembler.Add(p)
		if err != nil {
			a.cancel(ctx)
			return a.withheld(translator.CodeAnswerCut, err.Error()), true
		}
		if res, ended := a.give(ctx, ready); ended {
			return res, true
		}
		if end != nil {
			return a.ended(ctx, end), true
		}
		switch {
		case !gap:
			a.late = nil
		case a.late == nil:
			a.late = time.After(gapPatience)
		}
	}
	if lost && a.late == nil {
		a.late = time.After(gapPatience)
	}
	return result{}, false
}

// give passes bytes of the answer on.
func (a *attempt) give(ctx context.Context, data []byte) (result, bool) {
	q := a.request
	if head := a.assembler.Head(); head != nil && !a.checked {
		a.checked = true
		a.firstAt = q.entry.settings.Now()
		if res, wrong := a.wrongModel(ctx, head.Model); wrong {
			return res, true
		}
		if a.decision != nil {
			q.entry.router.Began(a.firstAt, a.decision)
		}
		a.answer.head(head, a.backend)
	}
	if len(data) == 0 {
		return result{}, false
	}
	if err := a.answer.write(data); err != nil && q.claim == nil {
		a.cancel(ctx)
		res := unknown(messenger.ReasonCancelled, "the caller takes no more: "+err.Error())
		res.left, res.final = true, true
		return res, true
	}
	if next := a.assembler.Next(); next-a.acknowledged >= acknowledgeBytes {
		a.acknowledge(ctx, next, false)
	}
	return result{}, false
}

// wrongModel withholds an answer that another version gave. Without this check
// an engine that confuses adapters would give one customer's clearance with
// another's rules, and nobody would notice.
func (a *attempt) wrongModel(ctx context.Context, model string) (result, bool) {
	q := a.request
	if model == q.dispatch.Version {
		return result{}, false
	}
	q.entry.metrics.wrong.Inc()
	q.entry.settings.Recorder.Record(a.event(recorder.KindFault, fmt.Sprintf("the engine answered as %q", model)))
	q.entry.settings.Log.Error().Str("Request", q.id).Str("Version", q.dispatch.Version).Str("Model", model).
		Str("Backend", a.backend).Msg("answer of another version withheld")
	a.cancel(ctx)
	return a.withheld(translator.CodeWrongModel, "the engine answered with another version"), true
}

func (a *attempt) withheld(code translator.Code, detail string) result {
	res := unknown(messenger.ReasonEngine, detail)
	res.code, res.final = code, true
	return res
}

// ended takes the answer's ending.
func (a *attempt) ended(ctx context.Context, end *messenger.End) result {
	a.end = end
	a.acknowledge(ctx, a.assembler.Next(), true)
	switch {
	case end.Outcome == messenger.OutcomeNotRun && a.assembler.Next() == 0:
		res := notRun(end.Reason, end.Detail)
		res.retryAfter = time.Duration(end.RetryAfterMillis) * time.Millisecond
		return res
	case end.Outcome != messenger.OutcomeCompleted:
		return unknown(end.Reason, end.Detail)
	}
	if res, wrong := a.wrongModel(ctx, end.Model); wrong {
		return res
	}
	return result{outcome: messenger.OutcomeCompleted}
}

// finish gives the caller the end of a completed answer.
func (a *attempt) finish() result {
	if err := a.answer.finish(a.end); err != nil && a.request.claim == nil {
		res := unknown(messenger.ReasonCancelled, "the caller took no more: "+err.Error())
		res.left, res.final = true, true
		return res
	}
	return result{outcome: messenger.OutcomeCompleted}
}
