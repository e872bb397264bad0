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

// remaining returns the milliseconds that the other end may take: nine tenths of
// the time until the context ends, or 0 where it does not. Were it all, a
// refusal given at the end would come too late, and a change that certainly has
// no effect would be of unknown outcome.
func remaining(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max((time.Until(deadline) * 9 / 10).Milliseconds(), 1)
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

// lastTry returns the time after which no further try begins: two thirds of the
// time until the context ends. A try that the end cut short would leave the
// outcome unknown, though all before it certainly had no effect.
func lastTry(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Now().Add(DefaultCallTimeout)
	}
	return time.Now().Add(time.Until(deadline) * 2 / 3)
}
