package bucketer

import (
	"maps"
	"math"
	"time"
)

const (
	// rateWindow is the time constant for averaging a rate.
	rateWindow = time.Second
	// idleAfter is the time without a report after which a full bucket is dropped, since a new one
	// would be full too, and a control host's entries are no longer counted.
	idleAfter = 10 * time.Second
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
}

// countedEntry holds the totals counted for one entry.
type countedEntry struct {
	totals map[string]countedTotal
	at     time.Time
}

// countedTotal is the last total counted for one account of an entry.
type countedTotal struct {
	account uint64
	// report is the number of the report that contained the total.
	report uint64
	total  float64
	at     time.Time
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
func (l *Ledger) count(now time.Time, r *Report, u *Use) float64 {
	e := l.counted[r.Entry]
	if e == nil {
		e = &countedEntry{totals: make(map[string]countedTotal)}
		l.counted[r.Entry] = e
	}
	before, known := e.totals[u.Workspace]
	if known && before.account == u.Account && r.Number > 0 && r.Number <= before.report {
		return 0
	}
	e.at = now
	e.totals[u.Workspace] = countedTotal{account: u.Account, report: r.Number, total: u.Total, at: now}
	if !known || before.account != u.Account {
		return u.Spent
	}
	return u.Total - before.total
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
	spent := l.count(now, r, u)
	b.level -= spent
	b.spent += spent
	b.rate.add(now, spent)
	return Level{Workspace: u.Workspace, Tokens: math.Round(min(b.level, b.limit.Burst)), Rate: math.Round(b.rate.at(now))}
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
		maps.DeleteFunc(e.totals, func(_ string, t countedTotal) bool { return now.Sub(t.at) > idleAfter })
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
