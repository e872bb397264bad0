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
	swept time.Time
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
	return &Ledger{number: number, began: now, buckets: make(map[string]*bucket), hosts: make(map[string]hostEntries), swept: now}
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
func (l *Ledger) Report(now time.Time, r Report) []Level {
	l.sweep(now)
	l.hosts[r.Host] = hostEntries{entries: r.Entries, at: now}
	levels := make([]Level, 0, len(r.Uses))
	for i := range r.Uses {
		levels = append(levels, l.take(now, &r.Uses[i]))
	}
	return levels
}

func (l *Ledger) take(now time.Time, u *Use) Level {
	b := l.buckets[u.Workspace]
	former := u.Known && u.Ledger != l.number && now.Sub(l.began) < youngFor
	switch {
	case b == nil:
		// The ledger has heard of all use since it began; before that the bucket may have
		// been drained.
		b = &bucket{limit: u.Limit, at: l.began}
		l.buckets[u.Workspace] = b
		b.fill(now)
		if former {
			b.level = u.Level
		}
	case former:
		// An entry's level knows nothing of what the others have reported since.
		b.fill(now)
		b.level = min(b.level, u.Level-b.spent)
	}
	b.fill(now)
	b.level = b.limit.replace(u.Limit, b.level)
	b.level -= u.Spent
	b.spent += u.Spent
	b.rate.add(now, u.Spent)
	return Level{Workspace: u.Workspace, Tokens: math.Round(b.level), Rate: math.Round(b.rate.at(now))}
}

// fill brings the level to now.
func (b *bucket) fill(now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level = min(b.limit.Burst, b.level+b.limit.Rate*passed)
		b.at = now
	}
}

// sweep drops the buckets that are idle and full.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
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
