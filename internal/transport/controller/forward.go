package controller

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
)

// leaderPoll is the time between two looks for a leader, while none is known.
const leaderPoll = 20 * time.Millisecond

// bounded returns a context that ends after the time that the caller waits.
func bounded(ctx context.Context, millis int64) (context.Context, context.CancelFunc) {
	d := time.Duration(millis) * time.Millisecond
	if d <= 0 {
		d = DefaultCallTimeout
	}
	return context.WithTimeout(ctx, d)
}

// lastTry returns the time after which no further try begins: two thirds of the
// time that the caller waits. A try that the end of that time cut short would
// leave the outcome unknown, though all before it certainly had no effect.
func lastTry(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Now().Add(DefaultCallTimeout)
	}
	return time.Now().Add(time.Until(deadline) * 2 / 3)
}

// atLeader has here serve a call, where this host leads, or else hands it to the
// leader. It looks for the leader again while the call certainly had no effect.
//
// A forward that broke after sending may have taken effect: that is never told
// as a refusal, or else a caller would take what runs for what did not run.
func (c *Control) atLeader(
	ctx context.Context, forwarded bool, here func(ctx context.Context) error, there func(ctx context.Context, conn *messenger.Conn) error,
) error {
	enough := lastTry(ctx)
	for {
		status := c.agreement.Status()
		var err error
		switch {
		case status.Role == replicator.Leader:
			err = here(ctx)
		case forwarded:
			return c.notLeader()
		case status.Leader == 0:
			err = messenger.NewRefusal(messenger.ReasonUnavailable, "no leader is known")
		default:
			err = c.forward(ctx, status.Leader, there)
		}
		if err == nil {
			return nil
		}
		if !retriable(err) || forwarded || time.Now().After(enough) {
			return refusalOf(err)
		}
		select {
		case <-ctx.Done():
			return refusalOf(err)
		case <-c.ctx.Done():
			return refusalOf(err)
		case <-time.After(leaderPoll):
		}
	}
}

func (c *Control) forward(ctx context.Context, leader replicator.HostID, there func(ctx context.Context, conn *messenger.Conn) error) error {
	address := c.links.address(leader)
	if address == "" {
		return messenger.NewRefusal(messenger.ReasonUnavailable, "the leader's address is not known")
	}
	conn, err := c.pool.Conn(ctx, address)
	if err != nil {
		return err
	}
	return there(ctx, conn)
}

func (c *Control) notLeader() error {
	r := messenger.NewRefusal(messenger.ReasonNotLeader, "")
	if m, ok := c.agreement.Leader(); ok {
		r.Leader = m.Address
	}
	return r
}

// retriable reports whether an error proves that the call had no effect, and
// another try may go better.
func retriable(err error) bool {
	var refusal *messenger.Refusal
	var broken *messenger.BrokenError
	var unreached *dialer.NotConnectedError
	var notLeader replicator.ErrNotLeader
	switch {
	case errors.As(err, &refusal):
		return refusal.Reason == messenger.ReasonNotLeader || refusal.Reason == messenger.ReasonUnavailable ||
			refusal.Reason == messenger.ReasonStopping
	case errors.As(err, &broken):
		return !broken.Sent
	case errors.As(err, &unreached), errors.As(err, &notLeader):
		return true
	default:
		return false
	}
}

// refusalOf returns the error as it crosses to the caller.
func refusalOf(err error) error {
	var refusal *messenger.Refusal
	var broken *messenger.BrokenError
	var unreached *dialer.NotConnectedError
	var unknown replicator.ErrOutcomeUnknown
	switch {
	case errors.As(err, &refusal):
		if refusal.Reason == messenger.ReasonInternal {
			return messenger.NewRefusal(messenger.ReasonOutcomeUnknown, refusal.Detail)
		}
		return refusal
	case errors.As(err, &broken) && !broken.Sent, errors.As(err, &unreached):
		return messenger.NewRefusal(messenger.ReasonUnavailable, err.Error())
	case errors.As(err, &unknown):
		return messenger.NewRefusal(messenger.ReasonOutcomeUnknown, err.Error())
	case replicator.CertainlyNotAccepted(err):
		return messenger.NewRefusal(messenger.ReasonUnavailable, err.Error())
	default:
		return messenger.NewRefusal(messenger.ReasonOutcomeUnknown, err.Error())
	}
}
