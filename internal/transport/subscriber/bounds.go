package subscriber

import (
	"context"
	"time"
)

// bounded returns a context that ends at the latest after CallTimeout where the
// caller set no deadline.
func (c *Client) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.settings.CallTimeout)
}

// remaining returns the milliseconds until a context ends; 0 where it does not.
func remaining(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}

// pauseIn waits, and returns false when the context or the client ends.
func (c *Client) pauseIn(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-c.ctx.Done():
		return false
	}
}
