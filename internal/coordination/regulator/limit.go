package regulator

import "time"

// Limit is what a process knows about the limit of one incarnation of a backend server. The
// zero value means that there is none.
type Limit struct {
	// Named reports whether there is a limit, Rate requests per second.
	Named bool
	Rate  float64
	// namedAt is when the last answer that named a limit arrived, and endedAt when the one
	// arrived that ended the last limit.
	namedAt, endedAt time.Time
}

// Record applies a notice, received at the time at in the answer to a request sent at
// sentAt. It reports whether the limit has changed.
//
// A limit ends with an answer without one to a request that was sent after the last answer
// that named it: an answer to an earlier request may have been given before the limit. A
// notice that another process received before the end does not start the limit again.
func (l *Limit) Record(sentAt, at time.Time, n Notice) (changed bool) {
	switch n.Kind {
	case NoticeLimited:
		if !l.Named && at.Before(l.endedAt) || l.Named && at.Before(l.namedAt) {
			return false
		}
		changed = !l.Named || l.Rate != n.Rate
		l.Named, l.Rate, l.namedAt = true, n.Rate, at
	case NoticeUnlimited:
		changed = l.Named && sentAt.After(l.namedAt)
		if changed {
			l.Named, l.Rate, l.endedAt = false, 0, at
		}
	case NoticeMissing:
	}
	return changed
}

// End ends the limit, as another process has reported at now.
func (l *Limit) End(now time.Time) {
	if l.Named {
		l.Named, l.Rate, l.endedAt = false, 0, now
	}
}

// Age returns the time since the last answer that named the limit.
func (l *Limit) Age(now time.Time) time.Duration { return now.Sub(l.namedAt) }

const (
	// burstTime is the time whose requests may be sent at once after a pause, at least one.
	burstTime = 250 * time.Millisecond
	// minRate is the rate in requests per second that is used for all lower limits, 0
	// included. Only an answer shows that a limit has ended.
	minRate = 0.1
)

// Interval returns the time between two requests under the limit.
func (l *Limit) Interval() time.Duration {
	return time.Duration(float64(time.Second) / max(minRate, l.Rate))
}

// tolerance returns the time by which a request may be early: that of the burst, less one
// request.
func (l *Limit) tolerance() time.Duration { return max(0, burstTime-l.Interval()) }
