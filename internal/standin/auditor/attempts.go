package auditor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Attempts counts the backend servers at which one request runs. The zero value is empty. It is
// safe for concurrent use.
type Attempts struct {
	mu sync.Mutex
	// calls are the requests by id, and ends the times at which incarnations of backend servers
	// ended. Both are guarded by mu.
	calls map[string]*attemptedCall
	ends  map[string]time.Time
}

type attemptedCall struct {
	limit int
	// runs are the last times at which incarnations began to run the request.
	runs map[string]time.Time
}

// ExcessAttempts is a request that ran at more backend servers than its attempt limit.
type ExcessAttempts struct {
	ID    string
	Limit int
	// Servers are the incarnations that ran it and had not ended when it ran last, in the order of
	// their runs.
	Servers []string
}

// String implements fmt.Stringer.
func (e ExcessAttempts) String() string {
	return fmt.Sprintf("%s ran at %s; %d allowed", e.ID, strings.Join(e.Servers, ", "), e.Limit)
}

// Request records a request that may run at as many backend servers as limit.
func (a *Attempts) Request(id string, limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.calls == nil {
		a.calls = make(map[string]*attemptedCall)
	}
	a.calls[id] = &attemptedCall{limit: max(1, limit), runs: make(map[string]time.Time)}
}

// Run records that an incarnation of a backend server begins to run a request.
func (a *Attempts) Run(at time.Time, id, incarnation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.calls[id]; c != nil {
		c.runs[incarnation] = at
	}
}

// End records that an incarnation of a backend server ends.
func (a *Attempts) End(at time.Time, incarnation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ends == nil {
		a.ends = make(map[string]time.Time)
	}
	a.ends[incarnation] = at
}

// Excess returns the requests that ran at more backend servers than allowed, ordered by id. Those
// that ended before the last run don't count.
func (a *Attempts) Excess() []ExcessAttempts {
	a.mu.Lock()
	defer a.mu.Unlock()
	var found []ExcessAttempts
	for _, id := range slices.Sorted(maps.Keys(a.calls)) {
		c := a.calls[id]
		if servers := a.lasting(c); len(servers) > c.limit {
			found = append(found, ExcessAttempts{ID: id, Limit: c.limit, Servers: servers})
		}
	}
	return found
}

// lasting returns the incarnations that ran a request and had not ended at its last run. The caller
// holds mu.
func (a *Attempts) lasting(c *attemptedCall) []string {
	servers := slices.Collect(maps.Keys(c.runs))
	slices.SortFunc(servers, func(x, y string) int { return cmp.Or(c.runs[x].Compare(c.runs[y]), cmp.Compare(x, y)) })
	if len(servers) == 0 {
		return nil
	}
	last := c.runs[servers[len(servers)-1]]
	return slices.DeleteFunc(servers, func(s string) bool {
		end, ended := a.ends[s]
		return ended && !end.After(last)
	})
}
