package gatekeeper

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// The waits between two tries to reach a companion for the rest of an answer.
const (
	resumeInitial = 10 * time.Millisecond
	resumeMax     = 500 * time.Millisecond
	// notifyLimit bounds a notification to a companion.
	notifyLimit = 2 * time.Second
)

// reconnect asks for the answer from where it broke off, on a new connection. A
// connection that went silent is closed by its heartbeats; the request that was
// sent on it is asked after by its id and never sent again, since it may be
// running. It returns true with the result where the attempt ended.
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
			return a.gaveUp(ctx), true
		case a.expendable():
			// Running it elsewhere is allowed and takes less time than waiting.
			a.cancel(ctx)
			return a.unreachable(), true
		case e.settings.Now().Sub(a.lostAt) > resumeLimit:
			return a.unreachable(), true
		}
		pauser.Pause(ctx, e.random.jitter(wait))
		wait = min(2*wait, resumeMax)
	}
}

// expendable reports whether the request may be run again elsewhere.
func (a *attempt) expendable() bool {
	return a.request.idempotent && !a.answer.begun
}

func (a *attempt) unreachable() result {
	res := unknown(messenger.ReasonUnavailable, "the companion can't be reached any more")
	res.suspect = true
	return res
}

// resume asks for the rest on the connection. It returns the result with ended,
// or ok where pieces come again; with neither the connection broke too.
func (a *attempt) resume(ctx context.Context, conn *messenger.Conn) (res result, ended, ok bool) {
	e := a.request.entry
	e.metrics.resumes.Inc()
	e.settings.Recorder.Record(a.event(recorder.KindResumed, ""))
	ask := messenger.Resume{Request: a.id.request, Attempt: a.id.attempt, Offset: a.assembler.Next()}
	var accepted messenger.Accepted
	err := conn.Call(ctx, messenger.MethodResume, ask, &accepted)
	var refusal *messenger.Refusal
	switch {
	case err == nil && a.life != "" && accepted.Incarnation != a.life:
		return unknown(messenger.ReasonUnavailable, "the companion restarted"), true, false
	case err == nil:
		a.take(conn, accepted)
		return result{}, false, true
	case errors.As(err, &refusal):
		return a.resumeRefused(refusal), true, false
	default:
		return result{}, false, false
	}
}

// resumeRefused judges a refused resumption. That the attempt was never seen is
// certain only from the life of the companion that it was sent to, which bars a
// dispatch still on its way. Another life can't know what the former one ran.
func (a *attempt) resumeRefused(r *messenger.Refusal) result {
	if r.Reason == messenger.ReasonNeverSeen && !a.accepted && a.life != "" && r.Detail == a.life {
		return notRun(messenger.ReasonNeverSeen, "the request did not arrive")
	}
	return unknown(r.Reason, "the rest of the answer can't be had: "+r.Detail)
}

// gaveUp ends the attempt because the caller left or the deadline passed. The
// companion is told, so that the engine doesn't work for nobody.
func (a *attempt) gaveUp(ctx context.Context) result {
	a.cancel(ctx)
	res := unknown(messenger.ReasonDeadline, "the deadline passed")
	res.final = true
	if errors.Is(ctx.Err(), context.Canceled) {
		res = unknown(messenger.ReasonCancelled, "the caller left")
		res.left, res.final = true, true
	}
	return res
}

// cancel gives the attempt up at the companion, on whatever connection there is.
func (a *attempt) cancel(ctx context.Context) {
	a.request.entry.settings.Recorder.Record(a.event(recorder.KindCancelled, ""))
	a.notify(ctx, messenger.MethodCancel, messenger.Cancel{Request: a.id.request, Attempt: a.id.attempt})
}

// acknowledge has the companion free what the caller was given.
func (a *attempt) acknowledge(ctx context.Context, offset int64, ended bool) {
	a.acknowledged = offset
	a.notify(ctx, messenger.MethodAcknowledge, messenger.Acknowledge{
		Request: a.id.request, Attempt: a.id.attempt, Offset: offset, Ended: ended,
	})
}

// notify sends a message for which no answer is awaited. One that is lost costs
// the companion memory until its retention ends, and no more.
func (a *attempt) notify(ctx context.Context, method messenger.Method, params any) {
	e := a.request.entry
	conn := a.conn
	e.beside(ctx, notifyLimit, func(ctx context.Context) {
		if conn == nil {
			var err error
			if conn, err = e.settings.Pool.Conn(ctx, a.address); err != nil {
				return
			}
		}
		if err := conn.Notify(ctx, method, params); err != nil {
			e.settings.Log.Debug().Err(err).Str("Request", a.id.request).Str("Method", string(method)).Msg("not told")
		}
	})
}
