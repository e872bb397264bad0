package replicator

import (
	"sync"
	"time"
)

// clock turns readings that may jump back into a time that never falls. What
// passed between a reading and a jump back is lost, which is at most the time
// between two readings; LeaseDrift has to cover it.
type clock struct {
	now func() time.Time

	lock sync.Mutex
	// last is the latest reading. Guarded by lock.
	last time.Time
	// elapsed is the time since the first reading. Guarded by lock.
	elapsed time.Duration
}

func newClock(now func() time.Time) *clock { return &clock{now: now, last: now()} }

// read returns the time since the clock was made.
func (c *clock) read() time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	t := c.now()
	c.elapsed += max(0, t.Sub(c.last))
	c.last = t
	return c.elapsed
}
