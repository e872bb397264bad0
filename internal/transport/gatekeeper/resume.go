package gatekeeper

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// Waits between attempts to reach a companion for the rest of an answer.
const (
	resumeInitial = 10 * time.Millisecond
	resumeMax     = 500 * time.Millisecond
	// notifyTimeout limits a notification to a companion.
	notifyTimeout = 2 * time.Second
)

// reconnect requests the rest of the answer on a new connection. A connection that went
// silent is closed by its heartbeats; the request that was sent on it is requested by
// its id and never sent again, since it may be running. If the attempt ended, reconnect
// returns the result and true.
func (a *attempt) reconnect(ctx context.Context) (result, bool) {
	e := a.request.entry
	wait := resumeInitial
	for {
		conn, err := e.settings.Pool.Conn(ctx, a.address)
		if err == nil {
			if res, ended, ok := a.resume(ctx, conn); ended || ok {
				return res, ended
			}
		}
		switch {
		case ctx.Err() != nil:
			return a.aborted(ctx), true
		case a.canRunElsewhere():
			// Running it elsewhere is allowed, and is faster than waiting.
			a.cancel(ctx)
			return a.unreachable(), true
		case e.settings.Now().Sub(a.lostAt) > resumeTimeout:
			return a.unreachable(), true
		}
		pauser.Pause(ctx, e.random.jitter(wait))
		wait = min(2*wait, resumeMax)
	}
}

// canRunElsewhere reports whether the request may run again elsewhere.
func (a *attempt) canRunElsewhere() bool {
	return a.request.idempotent && !a.answer.headerSent
}

func (a *attempt) unreachable() result {
	res := unknown(messenger.ReasonUnavailable, "the companion can't be reached any more")
	res.suspect = true
	return res
}

// resume requests the rest of the answer on the connection. It sets ended and the
// result if the attempt ended, or ok if pieces arrive again; with neither, this
// connection broke too.
func (a *attempt) resume(ctx context.Context, conn *messenger.Conn) (res result, ended, ok bool) {
	e := a.request.entry
	e.metrics.resumes.Inc()
	e.settings.Recorder.Record(a.event(recorder.KindResumed, ""))
	ask := messenger.Resume{Request: a.id.request, Attempt: a.id.attempt, Offset: a.assembler.Next()}
	var accepted messenger.Accepted
	err := conn.Call(ctx, messenger.MethodResume, ask, &accepted)
	var refusal *messenger.Refusal
	switch {
	case err == nil && a.incarnation != "" && accepted.Incarnation != a.incarnation:
		return unknown(messenger.ReasonUnavailable, "the companion restarted"), true, false
	case err == nil:
		a.receiveOn(conn, accepted)
		return result{}, false, true
	case errors.As(err, &refusal):
		return a.resumeRefused(refusal), true, false
	default:
		return result{}, false, false
	}
}

// resumeRefused returns the result of a refused resume. Never seen is certain only from
// the incarnation of the companion to which the attempt was sent, since that bars a
// late dispatch. Another incarnation can't know what the previous one ran.
func (a *attempt) resumeRefused(r *messenger.Refusal) result {
	if r.Reason == messenger.ReasonNeverSeen && !a.accepted && a.incarnation != "" && r.Detail == a.incarnation {
		return notRun(messenger.ReasonNeverSeen, "the request did not arrive")
	}
	return unknown(r.Reason, "the rest of the answer can't be had: "+r.Detail)
}

// aborted ends the attempt because the caller left or the deadline passed. The
// companion is notified, so that the engine stops generating.
func (a *attempt) aborted(ctx context.Context) result {
	a.cancel(ctx)
	res := unknown(messenger.ReasonDeadline, "the deadline passed")
	res.final = true
	if errors.Is(ctx.Err(), context.Canceled) {
		res = unknown(messenger.ReasonCancelled, "the caller left")
		res.callerLeft, res.final = true, true
	}
	return res
}

// cancel cancels the attempt at the companion, on any available connection.
func (a *attempt) cancel(ctx context.Context) {
	a.request.entry.settings.Recorder.Record(a.event(recorder.KindCancelled, ""))
	a.notify(ctx, messenger.MethodCancel, messenger.Cancel{Request: a.id.request, Attempt: a.id.attempt})
}

// acknowledge lets the companion free the bytes that were forwarded.
func (a *attempt) acknowledge(ctx context.Context, offset int64, ended bool) {
	a.acknowledged = offset
	a.notify(ctx, messenger.MethodAcknowledge, messenger.Acknowledge{
		Request: a.id.request, Attempt: a.id.attempt, Offset: offset, Ended: ended,
	})
}

// notify sends a message in the background without waiting for an answer. A lost
// message only costs the companion memory until its retention ends.
func (a *attempt) notify(ctx context.Context, method messenger.Method, params any) {
	e := a.request.entry
	conn := a.conn
	e.runDetached(ctx, notifyTimeout, func(ctx context.Context) {
		if conn == nil {
			var err error
			if conn, err = e.settings.Pool.Conn(ctx, a.address); err != nil {
				return
			}
		}
		if err := conn.Notify(ctx, method, params); err != nil {
			e.settings.Log.Debug().Err(err).Str("Request", a.id.request).Str("Method", string(method)).Msg("notifying the companion failed")
		}
	})
}
