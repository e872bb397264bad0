package auditor

import (
	"fmt"
	"sync"
	"time"
)

// timeLeftTolerance is the time by which the deadline of an attempt may exceed others.
const timeLeftTolerance = 500 * time.Millisecond

// TimeLeft compares the deadlines that backend servers are given with those of the callers. The
// zero value is empty. It is safe for concurrent use.
type TimeLeft struct {
	mu sync.Mutex
	// calls are the requests by id; guarded by mu.
	calls map[string]*timedCall
	// report is guarded by mu.
	report TimeLeftReport
}

type timedCall struct {
	sent     time.Time
	deadline time.Duration
	// firstArrival and firstEnd are the time of the first arrival and the end of the time that it
	// was given; zero before.
	firstArrival, firstEnd time.Time
}

// TimeLeftReport counts arrivals of requests by the time that they were given.
type TimeLeftReport struct {
	// Exceeding were given more time than is left, and Late were sent once more later than the
	// tolerance. Both counts those that are in both.
	Exceeding, Late, Both int
	// Worst is the longest time by which one exceeded the deadlines before.
	Worst time.Duration
}

// String implements fmt.Stringer.
func (r TimeLeftReport) String() string {
	return fmt.Sprintf("%d attempts, %d of them among %d late ones, were given more time than is left, at most by %v", r.Exceeding, r.Both, r.Late, r.Worst)
}

// Broken reports whether too many attempts were given more time than is left: more than 20, and
// more than a fifth of these and of all that were sent once more late.
func (r TimeLeftReport) Broken() bool {
	return r.Exceeding > 20 && 5*r.Exceeding > r.Exceeding+r.Late-r.Both
}

// Request records that a caller sends a request with a deadline.
func (t *TimeLeft) Request(at time.Time, id string, deadline time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls == nil {
		t.calls = make(map[string]*timedCall)
	}
	t.calls[id] = &timedCall{sent: at, deadline: deadline}
}

// Arrival records that a backend server reads a request that is given the time left; 0 means
// that it is given no time.
func (t *TimeLeft) Arrival(at time.Time, id string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[id]
	if c == nil {
		return
	}
	end, late := at.Add(left), false
	excess := left - c.deadline
	if c.firstArrival.IsZero() {
		c.firstArrival, c.firstEnd = at, end
	} else if at.Sub(c.firstArrival) > timeLeftTolerance {
		late = true
		t.report.Late++
		excess = max(excess, min(end.Sub(c.firstEnd), end.Sub(c.sent.Add(c.deadline))))
	}
	t.report.Worst = max(t.report.Worst, excess)
	if left <= 0 || excess > timeLeftTolerance {
		t.report.Exceeding++
		if late {
			t.report.Both++
		}
	}
}

// Report returns the counts.
func (t *TimeLeft) Report() TimeLeftReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report
}
