package subscriber

import (
	"context"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Join begins a membership, or resumes that of the same incarnation and address. Its errors
// are those of Propose, and ErrStale.
func (c *Client) Join(ctx context.Context, name string, m storer.MemberSpec) (registrar.Lease, error) {
	var lease registrar.Lease
	err := c.change(ctx, true, func(ctx context.Context, conn *messenger.Conn) error {
		return conn.Call(ctx, messenger.MethodJoin, registrar.JoinRequest{Name: name, Member: m}, &lease)
	})
	return lease, errors.Annotatef(err, "join %s", name)
}

// Leave marks a membership as leaving, or ends it. It succeeds if a later one has begun.
func (c *Client) Leave(ctx context.Context, name string, epoch uint64, ended bool) error {
	if ended {
		c.members.remove(name, epoch)
	}
	err := c.change(ctx, true, func(ctx context.Context, conn *messenger.Conn) error {
		return conn.Call(ctx, messenger.MethodLeave, registrar.LeaveRequest{Name: name, Epoch: epoch, Ended: ended}, nil)
	})
	return errors.Annotatef(err, "leave %s", name)
}

// Renew queues a renewal of a membership, which is sent at once. It does not block.
func (c *Client) Renew(r registrar.Renewal) { c.members.renew(r) }

// renewLoop sends the heartbeats.
func (c *Client) renewLoop() {
	defer c.workers.Done()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.members.signal:
		}
		conn, done, err := c.acquireConn(c.ctx)
		if err != nil {
			return
		}
		c.mu.Lock()
		term := c.term
		c.mu.Unlock()
		for _, h := range c.members.take(conn, term) {
			if err := conn.Notify(c.ctx, messenger.MethodRenew, h); err != nil {
				// The next connection starts with the full state.
				break
			}
		}
		done()
	}
}
