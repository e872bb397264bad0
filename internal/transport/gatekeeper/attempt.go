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

// attempt is one dispatch of a request, or the retrieval of a retained answer.
type attempt struct {
	request *request
	id      attemptID
	// decision is the router's choice; nil for a retained answer.
	decision *router.Decision
	answer   *answer
	backend  string
	address  string
	// incarnation is the incarnation of the companion that received the attempt; empty
	// if it is not known.
	incarnation string
	inbox       *inbox
	// conn is the connection on which pieces arrive, or nil.
	conn      *messenger.Conn
	assembler *streamer.Assembler
	// accepted means that the companion accepted the attempt.
	accepted bool
	// checked means that the model in the answer's head was checked.
	checked bool
	// acknowledged is the last offset that was acknowledged to the companion.
	acknowledged int64
	// lostAt is when the connection was lost.
	lostAt time.Time
	// gapTimer fires when a missing piece is overdue; nil while none is missing.
	gapTimer <-chan time.Time
	// firstByteAt is when the head of the answer arrived.
	firstByteAt time.Time
	end         *messenger.End
	// knownRevision is the revision of the entry's replica when the attempt was sent.
	knownRevision uint64
}

// acknowledgeBytes is the number of bytes after which they are acknowledged, so that
// the companion can free them.
const acknowledgeBytes = 64 << 10

// startAttempt creates an attempt at the chosen backend server. The caller closes it
// with run or close.
func (q *request) startAttempt(d *router.Decision) *attempt {
	q.attempts++
	a := q.newAttempt(attemptID{q.id, q.attempts}, d.Backend, d.Address, d.Incarnation)
	a.decision = d
	return a
}

func (q *request) newAttempt(id attemptID, backend, address, incarnation string) *attempt {
	return &attempt{
		request: q, id: id, backend: backend, address: address, incarnation: incarnation, answer: newAnswer(q),
		inbox: q.entry.settings.PieceRouter.open(id), assembler: streamer.NewAssembler(maxInboxBytes),
	}
}

// run makes the attempt and closes it. The caller finishes the answer.
func (a *attempt) run(ctx context.Context) result {
	defer a.close()
	res, ended := a.dispatch(ctx, a.decision.Epoch)
	if !ended {
		res = a.receiveAll(ctx)
	}
	a.recordResult(ctx, res)
	return res
}

func (a *attempt) close() { a.request.entry.settings.PieceRouter.close(a.id) }

func (a *attempt) event(kind recorder.Kind, detail string) recorder.Event {
	event := a.request.event(kind, detail)
	event.Backend = a.backend
	return event
}

// recordResult reports the result of the attempt to the router, the suspect table and
// the metrics.
func (a *attempt) recordResult(ctx context.Context, res result) {
	q, e, now := a.request, a.request.entry, a.request.entry.settings.Now()
	ending := router.CallResult{
		Served:     res.outcome == messenger.OutcomeCompleted,
		LoadFailed: res.reason == messenger.ReasonLoadFailed,
	}
	if end := a.end; end != nil {
		e.reportLoad(a.backend, end.Load)
		q.reportEnds(ctx, a)
		ending.Stall, ending.CachedTokens = millis(end.StallMillis), end.CachedTokens
		e.metrics.stalls.WithLabelValues(q.dispatch.Workspace).Observe(ending.Stall.Seconds())
		e.metrics.queueWaits.WithLabelValues(q.dispatch.Workspace).Observe(millis(end.QueueMillis).Seconds())
	}
	if !a.firstByteAt.IsZero() {
		ending.Ran = now.Sub(a.firstByteAt)
	}
	e.router.Finish(now, a.decision, ending)
	if res.suspect {
		e.router.Suspect(now, a.backend, res.retryAfter)
	}
}

// dispatch sends the attempt. If that ended the attempt it returns the result and true.
// A lost reply does not end it: the companion may have the attempt, and is asked for it
// by id.
func (a *attempt) dispatch(ctx context.Context, epoch uint64) (result, bool) {
	q, e := a.request, a.request.entry
	conn, err := e.settings.Pool.Conn(ctx, a.address)
	if err != nil {
		if ctx.Err() != nil {
			return a.notSentInTime(), true
		}
		res := notRun(messenger.ReasonUnavailable, "the companion can't be reached")
		res.suspect = true
		return res, true
	}
	if q.claim != nil {
		q.claim.machine.MarkDispatched()
	}
	d := q.dispatch
	d.Attempt, d.Epoch, d.DeadlineMillis = a.id.attempt, epoch, a.timeLeft()
	e.settings.Recorder.Record(a.event(recorder.KindDispatched, fmt.Sprintf("attempt %d, epoch %d", d.Attempt, d.Epoch)))
	var accepted messenger.Accepted
	a.knownRevision = e.settings.Index.Revision()
	err = conn.Call(ctx, messenger.MethodDispatch, d, &accepted)
	var refusal *messenger.Refusal
	var broken *messenger.BrokenError
	switch {
	case err == nil:
		a.receiveOn(conn, accepted)
		return result{}, false
	case errors.As(err, &refusal):
		return refused(refusal), true
	case errors.As(err, &broken) && !broken.Sent:
		res := notRun(messenger.ReasonUnavailable, "the connection closed before the request was sent")
		res.suspect = true
		return res, true
	case ctx.Err() != nil:
		return a.aborted(ctx), true
	default:
		a.lostAt = e.settings.Now()
		return result{}, false
	}
}

// notSentInTime is the result if the deadline passed or the caller left before the
// attempt was sent.
func (a *attempt) notSentInTime() result {
	q := a.request
	res := notRun(messenger.ReasonDeadline, "before it was sent")
	res.callerLeft = q.r.Context().Err() != nil
	res.final = true
	return res
}

// timeLeft returns the time for the companion in milliseconds. It ends slightly before
// the entry's deadline, so that the companion's own result arrives in time.
func (a *attempt) timeLeft() int64 {
	const share, most = 20, 100
	left := a.request.deadline.Sub(a.request.entry.settings.Now()).Milliseconds()
	return max(left-min(left/share, most), 1)
}

// receiveOn starts to receive pieces on the connection.
func (a *attempt) receiveOn(conn *messenger.Conn, accepted messenger.Accepted) {
	a.conn, a.accepted, a.incarnation = conn, true, accepted.Incarnation
	a.request.entry.reportLoad(a.backend, accepted.Load)
}

// receiveAll receives the answer until it ends.
func (a *attempt) receiveAll(ctx context.Context) result {
	for {
		if a.conn == nil {
			// Pieces that arrived before the loss are processed first: the rest of an
			// answer that has started is awaited, and not run elsewhere.
			if res, ended := a.receive(ctx); ended {
				return res
			}
			a.gapTimer = nil
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
		case <-a.gapTimer:
			a.conn, a.lostAt = nil, a.request.entry.settings.Now()
		case <-ctx.Done():
			return a.aborted(ctx)
		}
	}
}

// receive puts the pieces that have arrived in order and forwards them.
func (a *attempt) receive(ctx context.Context) (result, bool) {
	pieces, dropped := a.inbox.takeAll()
	for _, p := range pieces {
		ready, end, gap, err := a.assembler.Add(p)
		if err != nil {
			a.cancel(ctx)
			return a.withheld(translator.CodeAnswerCut, err.Error()), true
		}
		if res, ended := a.forward(ctx, ready); ended {
			return res, true
		}
		if end != nil {
			return a.ended(ctx, end), true
		}
		switch {
		case !gap:
			a.gapTimer = nil
		case a.gapTimer == nil:
			a.gapTimer = time.After(gapTimeout)
		}
	}
	if dropped && a.gapTimer == nil {
		a.gapTimer = time.After(gapTimeout)
	}
	return result{}, false
}

// forward forwards bytes of the answer to the caller.
func (a *attempt) forward(ctx context.Context, data []byte) (result, bool) {
	q := a.request
	if head := a.assembler.Head(); head != nil && !a.checked {
		a.checked = true
		a.firstByteAt = q.entry.settings.Now()
		if res, wrong := a.wrongModel(ctx, head.Model); wrong {
			return res, true
		}
		if a.decision != nil {
			q.entry.router.RecordAnswerStart(a.firstByteAt, a.decision)
		}
		a.answer.head(head, a.backend)
	}
	if len(data) == 0 {
		return result{}, false
	}
	if err := a.answer.write(data); err != nil && q.claim == nil {
		a.cancel(ctx)
		res := unknown(messenger.ReasonCancelled, "the caller takes no more: "+err.Error())
		res.callerLeft, res.final = true, true
		return res, true
	}
	if next := a.assembler.Next(); next-a.acknowledged >= acknowledgeBytes {
		a.acknowledge(ctx, next, false)
	}
	return result{}, false
}

// wrongModel withholds an answer from another version than requested. Without this
// check, an engine that confuses adapters would answer one customer's clearance by
// another customer's rules, and nobody would notice.
func (a *attempt) wrongModel(ctx context.Context, model string) (result, bool) {
	q := a.request
	if model == q.dispatch.Version {
		return result{}, false
	}
	q.entry.metrics.wrongModels.Inc()
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

// ended handles the end of the answer.
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

// finish sends the caller the end of a completed answer.
func (a *attempt) finish() result {
	if err := a.answer.finish(a.end); err != nil && a.request.claim == nil {
		res := unknown(messenger.ReasonCancelled, "the caller took no more: "+err.Error())
		res.callerLeft, res.final = true, true
		return res
	}
	return result{outcome: messenger.OutcomeCompleted}
}
