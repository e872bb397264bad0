package subscriber

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Propose submits a change and returns the store's answer to it. It tries again
// while the change certainly has no effect, or where sending it twice is safe.
// Its errors are ErrNotAccepted and ErrOutcomeUnknown.
func (c *Client) Propose(ctx context.Context, e storer.Envelope) (storer.Result, error) {
	data, err := storer.Encode(e)
	if err != nil {
		return storer.Result{}, errors.Annotatef(ErrNotAccepted, "%v", err)
	}
	var p distributor.Proposed
	err = c.change(ctx, repeatable(e), func(ctx context.Context, conn *messenger.Conn) error {
		return conn.Call(ctx, messenger.MethodPropose, distributor.Propose{Envelope: data, TimeoutMillis: remaining(ctx)}, &p)
	})
	return p.Result, err
}

// repeatable reports whether a change may be sent twice: the store gives the
// first answer again by its key, or the command itself leads to the same state.
func repeatable(e storer.Envelope) bool {
	if e.IdempotencyKey != "" {
		return true
	}
	switch e.Command.(type) {
	case storer.ClaimCall, storer.SettleClaim, storer.JoinMember, storer.LeaveMember, storer.ExpireMembers,
		storer.CountEnds, storer.ClearSuspects:
		return true
	default:
		return false
	}
}

// change calls a control host until the call succeeds, the context ends, or it
// is not known whether it took effect and it may not be sent twice.
func (c *Client) change(ctx context.Context, repeatable bool, call func(ctx context.Context, conn *messenger.Conn) error) error {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	enough := lastTry(ctx)
	unknown := false
	var last error
	for {
		conn, done, err := c.current(ctx)
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
			if !repeatable {
				return outcome(unknown, err)
			}
		case effectNone:
		}
		if ctx.Err() != nil || time.Now().After(enough) || !c.pauseIn(ctx, c.settings.RetryInterval) {
			break
		}
	}
	return outcome(unknown, last)
}

// outcome names the error by what is known of the change's effect.
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
