package weigher

import (
	"slices"
	"time"
)

// window contains, in ascending order, the times that are in the future or less than
// length ago. It is not safe for concurrent use.
type window struct {
	length time.Duration
	times  []time.Time
}

// add adds a time, which must not be before the last one added.
func (w *window) add(t time.Time) { w.times = append(w.times, t) }

// count returns the number of times in the window that ends now.
func (w *window) count(now time.Time) int {
	w.trim(now)
	return len(w.times)
}

// next returns the earliest time, not before now, at which one more start keeps the
// number of starts in every window within limit.
func (w *window) next(now time.Time, limit int) time.Time {
	w.trim(now)
	if len(w.times) < limit {
		return now
	}
	free := w.times[len(w.times)-limit].Add(w.length)
	if free.Before(now) {
		return now
	}
	return free
}

func (w *window) trim(now time.Time) {
	w.times = slices.DeleteFunc(w.times, func(t time.Time) bool { return now.Sub(t) >= w.length })
}
