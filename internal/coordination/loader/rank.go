package loader

import (
	"cmp"
	"time"
)

// ranked reports whether loads follow the ranks: a request waits that asks for it.
func (t *Table) ranked() bool {
	for _, v := range t.waiting {
		for _, w := range v.waiters {
			if w.ranked {
				return true
			}
		}
	}
	return false
}

// compareRanked orders pending versions by the highest rank among the requests that can
// still be served in time, and then by slack; with byAge, by the longest wait alone. Without
// that, versions with many requests would always go before one that a single request wants.
func (t *Table) compareRanked(now time.Time, a, b *version, byAge bool) int {
	if byAge {
		return a.oldest().Compare(b.oldest())
	}
	x, y := a.first(now, t.settings), b.first(now, t.settings)
	return cmp.Or(cmp.Compare(x.rank, y.rank), x.due.Compare(y.due))
}

// first returns the waiting request with the highest rank and the least slack: one that a
// load started now serves in time, or, if there is none, any.
func (v *version) first(now time.Time, s Settings) waiter {
	ready := now.Add(v.expectedLoad(s))
	var best waiter
	found, inTime := false, false
	for _, w := range v.waiters {
		can := w.due.After(ready)
		better := can && !inTime || can == inTime && cmp.Or(cmp.Compare(w.rank, best.rank), w.due.Compare(best.due)) < 0
		if !found || better {
			best, found, inTime = w, true, can
		}
	}
	return best
}

// countOutOfOrder counts a permit for v if it goes by age ahead of another version.
func (t *Table) countOutOfOrder(now time.Time, v *version) {
	if t.permitsRequested%oldestFirstInterval == 0 && t.ranked() && t.firstPending(now, false) != v {
		t.stats.OutOfOrder++
	}
}

// Load is a load that is in progress, or about to start with its slot assigned.
type Load struct {
	Version string
	// Since is when it started; now if it is about to.
	Since time.Time
}

// Loads returns the loads that are in progress or about to start.
func (t *Table) Loads(now time.Time) []Load {
	var all []Load
	for _, name := range sortedKeys(t.slotted) {
		switch v := t.slotted[name]; {
		case v.phase == PhaseLoading:
			all = append(all, Load{Version: name, Since: v.loadStarted})
		case v.permit:
			all = append(all, Load{Version: name, Since: now})
		}
	}
	return all
}
