package limiter

import (
	"math"
	"time"
)

// adapt updates the limit once per window. If the mean wait exceeds the target, the
// limit moves towards limit × target/wait, at most halving. Otherwise it grows by its
// square root, but only while calls in flight come near it, so that idle periods do not
// raise it. This is the gradient algorithm of Netflix's concurrency-limits, with the
// queue wait measured by companions in place of the difference of round-trip times,
// which is not informative for generated text. The caller holds mu.
func (l *Limiter) adapt(now time.Time) {
	const (
		smoothing       = 0.3
		growthThreshold = 0.5
	)
	w := &l.window
	if w.began.IsZero() {
		w.began = now
	}
	passed := now.Sub(w.began)
	if passed < l.settings.Window {
		return
	}
	l.refusalRate += smoothing * (float64(w.refused)/passed.Seconds() - l.refusalRate)
	l.finishRate += smoothing * (float64(w.finished)/passed.Seconds() - l.finishRate)
	if w.waited > 0 {
		mean := w.waits / time.Duration(w.waited)
		switch {
		case mean > l.settings.TargetWait:
			gradient := max(float64(l.settings.TargetWait)/float64(mean), 0.5)
			l.limit += smoothing * (l.limit*gradient - l.limit)
		case float64(w.peak) >= growthThreshold*l.limit:
			l.limit += math.Sqrt(l.limit)
		}
	}
	l.limit = min(max(l.limit, float64(l.settings.MinInFlight)), float64(l.settings.MaxInFlight))
	*w = window{began: now, peak: l.inFlight}
}
