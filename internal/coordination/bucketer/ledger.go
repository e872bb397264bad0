package bucketer

import (
	"maps"
	"math"
	"time"
)

const (
	// rateWindow is the time over which a rate of use is averaged.
	rateWindow = time.Second
	// idleAfter is the time without a report after which a full bucket is dropped, since
	// one that is made anew is full too, and a control host counts no more.
	idleAfter = 10 * time.Second
	// sweepInterval is the time between two sweeps for idle buckets.
	sweepInterval = time.Second
	// youngFor is the time after a ledger's begin in which the lowest level that an entry
	// knows of a former ledger counts.
	youngFor = time.Second
)

// Ledger is the leader's list of buckets. Only the leader has one, and makes a new one
// each time it is elected. It is not safe for use by several goroutines.
type Ledger struct {
	number  uint64
	began   time.Time
	buckets map[string]*bucket
	// hosts holds the number of entries by control host.
	hosts map[string]hostEntries
	// counted holds what was counted of each entry, by workspace.
	counted map[string]*countedEntry
	swept   time.Time
}

// countedEntry is what was counted of one entry.
type countedEntry struct {
	totals map[string]countedTotal
	at     time.Time
}

// countedTotal is the total of an entry's account that was counted last.
type countedTotal struct {
	account uint64
	total   float64
	at      time.Time
}

// hostEntries is what a control host reported last of its entries.
type hostEntries struct {
	entries int
	at      time.Time
}

// bucket is one workspace's.
type bucket struct {
	limit Limit
	// level is what the bucket holds at the time at, in units.
	level float64
	at    time.Time
	// spent is what was reported since the ledger began, in units.
	spent float64
	rate  rate
}

// NewLedger returns the ledger of a leader elected at now. Numbers rise with each leader.
func NewLedger(now time.Time, number uint64) *Ledger {
	return &Ledger{number: number, began: now, buckets: make(map[string]*bucket), hosts: make(map[string]hostEntries), counted: make(map[string]*countedEntry), swept: now}
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

// Report takes in what entries have admitted, and returns the levels of their
// workspaces.
func (l *Ledger) Report(now time.Time, b Batch) []Level {
	l.sweep(now)
	l.hosts[b.Host] = hostEntries{entries: b.Entries, at: now}
	at := make(map[string]int)
	var levels []Level
	for i := range b.Reports {
		r := &b.Reports[i]
		for j := range r.Uses {
			level := l.take(now, r.Entry, &r.Uses[j])
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

// count returns what a use adds to what was counted. A use that this ledger has not heard of
// before adds what no leader has answered for.
func (l *Ledger) count(now time.Time, entry string, u *Use) float64 {
	e := l.counted[entry]
	if e == nil {
		e = &countedEntry{totals: make(map[string]countedTotal)}
		l.counted[entry] = e
	}
	e.at = now
	before, known := e.totals[u.Workspace]
	e.totals[u.Workspace] = countedTotal{account: u.Account, total: u.Total, at: now}
	if !known || before.account != u.Account {
		return u.Spent
	}
	return u.Total - before.total
}

func (l *Ledger) take(now time.Time, entry string, u *Use) Level {
	b := l.buckets[u.Workspace]
	young := now.Sub(l.began) < youngFor
	most := u.Burst
	if young {
		// Not all that was spent without a leader has been reported.
		most += u.Rate * youngFor.Seconds()
	}
	former := u.Known && u.Ledger != l.number && young
	switch {
	case b == nil:
		// The ledger has heard of all use since it began; before that the bucket may have
		// been drained.
		b = &bucket{limit: u.Limit, at: l.began}
		l.buckets[u.Workspace] = b
		b.fill(now, most)
		if former {
			b.level = min(most, u.Level)
		}
	case former:
		// An entry's level knows nothing of what the others have reported since.
		b.fill(now, most)
		b.level = min(b.level, u.Level-b.spent)
	}
	b.fill(now, most)
	b.level = b.limit.replace(u.Limit, b.level)
	spent := l.count(now, entry, u)
	b.level -= spent
	b.spent += spent
	b.rate.add(now, spent)
	return Level{Workspace: u.Workspace, Tokens: math.Round(min(b.level, b.limit.Burst)), Rate: math.Round(b.rate.at(now))}
}

// fill brings the level to now, up to the most that it may be.
func (b *bucket) fill(now time.Time, most float64) {
	passed := max(0, now.Sub(b.at).Seconds())
	b.level = min(most, b.level+b.limit.Rate*passed)
	b.at = now
}

// sweep drops the buckets that are idle and full.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
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

// rate averages what is spent, in units a second, over rateWindow. The weight of what was
// spent falls with the time since.
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
