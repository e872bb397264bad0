package weigher

import (
	"slices"
	"time"
)

// transfer is one transfer on a link.
type transfer struct {
	// remaining is the time that the rest takes at full speed.
	remaining time.Duration
	// done is closed when remaining reaches 0.
	done chan struct{}
}

// link is the store's line, which its transfers share. It is not safe for
// concurrent use.
type link struct {
	penalty float64
	// active holds the unfinished transfers.
	active []*transfer
	// at is the time up to which remaining is worked out.
	at time.Time
}

// slowness returns how many times slower than alone each transfer now runs.
func (l *link) slowness() float64 {
	k := float64(len(l.active))
	return k * (1 + (k-1)*l.penalty)
}

// advance works out the transfers up to now and ends those that are through.
func (l *link) advance(now time.Time) {
	for len(l.active) > 0 && l.at.Before(now) {
		slowness := l.slowness()
		shortest := l.active[0].remaining
		for _, t := range l.active {
			shortest = min(shortest, t.remaining)
		}
		span := time.Duration(float64(shortest) * slowness)
		progress := shortest
		if left := now.Sub(l.at); left < span {
			span = left
			progress = time.Duration(float64(left) / slowness)
		}
		for _, t := range l.active {
			t.remaining -= progress
		}
		l.at = l.at.Add(span)
		l.finish()
	}
	l.at = now
}

// finish ends the transfers with nothing remaining. Rounding may leave up to a
// microsecond.
func (l *link) finish() {
	l.active = slices.DeleteFunc(l.active, func(t *transfer) bool {
		if t.remaining > time.Microsecond {
			return false
		}
		close(t.done)
		return true
	})
}

// remove takes out an unfinished transfer.
func (l *link) remove(t *transfer) {
	l.active = slices.DeleteFunc(l.active, func(a *transfer) bool { return a == t })
}

// next returns the time until the next transfer ends if none joins or leaves.
func (l *link) next() (time.Duration, bool) {
	if len(l.active) == 0 {
		return 0, false
	}
	shortest := l.active[0].remaining
	for _, t := range l.active {
		shortest = min(shortest, t.remaining)
	}
	return time.Duration(float64(shortest) * l.slowness()), true
}
