package scheduler

import "time"

// Item is a request that waits for a place in the batch.
type Item struct {
	Request   string
	Workspace string
	// Share is the weight of the workspace; values less than 1 mean 1.
	Share int
	// Version is the adapter version required by the request; empty for none.
	Version string
	// Priority ranges from 0, the lowest, to TopPriority.
	Priority int
	// Tokens is the estimated work; values less than 1 mean 1.
	Tokens int64
	// Deadline is the time by which the answer must be complete; zero means none.
	Deadline time.Time
}

// Started is an item taken from the queue to run.
type Started struct {
	Item
	// Queued is the time spent waiting for a place in the batch.
	Queued time.Duration
	// Stalled is the time during which the batch had a place for the item but its
	// adapter version was not available. It is not included in Queued.
	Stalled time.Duration
}

// Cause is the reason why the queue refused an item.
type Cause int

//go:generate stringer -type=Cause -trimprefix=Cause

// The causes.
const (
	// CauseFull means that the queue has reached one of its bounds.
	CauseFull Cause = iota
	// CauseDeadline means that the item cannot be completed by its deadline.
	CauseDeadline
)

// Refused is an item rejected by the queue. It has not run.
type Refused struct {
	Item
	Cause Cause
	// RetryAfter is the time after which there is likely to be room.
	RetryAfter time.Duration
}

// waiting is an item in the queue.
type waiting struct {
	Item
	arrived time.Time
	// key determines the order of a workspace's items, lowest first. It is the arrival
	// time advanced by the priority and never changes, so ageing requires no updates.
	key time.Time
	// sequence breaks ties between equal keys.
	sequence uint64
	stalled  time.Duration
	// stalling reports that the item has been stalled since the last call of
	// accountStalls.
	stalling bool
}

func (w *waiting) before(o *waiting) bool {
	if !w.key.Equal(o.key) {
		return w.key.Before(o.key)
	}
	return w.sequence < o.sequence
}
