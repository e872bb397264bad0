package replicator

import (
	"sync"
	"time"
)

// clock makes a non-decreasing time from readings that may jump back. The time between the last
// reading and a jump back is lost; it is at most the interval between two readings, and LeaseDrift
// has to cover it.
type clock struct {
	now func() time.Time

	lock sync.Mutex
	// last is the latest reading. Guarded by lock.
	last time.Time
	// elapsed is the time since the first reading. Guarded by lock.
	elapsed time.Duration
}

func newClock(now func() time.Time) *clock { return &clock{now: now, last: now()} }

// read returns the time since the clock was created.
func (c *clock) read() time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	t := c.now()
	c.elapsed += max(0, t.Sub(c.last))
	c.last = t
	return c.elapsed
}
