package controller

import (
	"context"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// requestPermit serves MethodRequestPermit: it waits for a permit, at the
// leader.
func (c *Control) requestPermit(ctx context.Context, a permitter.PermitRequest) (grant permitter.Grant, err error) {
	ctx, cancel := bounded(ctx, a.TimeoutMillis)
	defer cancel()
	err = c.atLeader(ctx, a.Forwarded, func(ctx context.Context) error {
		d := c.currentDuties()
		if d == nil {
			return messenger.NewRefusal(messenger.ReasonUnavailable, "the leader takes up its duties")
		}
		var err error
		grant, err = d.requestPermit(ctx, a.Request)
		return err
	}, func(ctx context.Context, conn *messenger.Conn) error {
		a.Forwarded, a.TimeoutMillis = true, remaining(ctx)
		return conn.Call(ctx, messenger.MethodRequestPermit, a, &grant)
	})
	return grant, err
}

// passFinish takes a permit back at the leader. It returns at once. A finish
// that is lost costs the permit's expiry, or until its holder reports without
// it.
func (c *Control) passFinish(f permitter.Finish) {
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
