package controller

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
)

// leaderPollInterval is the time between two checks for a leader while none is known.
const leaderPollInterval = 20 * time.Millisecond

// bounded returns a context with the caller's timeout in milliseconds, or
// DefaultCallTimeout if there is none.
func bounded(ctx context.Context, millis int64) (context.Context, context.CancelFunc) {
	d := time.Duration(millis) * time.Millisecond
	if d <= 0 {
		d = DefaultCallTimeout
	}
	return context.WithTimeout(ctx, d)
}

// retryDeadline returns the time after which no further attempt starts: two thirds of the
// time until ctx ends. An attempt that is cut short by the end of ctx has an unknown
// outcome, although all earlier attempts certainly had no effect.
func retryDeadline(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Now().Add(DefaultCallTimeout)
	}
	return time.Now().Add(time.Until(deadline) * 2 / 3)
}

// onLeader runs local if this host leads, and otherwise remote with a connection to the
// leader. It retries while the call certainly had no effect. A call that was already
// forwarded is neither forwarded again nor retried.
//
// A forward that broke after sending may have taken effect. It is never reported as a
// refusal, since the caller would conclude that the call did not run.
func (c *Control) onLeader(
	ctx context.Context, forwarded bool, local func(ctx context.Context) error, remote func(ctx context.Context, conn *messenger.Conn) error,
) error {
	deadline := retryDeadline(ctx)
	for {
		status := c.agreement.Status()
		var err error
		switch {
		case status.Role == replicator.Leader:
			err = local(ctx)
		case forwarded:
			return c.notLeader()
		case status.Leader == 0 && status.Suspended:
			return c.suspendedRefusal()
		case status.Leader == 0:
			err = messenger.NewRefusal(messenger.ReasonUnavailable, "no leader is known")
		default:
			err = c.forward(ctx, status.Leader, remote)
		}
		if err == nil {
			return nil
		}
		if !retriable(err) || forwarded || time.Now().After(deadline) {
			return toRefusal(err)
		}
		select {
		case <-ctx.Done():
			return toRefusal(err)
		case <-c.ctx.Done():
			return toRefusal(err)
		case <-time.After(leaderPollInterval):
		}
	}
}

func (c *Control) forward(ctx context.Context, leader replicator.HostID, remote func(ctx context.Context, conn *messenger.Conn) error) error {
	address := c.links.address(leader)
	if address == "" {
		return messenger.NewRefusal(messenger.ReasonUnavailable, "the leader's address is not known")
	}
	conn, err := c.pool.Conn(ctx, address)
	if err != nil {
		return err
	}
	return remote(ctx, conn)
}

func (c *Control) notLeader() error {
	r := messenger.NewRefusal(messenger.ReasonNotLeader, "")
	if m, ok := c.agreement.Leader(); ok {
		r.Leader = m.Address
	}
	return r
}

// suspendedRefusal refuses a call that this host can't serve until its disk accepts writes.
func (c *Control) suspendedRefusal() error {
	return messenger.NewRefusal(messenger.ReasonUnavailable, "the disk of this host does not accept writes")
}

// retriable reports whether err proves that the call had no effect and another attempt
// may succeed.
func retriable(err error) bool {
	var refusal *messenger.Refusal
	var broken *messenger.BrokenError
	var notConnected *dialer.NotConnectedError
	var notLeader replicator.ErrNotLeader
	switch {
	case errors.As(err, &refusal):
		return refusal.Reason == messenger.ReasonNotLeader || refusal.Reason == messenger.ReasonUnavailable ||
			refusal.Reason == messenger.ReasonStopping
	case errors.As(err, &broken):
		return !broken.Sent
	case errors.As(err, &notConnected), errors.As(err, &notLeader):
		return true
	default:
		return false
	}
}

// toRefusal converts err to the *messenger.Refusal that is sent to the caller.
func toRefusal(err error) error {
	var refusal *messenger.Refusal
	var broken *messenger.BrokenError
	var notConnected *dialer.NotConnectedError
	var unknown replicator.ErrOutcomeUnknown
	switch {
	case errors.As(err, &refusal):
		if refusal.Reason == messenger.ReasonInternal {
			return messenger.NewRefusal(messenger.ReasonOutcomeUnknown, refusal.Detail)
		}
		return refusal
	case errors.As(err, &broken) && !broken.Sent, errors.As(err, &notConnected):
		return messenger.NewRefusal(messenger.ReasonUnavailable, err.Error())
	case errors.As(err, &unknown):
		return messenger.NewRefusal(messenger.ReasonOutcomeUnknown, err.Error())
	case replicator.CertainlyNotAccepted(err):
		return messenger.NewRefusal(messenger.ReasonUnavailable, err.Error())
	default:
		return messenger.NewRefusal(messenger.ReasonOutcomeUnknown, err.Error())
	}
}
