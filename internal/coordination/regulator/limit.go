package regulator

import "time"

// Limit is what a process knows about the limit of one incarnation of a backend server. The
// zero value means that there is none. It is not safe for concurrent use.
type Limit struct {
	// Named reports whether there is a limit, Rate requests per second.
	Named bool
	Rate  float64
	// namedAt is when the last answer that named a limit arrived.
	namedAt time.Time
}

// Record applies a notice, received at now in the answer to a request sent at sentAt. It
// reports whether the limit has changed.
//
// A limit ends with an answer without one to a request that was sent after the last answer
// that named it. An answer to an earlier request may have been given before the limit.
func (l *Limit) Record(sentAt, now time.Time, n Notice) (changed bool) {
	switch n.Kind {
	case NoticeLimited:
		changed = !l.Named || l.Rate != n.Rate
		l.Named, l.Rate = true, n.Rate
		if now.After(l.namedAt) {
			l.namedAt = now
		}
	case NoticeUnlimited:
		changed = l.Named && sentAt.After(l.namedAt)
		if changed {
			l.Named, l.Rate = false, 0
		}
	case NoticeMissing:
	}
	return changed
}

// Age returns the time since the last answer that named the limit.
func (l *Limit) Age(now time.Time) time.Duration { return now.Sub(l.namedAt) }
