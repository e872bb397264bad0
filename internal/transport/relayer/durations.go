package relayer

import (
	"sync"
	"time"
)

// durationPeriod is the shortest time for which the duration of an attempt is kept, which is kept for twice that
// time at most.
const durationPeriod = 10 * time.Second

// durations holds how long attempts took lately, by route. The zero value is empty. It is safe for concurrent
// use.
type durations struct {
	mu sync.Mutex
	// current and previous are the durations in the period that began at began, and in the one before it,
	// by route. All are guarded by mu.
	current, previous map[string]durationSummary
	began             time.Time
}

// durationSummary summarizes the durations of some attempts.
type durationSummary struct {
	longest, sum time.Duration
	count        int
}

// record records that an attempt on a route has been answered after took.
func (d *durations) record(now time.Time, route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	if d.current == nil {
		d.current = make(map[string]durationSummary)
	}
	s := d.current[route]
	d.current[route] = durationSummary{longest: max(s.longest, took), sum: s.sum + took, count: s.count + 1}
}

// longest returns the longest recent duration on a route; 0 means that there is none.
func (d *durations) longest(now time.Time, route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	return max(d.current[route].longest, d.previous[route].longest)
}

// mean returns the mean recent duration on a route; 0 means that there is none.
func (d *durations) mean(now time.Time, route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	c, p := d.current[route], d.previous[route]
	if c.count+p.count == 0 {
		return 0
	}
	return (c.sum + p.sum) / time.Duration(c.count+p.count)
}

// advance begins a new period once the present one is over. The caller holds mu.
func (d *durations) advance(now time.Time) {
	age := now.Sub(d.began)
	if age < durationPeriod {
		return
	}
	d.previous = d.current
	if age >= 2*durationPeriod {
		d.previous = nil
	}
	d.current, d.began = nil, now
}
