package relayer

import (
	"sync"
	"sync/atomic"
	"time"
)

// budget bounds what is sent again to each service, as a share of the calls for it
// in a sliding window. All entries draw on what a service bears, so that each
// keeps to its own part.
type budget struct {
	ratio, slack float64
	window       time.Duration
	// entries is the number of entries that share slack, as far as it is known.
	entries atomic.Int64

	mu sync.Mutex
	// services holds the counts by service; guarded by mu.
	services map[string]*spending
}

const (
	// assumedEntries is the number of entries before it was told.
	assumedEntries = 8
	// leastEntries keeps the part of an entry small that some have just left: they
	// may be back, with counts of their own.
	leastEntries = 4
)

// share tells the budget how many entries draw on it.
func (b *budget) share(entries int) { b.entries.Store(int64(max(entries, leastEntries))) }

// spending is what one service got: counts of buckets, the newest first.
type spending struct {
	calls, again [budgetBuckets]float64
	// at is when the newest bucket began.
	at time.Time
}

// budgetBuckets is the number of parts of the window. A window that slides by
// whole parts counts up to one part too much, which errs to the safe side.
const budgetBuckets = 10

func newBudget(ratio, slack float64, window time.Duration) *budget {
	b := &budget{ratio: ratio, slack: slack, window: window, services: make(map[string]*spending)}
	b.entries.Store(assumedEntries)
	return b
}

// spending has no lock of its own. The caller holds mu.
func (b *budget) spending(now time.Time, service string) *spending {
	s := b.services[service]
	if s == nil {
		s = &spending{at: now}
		b.services[service] = s
	}
	part := b.window / (budgetBuckets - 1)
	for shifted := 0; now.Sub(s.at) >= part; shifted++ {
		if shifted == budgetBuckets {
			s.at = now
			break
		}
		copy(s.calls[1:], s.calls[:budgetBuckets-1])
		copy(s.again[1:], s.again[:budgetBuckets-1])
		s.calls[0], s.again[0] = 0, 0
		s.at = s.at.Add(part)
	}
	return s
}

// call counts a call for a service.
func (b *budget) call(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spending(now, service).calls[0]++
}

// take reports whether a call may be sent once more, and counts it.
func (b *budget) take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.spending(now, service)
	calls, again := 0.0, 0.0
	for i := range s.calls {
		calls += s.calls[i]
		again += s.again[i]
	}
	if again+1 > b.ratio*calls+b.slack/float64(b.entries.Load()) {
		return false
	}
	s.again[0]++
	return true
}
