// Package pauser waits for a time or for the end of a context, whichever is
// first.
package pauser

import (
	"context"
	"time"
)

// Pause waits for d and reports whether it passed before ctx ended.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
