// Package pauser implements a sleep that the end of a context interrupts.
package pauser

import (
	"context"
	"time"
)

// Pause sleeps for d or until ctx is done, and reports whether the whole time has passed.
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
