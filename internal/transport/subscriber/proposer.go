package subscriber

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Propose submits a change and returns the store's answer. It retries while the change
// certainly has no effect, or if it is idempotent. Its errors are ErrNotAccepted and
// ErrOutcomeUnknown.
func (c *Client) Propose(ctx context.Context, e storer.Envelope) (storer.Result, error) {
	data, err := storer.Encode(e)
	if err != nil {
		return storer.Result{}, errors.Annotatef(ErrNotAccepted, "%v", err)
	}
	var p distributor.Proposed
	err = c.change(ctx, idempotent(e), func(ctx context.Context, conn *messenger.Conn) error {
		return conn.Call(ctx, messenger.MethodPropose, distributor.Propose{Envelope: data, TimeoutMillis: remainingMillis(ctx)}, &p)
	})
	return p.Result, err
}

// idempotent reports whether a change may be sent twice: the store repeats its first answer
// by the idempotency key, or the command itself leads to the same state.
func idempotent(e storer.Envelope) bool {
	if e.IdempotencyKey != "" {
		return true
	}
	switch e.Command.(type) {
	case storer.ClaimCall, storer.SettleClaim, storer.JoinMember, storer.LeaveMember, storer.ExpireMembers,
		storer.CountEnds, storer.ClearSuspects, storer.CountPartEnds:
		return true
	default:
		return false
	}
}

// change calls a control host until the call succeeds, the context ends, or the outcome is
// unknown and the call is not idempotent.
func (c *Client) change(ctx context.Context, idempotent bool, call func(ctx context.Context, conn *messenger.Conn) error) error {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	lastAttempt := retryDeadline(ctx)
	unknown := false
	var last error
	for {
		conn, done, err := c.acquireConn(ctx)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		err = call(ctx, conn)
		done()
		if err == nil {
			return nil
		}
		last = err
		switch effectOf(err) {
		case effectRefused:
			if staleEpoch(err) {
				return errors.Trace(ErrStale)
			}
			return outcome(unknown, err)
		case effectUnknown:
			unknown = true
			if !idempotent {
				return outcome(unknown, err)
			}
		case effectNone:
		}
		if ctx.Err() != nil || time.Now().After(lastAttempt) || !c.pauseIn(ctx, c.settings.RetryInterval) {
			break
		}
	}
	return outcome(unknown, last)
}

// outcome wraps an error by the known effect of the change.
func outcome(unknown bool, err error) error {
	if unknown {
		return errors.Annotatef(ErrOutcomeUnknown, "%v", err)
	}
	return errors.Annotatef(ErrNotAccepted, "%v", err)
}

func staleEpoch(err error) bool {
	var refusal *messenger.Refusal
	return errors.As(err, &refusal) && refusal.Reason == messenger.ReasonStaleEpoch
}
