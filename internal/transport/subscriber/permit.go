package subscriber

import (
	"context"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// RequestPermit waits for the permit to load a version until the context ends, or for
// CallTimeout if it has no deadline. The caller must return the permit with FinishPermit.
// ErrUnavailable means that no permit was granted.
func (c *Client) RequestPermit(ctx context.Context, r permitter.Request) (permitter.Grant, error) {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	requestedAt := c.settings.Now()
	r = c.members.beginRequest(r)
	defer c.members.endRequest(r)
	for {
		conn, done, err := c.acquireConn(ctx)
		if err != nil {
			return permitter.Grant{}, errors.Annotatef(ErrUnavailable, "%v", err)
		}
		var g permitter.Grant
		err = conn.Call(ctx, messenger.MethodRequestPermit, permitter.PermitRequest{Request: r, TimeoutMillis: remainingMillis(ctx)}, &g)
		done()
		if err == nil && c.acceptPermit(g) {
			c.metrics.permitWait.Observe(c.settings.Now().Sub(requestedAt).Seconds())
			return g, nil
		}
		if ctx.Err() != nil || effectOf(err) == effectRefused || !c.pauseIn(ctx, c.settings.RetryInterval) {
			// The permit may have been granted even so. A Finish without a number ends it, or
			// withdraws the request.
			c.sendFinish(permitter.Finish{Companion: r.Companion, Version: r.Version})
			return permitter.Grant{}, errors.Annotatef(ErrUnavailable, "%v", err)
		}
	}
}

// acceptPermit marks a permit as in use. It returns false for a permit granted by a
// previous leader: the heartbeats have reported, or will report, to the new leader that no
// such permit is in use, so that it may grant others.
func (c *Client) acceptPermit(g permitter.Grant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if permitter.Term(g.Number) < c.term {
		return false
	}
	c.members.addPermit(g)
	return true
}

// FinishPermit returns a permit. It does not block.
func (c *Client) FinishPermit(g permitter.Grant) {
	c.members.removePermit(g)
	c.sendFinish(permitter.Finish{Number: g.Number, Companion: g.Companion, Version: g.Version})
}

func (c *Client) sendFinish(f permitter.Finish) {
	c.mu.Lock()
	l := c.link
	c.mu.Unlock()
	if l == nil {
		return
	}
	// The message may be lost: the heartbeats list the permits in use and the versions
	// requested, and the leader ends the permits and requests that they no longer list.
	_ = l.conn.Notify(c.ctx, messenger.MethodFinishPermit, f)
}
