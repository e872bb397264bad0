package recorder

import (
	"sync"
	"time"
)

// Timestamp is a reading of the hybrid logical clock.
type Timestamp struct {
	_ struct{} `cbor:",toarray"`
	// Wall is the largest wall clock reading that the clock has observed, in
	// nanoseconds since 1970.
	Wall int64
	// Logical orders timestamps with equal Wall.
	Logical uint32
}

// Before reports whether t sorts before u.
func (t Timestamp) Before(u Timestamp) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Logical < u.Logical
}

// Time returns Wall as a time in UTC.
func (t Timestamp) Time() time.Time { return time.Unix(0, t.Wall).UTC() }

// Clock is a hybrid logical clock. It may be used by several goroutines.
type Clock struct {
	now func() time.Time

	mu sync.Mutex
	// last is the latest timestamp returned or observed; guarded by mu. It never
	// decreases, even if the wall clock does.
	last Timestamp
}

// NewClock returns a clock that uses now as its wall clock.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a timestamp later than all timestamps returned or observed before.
func (c *Clock) Now() Timestamp {
	wall := c.now().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall > c.last.Wall {
		c.last = Timestamp{Wall: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe advances the clock past a timestamp received from another process.
func (c *Clock) Observe(t Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(t) {
		c.last = t
	}
}
