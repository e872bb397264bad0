package permitter

import "time"

// Grant returns the permits to issue at now, in order. It also ends expired permits.
func (t *Table) Grant(now time.Time) []Grant {
	t.expire(now)
	if !t.open(now) {
		return nil
	}
	var grants []Grant
	for len(t.held) < t.pace.limit && !now.Before(t.next) {
		l := t.fairest()
		if l == nil {
			break
		}
		grants = append(grants, t.grant(now, l))
	}
	return grants
}

// Next returns the earliest time at which Grant may return a permit without further
// events, and false if there is none.
func (t *Table) Next(now time.Time) (time.Time, bool) {
	if t.Waiting() == 0 {
		return time.Time{}, false
	}
	at := t.next
	if !t.open(now) && t.openAt.After(at) {
		at = t.openAt
	}
	if len(t.held) < t.pace.limit {
		return at, true
	}
	var first time.Time
	for _, h := range t.held {
		if end := h.reported.Add(t.settings.Expiry); first.IsZero() || end.Before(first) {
			first = end
		}
	}
	if first.After(at) {
		at = first
	}
	return at, true
}

// expire ends the permits whose holders have not reported them within Settings.Expiry.
func (t *Table) expire(now time.Time) {
	for key, h := range t.held {
		if now.Sub(h.reported) >= t.settings.Expiry {
			delete(t.held, key)
		}
	}
}

// fairest returns the workspace with the lowest start tag among those with waiting
// calls, or, if there are none, among those with any requests; nil if there are no
// requests. A prefetch is thus loaded only while no call of any workspace waits.
// Workspaces without requests are dropped once their finish tag has passed and no
// longer affects the order.
func (t *Table) fairest() *lane {
	var best *lane
	var bestStart float64
	var bestName string
	var bestCalls bool
	for name, l := range t.lanes {
		if len(l.requests) == 0 {
			if l.finish <= t.virtual {
				delete(t.lanes, name)
			}
			continue
		}
		start := max(l.finish, t.virtual)
		hasCalls := l.hasCalls()
		if best != nil && hasCalls != bestCalls {
			if hasCalls {
				best, bestStart, bestName, bestCalls = l, start, name, true
			}
			continue
		}
		if best == nil || start < bestStart || start == bestStart && name < bestName {
			best, bestStart, bestName, bestCalls = l, start, name, hasCalls
		}
	}
	return best
}

// hasCalls reports whether calls wait for any of the lane's versions.
func (l *lane) hasCalls() bool {
	for _, w := range l.requests {
		if w.Waiters > 0 {
			return true
		}
	}
	return false
}

// grant issues a permit to the first request of a workspace.
func (t *Table) grant(now time.Time, l *lane) Grant {
	var first *waiting
	for _, w := range l.requests {
		if first == nil || t.precedes(now, w, first) {
			first = w
		}
	}
	key := target{companion: first.Companion, version: first.Version}
	delete(l.requests, key)

	t.virtual = max(l.finish, t.virtual)
	l.finish = t.virtual + 1/l.share
	t.counter++
	g := Grant{
		Number:    t.term<<termShift | t.counter,
		Companion: first.Companion,
		Version:   first.Version,
		Expiry:    t.settings.Expiry,
	}
	t.held[key] = &held{grant: g, since: now, reported: now, sequence: first.Sequence}
	t.next = now.Add(t.settings.interval())
	return g
}

// precedes reports whether request a of a workspace is granted before b: requests with
// waiting calls first; among these the ones older than Settings.MaxAge, by age; then by
// the number of waiting calls, and by age among equals.
func (t *Table) precedes(now time.Time, a, b *waiting) bool {
	if calls := a.Waiters > 0; calls != (b.Waiters > 0) {
		return calls
	}
	aged := now.Sub(a.since) >= t.settings.MaxAge
	if agedB := now.Sub(b.since) >= t.settings.MaxAge; aged != agedB {
		return aged
	}
	if !aged && a.Waiters != b.Waiters {
		return a.Waiters > b.Waiters
	}
	return a.order < b.order
}
