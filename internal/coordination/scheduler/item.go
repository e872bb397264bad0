package scheduler

import "time"

// Item is one request that waits for a place in the batch.
type Item struct {
	Request   string
	Workspace string
	// Share weighs the workspace; less than 1 means 1.
	Share int
	// Version is the adapter version that the request needs, empty for none.
	Version string
	// Priority ranges from 0, last, to TopPriority, first.
	Priority int
	// Tokens is the estimate of the work; less than 1 means 1.
	Tokens int64
	// Deadline is the time by which the answer must have ended; zero means none.
	Deadline time.Time
}

// Started is an item taken from the queue to run.
type Started struct {
	Item
	// Queued is the time spent waiting for a place in the batch.
	Queued time.Duration
	// Stalled is the time in which there was a place in the batch for the item
	// but not its adapter version. It is no part of Queued.
	Stalled time.Duration
}

// Cause tells why the queue refused an item.
type Cause int

//go:generate stringer -type=Cause -trimprefix=Cause

// The causes.
const (
	// CauseFull means that the queue holds as much as it may.
	CauseFull Cause = iota
	// CauseDeadline means that the item can't end by its deadline.
	CauseDeadline
)

// Refused is an item that the queue gave up. It has not run.
type Refused struct {
	Item
	Cause Cause
	// RetryAfter is the time in which there is likely room.
	RetryAfter time.Duration
}

// waiting is an item in the queue.
type waiting struct {
	Item
	arrived time.Time
	// key orders the items of a workspace, the lowest first: the arrival moved
	// ahead by the priority. A key never changes, and so ageing needs no work.
	key time.Time
	// sequence orders equal keys.
	sequence uint64
	stalled  time.Duration
	// stalling tells that the item is counted as stalled since the last account.
	stalling bool
}

func (w *waiting) before(o *waiting) bool {
	if !w.key.Equal(o.key) {
		return w.key.Before(o.key)
	}
	return w.sequence < o.sequence
}
