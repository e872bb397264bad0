package weigher

import (
	"slices"
	"time"
)

// window holds the moments, in rising order, that lie less than length back or
// in the future. It is not safe for concurrent use.
type window struct {
	length  time.Duration
	moments []time.Time
}

// add notes a moment, which is not before the last one added.
func (w *window) add(t time.Time) { w.moments = append(w.moments, t) }

// count returns the number of moments in the window that ends now.
func (w *window) count(now time.Time) int {
	w.trim(now)
	return len(w.moments)
}

// next returns the first moment from now on at which one more start keeps every
// window within limit.
func (w *window) next(now time.Time, limit int) time.Time {
	w.trim(now)
	if len(w.moments) < limit {
		return now
	}
	free := w.moments[len(w.moments)-limit].Add(w.length)
	if free.Before(now) {
		return now
	}
	return free
}

func (w *window) trim(now time.Time) {
	w.moments = slices.DeleteFunc(w.moments, func(t time.Time) bool { return now.Sub(t) >= w.length })
}
