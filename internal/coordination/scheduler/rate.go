package scheduler

import (
	"math"
	"time"
)

// rate is an exponentially weighted mean of tokens served per second.
type rate struct {
	perSecond float64
	// pending is the number of tokens served since at.
	pending   float64
	at        time.Time
	startedAt time.Time
}

// record counts tokens served.
func (r *rate) record(now time.Time, tokens int64, window time.Duration) {
	if r.at.IsZero() {
		r.at, r.startedAt = now, now
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

// timeFor returns the time needed to serve the tokens, or 0 while the rate is unknown.
func (r *rate) timeFor(tokens int64) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / r.perSecond * float64(time.Second))
}

// Estimate returns the expected wait of the item: the load of its version or the work
// ahead of it, whichever takes longer. While no rate has been measured the work ahead
// counts as 0, so that nothing is refused on a guess.
func (q *Queue) Estimate(it Item, load time.Duration) time.Duration {
	return max(load, q.rate.timeFor(q.tokensAhead(it)))
}

// tokensAhead returns the number of tokens served before the item: those of its own
// workspace with at least its priority and, for each other workspace, what it is served
// meanwhile by its share, up to its waiting tokens.
func (q *Queue) tokensAhead(it Item) int64 {
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
