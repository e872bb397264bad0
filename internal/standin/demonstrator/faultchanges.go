package demonstrator

import (
	"context"
	"sync"
	"time"
)

// change is one change that operators were told is accepted.
type change struct {
	revision uint64
	// at is when the operator had the answer.
	at time.Time
	// marker is the version that it declares, or empty.
	marker string
}

// OperatorFigures tell what operators did in one fault.
type OperatorFigures struct {
	// Accepted counts the accepted changes, Conflicts those lost to another
	// operator's, Resent the requests sent again after a lost answer or a
	// refusal, Unresolved the changes without a definite answer in time.
	Accepted   int
	Conflicts  int
	Resent     int
	Unresolved int
	// InForceMaxMillis is the longest time until a change was in force on an entry
	// that was up and ready all the while.
	InForceMaxMillis int64
}

// changes gathers what operators were told. It may be used by several
// goroutines.
type changes struct {
	mu       sync.Mutex
	accepted []change // guarded by mu
	// counts is the number of counts accepted; guarded by mu.
	counts  int64
	figures OperatorFigures // guarded by mu
	faults  []string        // guarded by mu
}

func (c *changes) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *changes) conflict()      { c.update(func() { c.figures.Conflicts++ }) }
func (c *changes) resend()        { c.update(func() { c.figures.Resent++ }) }
func (c *changes) unresolvedOne() { c.update(func() { c.figures.Unresolved++ }) }

// accept has no lock of its own. What it changes runs under mu.
func (c *changes) accept(a change, counts bool) {
	c.update(func() {
		c.accepted = append(c.accepted, a)
		c.figures.Accepted++
		if counts {
			c.counts++
		}
	})
}

func (c *changes) fail(err error) {
	c.update(func() {
		if len(c.faults) < maxExamples {
			c.faults = append(c.faults, err.Error())
		}
	})
}

// after returns the changes accepted after the first so many.
func (c *changes) after(count int) []change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted[min(count, len(c.accepted)):]
}

// wait waits and reports whether the time passed before ctx ended.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
