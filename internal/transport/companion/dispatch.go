package companion

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/transport/streamer"
)

// link is the connection to an entry; a *messenger.Conn.
type link interface {
	Notify(ctx context.Context, method messenger.Method, params any) error
	Done() <-chan struct{}
}

// Handle serves the messages of entries.
func (c *Companion) Handle(
	_ context.Context, conn *messenger.Conn, method messenger.Method, params json.RawMessage,
) (any, error) {
	switch method {
	case messenger.MethodDispatch:
		var d messenger.Dispatch
		if err := messenger.Decode(params, &d); err != nil {
			return nil, err
		}
		return result(c.dispatch(conn, d))
	case messenger.MethodResume:
		var r messenger.Resume
		if err := messenger.Decode(params, &r); err != nil {
			return nil, err
		}
		return result(c.resume(conn, r))
	case messenger.MethodAcknowledge:
		var a messenger.Acknowledge
		if err := messenger.Decode(params, &a); err != nil {
			return nil, err
		}
		c.acknowledge(a)
		return nil, nil
	case messenger.MethodCancel:
		var x messenger.Cancel
		if err := messenger.Decode(params, &x); err != nil {
			return nil, err
		}
		c.cancelJob(x)
		return nil, nil
	default:
		return nil, messenger.NewRefusal(messenger.ReasonUnsupported, string(method))
	}
}

// result converts a refusal to an error, such that a nil *Refusal is a nil error.
func result(a messenger.Accepted, r *messenger.Refusal) (any, error) {
	if r != nil {
		return nil, r
	}
	return a, nil
}

// dispatch accepts an attempt, or refuses it, in which case the attempt has not run.
func (c *Companion) dispatch(conn link, d messenger.Dispatch) (messenger.Accepted, *messenger.Refusal) {
	id := streamer.ID{Request: d.Request, Attempt: d.Attempt}
	answer, err := c.buffer.Begin(id, !d.Idempotent)
	switch {
	case err == nil:
	case errors.Is(err, streamer.ErrSeen):
		// The entry has repeated the dispatch because it lost the first reply: it gets the
		// same answer, and the attempt does not run again.
		accepted, refusal := c.attach(conn, answer, 0)
		if refusal != nil {
			// The attempt has run, so that the refusal must not say that it has not.
			refusal.Reason = messenger.ReasonOutcomeUnknown
		}
		return accepted, refusal
	case errors.Is(err, streamer.ErrBarred):
		return messenger.Accepted{}, messenger.NewRefusal(messenger.ReasonNeverSeen, "declared never seen")
	default:
		// This attempt has not run, but the request may have.
		return messenger.Accepted{}, messenger.NewRefusal(messenger.ReasonOutcomeUnknown, err.Error())
	}
	j := newJob(d, answer)
	if refusal := c.admit(j); refusal != nil {
		// A repeated dispatch of the attempt may have attached to the answer meanwhile.
		answer.End(c.settings.Now(), c.notRunEnd(j, refusal))
		c.metrics.jobEnded(messenger.OutcomeNotRun, refusal.Reason)
		c.buffer.Discard(id)
		return messenger.Accepted{}, refusal
	}
	return c.attach(conn, answer, 0)
}

// admit queues the job, or returns the reason why it can't.
func (c *Companion) admit(j *job) *messenger.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.settings.Now()
	if refusal := c.refusal(now, j.dispatch); refusal != nil {
		return refusal
	}
	j.arrived = now
	if j.dispatch.DeadlineMillis > 0 {
		j.deadline = now.Add(time.Duration(j.dispatch.DeadlineMillis) * time.Millisecond)
	}
	return c.enqueue(now, j)
}

// refusal returns why the companion can't accept the dispatch, or nil. The caller holds mu.
func (c *Companion) refusal(now time.Time, d messenger.Dispatch) *messenger.Refusal {
	service := c.settings.Service != nil
	switch {
	case c.draining || c.closed:
		return messenger.NewRefusal(messenger.ReasonStopping, "backend server is leaving")
	case c.superseded || c.lease.Epoch == 0 || d.Epoch != c.lease.Epoch:
		return messenger.NewRefusal(messenger.ReasonStaleEpoch, "membership has changed")
	case !c.reachable(now):
		r := messenger.NewRefusal(messenger.ReasonUnavailable, "backend server does not answer")
		r.RetryAfterMillis = engineTimeout.Milliseconds()
		return r
	case d.DeadlineMillis > 0 && c.regulator.Wait(now, c.queue.Len()) > time.Duration(d.DeadlineMillis)*time.Millisecond:
		r := messenger.NewRefusal(messenger.ReasonOverloaded, "the limit of requests leaves no turn before the deadline")
		r.RetryAfterMillis = c.regulator.Wait(now, c.queue.Len()).Milliseconds()
		return r
	case service != (d.Kind == messenger.CallKindService):
		return messenger.NewRefusal(messenger.ReasonUnsupported, "another kind of backend server")
	case !service && d.Version == "":
		return messenger.NewRefusal(messenger.ReasonMalformed, "no adapter version")
	case !service && d.BaseModel != c.settings.Companion.BaseModel:
		return messenger.NewRefusal(messenger.ReasonUnsupported, "another base model")
	default:
		return nil
	}
}

// resume sends the rest of an answer to a new connection.
func (c *Companion) resume(conn link, r messenger.Resume) (messenger.Accepted, *messenger.Refusal) {
	answer, err := c.buffer.FindOrBar(c.settings.Now(), streamer.ID{Request: r.Request, Attempt: r.Attempt})
	switch {
	case err == nil:
		c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindResumed, Request: r.Request, Backend: c.settings.Node})
		return c.attach(conn, answer, r.Offset)
	case errors.Is(err, streamer.ErrNeverSeen):
		return messenger.Accepted{}, messenger.NewRefusal(messenger.ReasonNeverSeen, c.incarnation)
	default:
		return messenger.Accepted{}, messenger.NewRefusal(messenger.ReasonUnavailable, err.Error())
	}
}

// attach sends the answer to the connection, starting at the offset in bytes.
func (c *Companion) attach(conn link, answer *streamer.Answer, offset int64) (messenger.Accepted, *messenger.Refusal) {
	reader, err := answer.Attach(offset)
	if err != nil {
		return messenger.Accepted{}, messenger.NewRefusal(messenger.ReasonCompacted, err.Error())
	}
	c.spawn(func(ctx context.Context) { c.deliver(ctx, conn, reader) })
	return messenger.Accepted{Incarnation: c.incarnation, Load: c.Load()}, nil
}

// deliver sends pieces until the answer has ended, the connection is closed or another
// connection has attached to the answer.
func (c *Companion) deliver(ctx context.Context, conn link, reader *streamer.Reader) {
	ctx, cancel := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-conn.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	defer func() {
		cancel()
		<-watched
		reader.Detach(c.settings.Now())
	}()
	for {
		piece, err := reader.Next(ctx)
		if err != nil {
			return
		}
		if err := conn.Notify(ctx, messenger.MethodPiece, piece); err != nil || piece.End != nil {
			return
		}
	}
}

func (c *Companion) acknowledge(a messenger.Acknowledge) {
	answer := c.buffer.Lookup(streamer.ID{Request: a.Request, Attempt: a.Attempt})
	if answer != nil {
		answer.Acknowledge(a.Offset, a.Ended)
	}
}

// cancelJob ends an attempt whose caller has left.
func (c *Companion) cancelJob(x messenger.Cancel) {
	id := streamer.ID{Request: x.Request, Attempt: x.Attempt}
	// The notification can overtake the dispatch, which is handled in a goroutine of its
	// own. Find then bars the attempt, which would otherwise run without a caller.
	answer, err := c.buffer.FindOrBar(c.settings.Now(), id)
	if err != nil {
		return
	}
	answer.Release()
	c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindCancelled, Request: x.Request, Backend: c.settings.Node})
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[jobKey(id)]
	switch {
	case j == nil:
	case j.active:
		j.abort(errCancelled)
	default:
		c.refuseJob(j, messenger.NewRefusal(messenger.ReasonCancelled, "caller has left"))
		c.startReady()
	}
}
