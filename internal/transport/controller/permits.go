package controller

import (
	"context"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// requestPermit serves MethodRequestPermit: it waits at the leader for a permit.
func (c *Control) requestPermit(ctx context.Context, a permitter.PermitRequest) (grant permitter.Grant, err error) {
	ctx, cancel := bounded(ctx, a.TimeoutMillis)
	defer cancel()
	err = c.onLeader(ctx, a.Forwarded, func(ctx context.Context) error {
		d := c.currentDuties()
		if d == nil {
			return messenger.NewRefusal(messenger.ReasonUnavailable, "the leader takes up its duties")
		}
		var err error
		grant, err = d.requestPermit(ctx, a.Request)
		return err
	}, func(ctx context.Context, conn *messenger.Conn) error {
		a.Forwarded, a.TimeoutMillis = true, remainingMillis(ctx)
		return conn.Call(ctx, messenger.MethodRequestPermit, a, &grant)
	})
	return grant, err
}

// forwardFinish releases a permit at the leader, without waiting for it. If the message
// is lost, the permit stays in use until it expires or its holder sends a report without
// it.
func (c *Control) forwardFinish(f permitter.Finish) {
	if d := c.currentDuties(); d != nil {
		d.finishPermit(f)
		return
	}
	leader, ok := c.agreement.Leader()
	if !ok || uint64(leader.ID) == c.settings.ID {
		return
	}
	c.workers.Go(func() {
		conn, err := c.pool.Conn(c.ctx, leader.Address)
		if err != nil {
			return
		}
		_ = conn.Notify(c.ctx, messenger.MethodFinishPermit, f)
	})
}
