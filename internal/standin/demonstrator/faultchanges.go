package demonstrator

import (
	"context"
	"sync"
	"time"
)

// change is one change that was reported to an operator as accepted.
type change struct {
	revision uint64
	// at is the time at which the operator received the answer.
	at time.Time
	// marker is the version that the change declares, or empty.
	marker string
}

// OperatorFigures counts the operators' changes during one fault.
type OperatorFigures struct {
	// Accepted counts the accepted changes, Conflicts those rejected because another
	// operator's change came first, Resent the requests sent again after a lost
	// answer or a server error, Unresolved the changes without a definite answer
	// within changeTimeout.
	Accepted   int
	Conflicts  int
	Resent     int
	Unresolved int
	// InForceMaxMillis is the longest time until a change was in force on an entry
	// that was running and ready throughout.
	InForceMaxMillis int64
}

// changes collects the results of the operators' changes. It is safe for
// concurrent use.
type changes struct {
	mu       sync.Mutex
	accepted []change // guarded by mu
	// increments is the number of accepted increments of the count; guarded by mu.
	increments int64
	figures    OperatorFigures // guarded by mu
	errorTexts []string        // guarded by mu
}

// update calls f with mu held.
func (c *changes) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *changes) addConflict()   { c.update(func() { c.figures.Conflicts++ }) }
func (c *changes) addResend()     { c.update(func() { c.figures.Resent++ }) }
func (c *changes) addUnresolved() { c.update(func() { c.figures.Unresolved++ }) }

// addAccepted records an accepted change; increments reports whether it increments
// the count. It has no lock of its own: its changes run under mu.
func (c *changes) addAccepted(a change, increments bool) {
	c.update(func() {
		c.accepted = append(c.accepted, a)
		c.figures.Accepted++
		if increments {
			c.increments++
		}
	})
}

// addError retains the text of an error, up to maxExamples of them.
func (c *changes) addError(err error) {
	c.update(func() {
		if len(c.errorTexts) < maxExamples {
			c.errorTexts = append(c.errorTexts, err.Error())
		}
	})
}

// after returns the accepted changes without the first count ones.
func (c *changes) after(count int) []change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted[min(count, len(c.accepted)):]
}

// sleep waits for d and reports whether it elapsed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
