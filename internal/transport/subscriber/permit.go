package subscriber

import (
	"context"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// RequestPermit waits for the permit to load a version until the context ends,
// or CallTimeout where it has no deadline. A permit that was granted must be
// given back by FinishPermit. ErrUnavailable tells that no permit was granted.
func (c *Client) RequestPermit(ctx context.Context, r permitter.Request) (permitter.Grant, error) {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	asked := c.settings.Now()
	for {
		conn, done, err := c.current(ctx)
		if err != nil {
			return permitter.Grant{}, errors.Annotatef(ErrUnavailable, "%v", err)
		}
		var g permitter.Grant
		err = conn.Call(ctx, messenger.MethodRequestPermit, permitter.PermitRequest{Request: r, TimeoutMillis: remaining(ctx)}, &g)
		done()
		if err == nil && c.takePermit(g) {
			c.metrics.permitWait.Observe(c.settings.Now().Sub(asked).Seconds())
			return g, nil
		}
		if ctx.Err() != nil || effectOf(err) == effectRefused || !c.pauseIn(ctx, c.settings.RetryInterval) {
			// The answer may be on its way: the permit goes back unused.
			c.finish(permitter.Finish{Companion: r.Companion, Version: r.Version})
			return permitter.Grant{}, errors.Annotatef(ErrUnavailable, "%v", err)
		}
	}
}

// takePermit takes a permit into use. One of an older leader than the newest
// that the client has heard of is not: the new leader was told, or will be, that
// no such permit is in use.
func (c *Client) takePermit(g permitter.Grant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if permitter.Term(g.Number) < c.term {
		return false
	}
	c.members.hold(g)
	return true
}

// FinishPermit gives a permit back. It does not block.
func (c *Client) FinishPermit(g permitter.Grant) {
	c.members.release(g)
	c.finish(permitter.Finish{Number: g.Number, Companion: g.Companion, Version: g.Version})
}

func (c *Client) finish(f permitter.Finish) {
	c.mu.Lock()
	l := c.link
	c.mu.Unlock()
	if l == nil {
		return
	}
	// A finish that is lost is made good by the heartbeats, which list the
	// permits in use.
	_ = l.conn.Notify(c.ctx, messenger.MethodFinishPermit, f)
}
