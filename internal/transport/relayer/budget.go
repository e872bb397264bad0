package relayer

import (
	"sync"
	"sync/atomic"
	"time"
)

// budget limits retries for each service to a share of its calls in a sliding window.
// The slack of a service is divided evenly among the entries.
type budget struct {
	ratio, slack float64
	window       time.Duration
	// entries is the number of entries that share slack, as last reported by a companion,
	// and allEntries returns the number that control knows; 0 means unknown.
	entries    atomic.Int64
	allEntries func() int

	mu sync.Mutex
	// usageByService is guarded by mu.
	usageByService map[string]*usage
}

const (
	// defaultEntries is assumed until the number of entries is reported.
	defaultEntries = 8
	// minEntries is the lower bound on the number of entries. It limits each entry's
	// part of the slack while others are gone for a short time: they may return with
	// counts of their own.
	minEntries = 4
)

// setEntries sets the number of entries that share the slack.
func (b *budget) setEntries(entries int) { b.entries.Store(int64(max(entries, minEntries))) }

// usage holds the calls and retries of one service, by bucket, newest first.
type usage struct {
	calls, repeats [budgetBuckets]float64
	// bucketStart is the start of the newest bucket.
	bucketStart time.Time
}

// budgetBuckets is the number of buckets in the window. The counted window may exceed
// the configured one by up to one bucket, which errs on the safe side.
const budgetBuckets = 10

func newBudget(ratio, slack float64, window time.Duration, allEntries func() int) *budget {
	if allEntries == nil {
		allEntries = func() int { return 0 }
	}
	b := &budget{ratio: ratio, slack: slack, window: window, allEntries: allEntries, usageByService: make(map[string]*usage)}
	b.entries.Store(defaultEntries)
	return b
}

// usage returns the usage of a service with its buckets advanced to now. The caller
// holds mu, and while it uses the result.
func (b *budget) usage(now time.Time, service string) *usage {
	s := b.usageByService[service]
	if s == nil {
		s = &usage{bucketStart: now}
		b.usageByService[service] = s
	}
	part := b.window / (budgetBuckets - 1)
	for shifted := 0; now.Sub(s.bucketStart) >= part; shifted++ {
		if shifted == budgetBuckets {
			s.bucketStart = now
			break
		}
		copy(s.calls[1:], s.calls[:budgetBuckets-1])
		copy(s.repeats[1:], s.repeats[:budgetBuckets-1])
		s.calls[0], s.repeats[0] = 0, 0
		s.bucketStart = s.bucketStart.Add(part)
	}
	return s
}

// sharing returns the number of entries that share the slack.
func (b *budget) sharing() int { return max(int(b.entries.Load()), b.allEntries()) }

// call counts a call to a service.
func (b *budget) call(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage(now, service).calls[0]++
}

// takeRetry reports whether the budget allows one more retry, and if so counts it.
func (b *budget) takeRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.usage(now, service)
	calls, repeats := 0.0, 0.0
	for i := range s.calls {
		calls += s.calls[i]
		repeats += s.repeats[i]
	}
	if repeats+1 > b.ratio*calls+b.slack/float64(b.sharing()) {
		return false
	}
	s.repeats[0]++
	return true
}
