package subscriber

import (
	"context"
	"time"
)

// withCallTimeout returns a context that ends after CallTimeout if ctx has no deadline.
func (c *Client) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.settings.CallTimeout)
}

// remainingMillis returns the time limit for the control host in milliseconds: nine tenths
// of the time until the context ends, or 0 if it has no deadline. With the full time, a
// refusal at the end would arrive too late, and the outcome of a change that certainly has
// no effect would be unknown.
func remainingMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max((time.Until(deadline) * 9 / 10).Milliseconds(), 1)
}

// pauseIn waits for d, and returns false when the context or the client ends.
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

// retryDeadline returns the time after which no further attempt is started: two thirds of
// the time until the context ends. An attempt that is interrupted by the deadline would
// make the outcome unknown although all earlier ones certainly had no effect.
func retryDeadline(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Now().Add(DefaultCallTimeout)
	}
	return time.Now().Add(time.Until(deadline) * 2 / 3)
}
