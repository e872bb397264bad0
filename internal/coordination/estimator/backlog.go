package estimator

import "time"

// Backlog is work that a machine does in order. The zero value is empty.
type Backlog struct {
	// end is the expected end of the work at the slowdown factor factor.
	end    time.Time
	factor float64
}

// Left returns the time until the work is done if the slowdown factor is factor from now on.
func (b *Backlog) Left(now time.Time, factor float64) time.Duration {
	if !b.end.After(now) {
		b.factor = factor
		return 0
	}
	if factor != b.factor {
		b.end = now.Add(Scale(b.end.Sub(now), factor/b.factor))
		b.factor = factor
	}
	return b.end.Sub(now)
}

// Add adds work, given by its duration at factor 1.
func (b *Backlog) Add(now time.Time, work time.Duration, factor float64) {
	left := b.Left(now, factor)
	b.end = now.Add(left + Scale(work, factor))
}
