package scheduler

import (
	"math"
	"time"
)

// rate is an exponentially weighted mean of tokens served a second.
type rate struct {
	perSecond float64
	// pending are the tokens since at.
	pending float64
	at      time.Time
	began   time.Time
}

// note counts tokens served.
func (r *rate) note(now time.Time, tokens int64, window time.Duration) {
	if r.at.IsZero() {
		r.at, r.began = now, now
	}
	r.pending += float64(tokens)
	passed := now.Sub(r.at)
	if passed < window/10 {
		return
	}
	fresh := r.pending / passed.Seconds()
	weight := 1 - math.Exp(-float64(passed)/float64(window))
	if r.perSecond == 0 {
		weight = 1
	}
	r.perSecond += weight * (fresh - r.perSecond)
	r.pending = 0
	r.at = now
}

// timeFor returns the time that the tokens take at the rate, 0 where the rate
// is not known yet.
func (r *rate) timeFor(tokens int64) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / r.perSecond * float64(time.Second))
}

// Estimate returns the time that the item would wait for its place: for its
// version to load, or for the work that goes before it, whichever is longer. It
// is 0 while no rate has been measured, so that nothing is refused on a guess.
func (q *Queue) Estimate(it Item, load time.Duration) time.Duration {
	return max(load, q.rate.timeFor(q.ahead(it)))
}

// ahead returns the tokens that are served before the item: those of its own
// workspace with its priority or a higher one, and of each other workspace what
// its share gets meanwhile, at most what it has.
func (q *Queue) ahead(it Item) int64 {
	var own int64
	if f := q.flows[it.Workspace]; f != nil {
		for _, w := range f.items {
			if w.Priority >= it.Priority {
				own += w.Tokens
			}
		}
	}
	sum := own
	for name, f := range q.flows {
		if name != it.Workspace {
			sum += min(f.tokens, (own+max(1, it.Tokens))*int64(f.share)/int64(max(1, it.Share)))
		}
	}
	return sum
}
