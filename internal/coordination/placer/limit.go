package placer

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
)

// LimitChange is a change of the limit that a backend server named.
type LimitChange struct {
	Before, After regulator.Limit
	// Calls is the number of calls that the entry placed under the limit before.
	Calls int
}

// RecordLimit applies what an answer to the chosen call, sent at sentAt, says about the
// backend server's limit. It reports whether the limit has changed.
func (p *Placer) RecordLimit(sentAt, now time.Time, choice *Choice, n regulator.Notice) (LimitChange, bool) {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	b := choice.backend
	c := LimitChange{Before: b.limit, Calls: b.limitedCalls}
	if !b.limit.Record(sentAt, now, n) {
		return c, false
	}
	c.After, b.limitedCalls = b.limit, 0
	return c, true
}
