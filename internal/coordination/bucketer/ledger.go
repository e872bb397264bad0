package bucketer

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time constant for averaging a rate.
	rateWindow = time.Second
	// idleAfter is the time without a report after which a full bucket is dropped, since a new one
	// would be full too, and a control host's entries are no longer counted.
	idleAfter = 10 * time.Second
	// silentAfter is the time without a report of a workspace in use after which its entry counts as
	// silent: two intervals of reports. silentSearchInterval is the time between two searches.
	silentAfter          = 500 * time.Millisecond
	silentSearchInterval = 100 * time.Millisecond
	// sweepInterval is the time between two sweeps for idle buckets.
	sweepInterval = time.Second
	// startupPeriod is the time after the creation of a ledger in which the lowest level that an
	// entry knows from a previous ledger applies.
	startupPeriod = time.Second
)

// Ledger holds the buckets at the leader, which creates a new Ledger after each election. It is not
// safe for concurrent use.
type Ledger struct {
	number    uint64
	startedAt time.Time
	buckets   map[string]*bucket
	// hosts holds the number of entries by control host.
	hosts map[string]hostEntries
	// counted holds the totals counted for each entry, by workspace.
	counted map[string]*countedEntry
	sweptAt time.Time
	// searchedAt is the time of the last search for silent entries.
	searchedAt time.Time
}

// countedEntry holds the totals counted for one entry.
type countedEntry struct {
	totals map[string]*countedTotal
	at     time.Time
}

// countedTotal is the last total counted for one account of an entry.
type countedTotal struct {
	account uint64
	// report is the number of the report that contained the total.
	report uint64
	total  float64
	at     time.Time
	// rate is the rate that the entry admits. share is its part of the rate of all entries, and level
	// the level that was reported to it, at the time at.
	rate         rate
	share, level float64
	// retries holds the retries that the report expected. The bucket's sum includes them.
	retries retries
}

// hostEntries is the last number of entries reported by a control host.
type hostEntries struct {
	entries int
	at      time.Time
}

// bucket is the token bucket of one workspace.
type bucket struct {
	limit Limit
	// level is the level of the bucket at the time at, in units.
	level float64
	at    time.Time
	// spent is the number of units reported since the ledger was created.
	spent float64
	rate  rate
	// retries is the sum of the retries that entries expect.
	retries retries
	// silent holds the totals of entries that had not reported for silentAfter at the last sweep.
	silent []*countedTotal
}

// NewLedger returns the ledger of a leader elected at now. number must be higher than that of the
// previous leader's ledger.
func NewLedger(now time.Time, number uint64) *Ledger {
	return &Ledger{number: number, startedAt: now, buckets: make(map[string]*bucket), hosts: make(map[string]hostEntries), counted: make(map[string]*countedEntry), sweptAt: now}
}

// Len returns the number of buckets.
func (l *Ledger) Len() int { return len(l.buckets) }

// Number returns the ledger's number.
func (l *Ledger) Number() uint64 { return l.number }

// Entries returns the number of entries that report.
func (l *Ledger) Entries() int {
	sum := 0
	for _, h := range l.hosts {
		sum += h.entries
	}
	return sum
}

// Report counts what entries have admitted, and returns the levels of their workspaces.
func (l *Ledger) Report(now time.Time, b Batch) []Level {
	l.sweep(now)
	l.findSilent(now)
	l.hosts[b.Host] = hostEntries{entries: b.Entries, at: now}
	at := make(map[string]int)
	var levels []Level
	for i := range b.Reports {
		r := &b.Reports[i]
		for j := range r.Uses {
			level := l.applyUse(now, r, &r.Uses[j])
			if k, is := at[level.Workspace]; is {
				levels[k] = level
				continue
			}
			at[level.Workspace] = len(levels)
			levels = append(levels, level)
		}
	}
	return levels
}

// count returns the units that a use adds to those already counted. For an account that is new to
// this ledger, these are the units that no leader has acknowledged. A suspended control host
// passes on reports that are older than those already counted; their totals are lower, and would
// count as refunds that a full bucket loses.
//
// It also replaces the entry's part of all, the retries that entries expect. Those of a previous
// account of the entry remain until they are due.
func (l *Ledger) count(now time.Time, r *Report, u *Use, all *retries) float64 {
	e := l.counted[r.Entry]
	if e == nil {
		e = &countedEntry{totals: make(map[string]*countedTotal)}
		l.counted[r.Entry] = e
	}
	t := e.totals[u.Workspace]
	if t == nil {
		t = &countedTotal{}
		e.totals[u.Workspace] = t
	}
	before := *t
	same := !before.at.IsZero() && before.account == u.Account
	if same && r.Number > 0 && r.Number <= before.report {
		return 0
	}
	e.at = now
	*t = countedTotal{account: u.Account, report: r.Number, total: u.Total, at: now, retries: decode(now, u.Retries)}
	all.advance(now)
	all.merge(&t.retries, 1)
	spent := u.Spent
	if same {
		all.merge(&before.retries, -1)
		spent, t.rate = u.Total-before.total, before.rate
	}
	t.rate.add(now, spent)
	return spent
}

func (l *Ledger) applyUse(now time.Time, r *Report, u *Use) Level {
	b := l.buckets[u.Workspace]
	starting := now.Sub(l.startedAt) < startupPeriod
	maxLevel := u.Burst
	if starting {
		// Not everything spent without a leader has been reported yet.
		maxLevel += u.Rate * startupPeriod.Seconds()
	}
	fromPrevious := u.Known && u.Ledger != l.number && starting
	switch {
	case b == nil:
		// All use since the creation of the ledger is reported to it; before that the bucket may
		// have been drained.
		b = &bucket{limit: u.Limit, at: l.startedAt}
		l.buckets[u.Workspace] = b
		b.fill(now, maxLevel)
		if fromPrevious {
			b.level = min(maxLevel, u.Level)
		}
	case fromPrevious:
		// The entry's level does not include what other entries have reported since.
		b.fill(now, maxLevel)
		b.level = min(b.level, u.Level-b.spent)
	}
	b.fill(now, maxLevel)
	b.level = b.limit.replace(u.Limit, b.level)
	spent := l.count(now, r, u, &b.retries)
	b.level -= spent
	b.spent += spent
	b.rate.add(now, spent)
	tokens := math.Round(min(b.level, b.limit.Burst) - b.reserved(now))
	if t := l.counted[r.Entry].totals[u.Workspace]; t.at.Equal(now) {
		t.level = tokens
		if all := b.rate.at(now); all > 0 {
			t.share = min(1, max(0, t.rate.at(now))/all)
		}
	}
	return Level{Workspace: u.Workspace, Tokens: tokens, Rate: math.Round(b.rate.at(now)), Retries: b.retries.encode(now)}
}

// ExpectedRetries returns the units of refused calls that are expected to be retried, for each
// workspace that has any.
func (l *Ledger) ExpectedRetries(now time.Time) map[string]float64 {
	expected := make(map[string]float64)
	for name, b := range l.buckets {
		if units := b.retries.total(now); units >= 1 {
			expected[name] = math.Round(units)
		}
	}
	return expected
}

// reserved returns the units that entries which don't report may have admitted since: their share of
// the level that they know, and of the units added until they stop using it. An entry that is cut off
// and the others would else admit the same units. What the entry has admitted replaces this with its
// next report.
func (b *bucket) reserved(now time.Time) float64 {
	sum := 0.0
	for _, t := range b.silent {
		if age := now.Sub(t.at); age >= silentAfter {
			sum += t.share * (max(0, t.level) + b.limit.Rate*min(age, maxLevelAge).Seconds())
		}
	}
	return sum
}

// findSilent finds the entries that have stopped to report.
func (l *Ledger) findSilent(now time.Time) {
	if now.Sub(l.searchedAt) < silentSearchInterval {
		return
	}
	l.searchedAt = now
	for _, b := range l.buckets {
		b.silent = b.silent[:0]
	}
	for _, name := range slices.Sorted(maps.Keys(l.counted)) {
		for workspace, t := range l.counted[name].totals {
			if b := l.buckets[workspace]; b != nil && t.share > 0 && now.Sub(t.at) >= silentAfter {
				b.silent = append(b.silent, t)
			}
		}
	}
}

// fill adds the units accrued until now, up to maxLevel.
func (b *bucket) fill(now time.Time, maxLevel float64) {
	passed := max(0, now.Sub(b.at).Seconds())
	b.level = min(maxLevel, b.level+b.limit.Rate*passed)
	b.at = now
}

// sweep drops the buckets that are idle and full, and the totals and hosts that are idle.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	maps.DeleteFunc(l.counted, func(_ string, e *countedEntry) bool {
		maps.DeleteFunc(e.totals, func(_ string, t *countedTotal) bool { return now.Sub(t.at) > idleAfter })
		return now.Sub(e.at) > idleAfter
	})
	maps.DeleteFunc(l.hosts, func(_ string, h hostEntries) bool { return now.Sub(h.at) > idleAfter })
	maps.DeleteFunc(l.buckets, func(_ string, b *bucket) bool {
		idle := now.Sub(b.at)
		return idle > idleAfter && b.level+b.limit.Rate*idle.Seconds() >= b.limit.Burst
	})
}

// rate is the exponentially weighted average of the units spent per second, with the time constant
// rateWindow.
type rate struct {
	value float64
	last  time.Time
}

func (r *rate) add(now time.Time, units float64) {
	r.value = r.at(now) + units/rateWindow.Seconds()
	r.last = now
}

func (r *rate) at(now time.Time) float64 {
	return r.value * math.Exp(-max(0, now.Sub(r.last).Seconds())/rateWindow.Seconds())
}
