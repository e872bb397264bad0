package weigher

import (
	"slices"
	"time"
)

// transfer is one transfer over a link.
type transfer struct {
	// remaining is the time that the rest takes at full speed.
	remaining time.Duration
	// done is closed when remaining reaches 0.
	done chan struct{}
}

// link is the store's network link, whose capacity its transfers share. It is not safe
// for concurrent use.
type link struct {
	penalty float64
	// active contains the unfinished transfers.
	active []*transfer
	// updatedAt is the time for which remaining of the active transfers is valid.
	updatedAt time.Time
}

// slowness returns the factor by which each transfer currently is slower than alone.
func (l *link) slowness() float64 {
	k := float64(len(l.active))
	return k * (1 + (k-1)*l.penalty)
}

// advance updates the transfers to the time now and ends the completed ones.
func (l *link) advance(now time.Time) {
	for len(l.active) > 0 && l.updatedAt.Before(now) {
		slowness := l.slowness()
		shortest := l.active[0].remaining
		for _, t := range l.active {
			shortest = min(shortest, t.remaining)
		}
		span := time.Duration(float64(shortest) * slowness)
		progress := shortest
		if left := now.Sub(l.updatedAt); left < span {
			span = left
			progress = time.Duration(float64(left) / slowness)
		}
		for _, t := range l.active {
			t.remaining -= progress
		}
		l.updatedAt = l.updatedAt.Add(span)
		l.finish()
	}
	l.updatedAt = now
}

// finish ends the completed transfers. Up to 1 µs remaining is taken for a rounding
// error.
func (l *link) finish() {
	l.active = slices.DeleteFunc(l.active, func(t *transfer) bool {
		if t.remaining > time.Microsecond {
			return false
		}
		close(t.done)
		return true
	})
}

// remove removes an unfinished transfer.
func (l *link) remove(t *transfer) {
	l.active = slices.DeleteFunc(l.active, func(a *transfer) bool { return a == t })
}

// next returns the time until the next transfer ends if none is added or removed, or
// false if there is none.
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
