package rationer

import "time"

//go:generate stringer -type=Cause -trimprefix=Cause

// Cause is what a request waits for longest.
type Cause int

// The causes of a wait.
const (
	CauseNone Cause = iota
	// CauseLoad means a load of its adapter version.
	CauseLoad
	// CauseSlot means an adapter slot.
	CauseSlot
	// CausePrefill means the prefill of other prompts.
	CausePrefill
	// CauseTurn means a turn under the backend server's limit of requests.
	CauseTurn
)

// Loading is a load that is in progress, or about to start with its slot assigned.
type Loading struct {
	Version string
	Since   time.Time
}

// State is what a backend server has, and the observed times of what requests wait for.
type State struct {
	// Load is the time of a load, and Parallel the number of loads at once.
	Load     time.Duration
	Parallel int
	Loading  []Loading
	// Slots is the number of adapter slots, Free the number of those without a request or a
	// load, and Hold the time for which requests use one; 0 if it is not known.
	Slots, Free int
	Hold        time.Duration
	// Backlog is the prefill time of the prompts that have been granted.
	Backlog time.Duration
	// FirstTurn is the time until the next turn under a limit of requests, and TurnInterval
	// the time between two; both are 0 without a limit.
	FirstTurn, TurnInterval time.Duration
}

// Expectation is what is expected for a waiting request.
type Expectation struct {
	ID string
	// Position is the number of requests that are granted before it.
	Position int
	// Wait is the time until its prefill starts.
	Wait  time.Duration
	Cause Cause
	// Left is the time left until the deadline, and Hopeless means that the wait and the
	// prefill exceed it.
	Left     time.Duration
	Hopeless bool
}

// Outlook is what is expected for all waiting requests.
type Outlook struct {
	// Requests holds the expectations in the order of the grants.
	Requests []Expectation
	// End is the time until all waiting requests that are not hopeless have been served: the
	// expected end of the shortage.
	End time.Duration
}

// Expect returns what is expected for requests in the order of their grants. Requests that
// are hopeless are taken not to delay those behind them.
func (s State) Expect(now time.Time, ordered []Request) Outlook {
	p := s.newSchedule(now)
	out := Outlook{Requests: make([]Expectation, 0, len(ordered)), End: s.Backlog}
	kept := 0
	for i := range ordered {
		r := &ordered[i]
		load := p.load(r.Version)
		e := Expectation{ID: r.ID, Position: kept, Wait: load.ready, Cause: load.cause}
		if s.TurnInterval > 0 {
			e.raise(s.FirstTurn+time.Duration(kept)*s.TurnInterval, CauseTurn)
		}
		e.raise(p.prefillBefore(load.ready), CausePrefill)
		if !r.Deadline.IsZero() {
			e.Left = r.Deadline.Sub(now)
			e.Hopeless = e.Wait+r.Prefill > e.Left
		}
		if !e.Hopeless {
			kept++
			p.commit(r, load)
			out.End = max(out.End, e.Wait+r.Prefill)
		}
		out.Requests = append(out.Requests, e)
	}
	return out
}

func (e *Expectation) raise(wait time.Duration, c Cause) {
	if wait > e.Wait {
		e.Wait, e.Cause = wait, c
	}
}

// schedule is the expected course of loads and prefills.
type schedule struct {
	state State
	// lanes holds when each of the parallel loads may start, and ready when the versions
	// scheduled so far are loaded.
	lanes []time.Duration
	ready map[string]time.Duration
	// slotsUsed is the number of slots that scheduled loads take.
	slotsUsed int
	// prompts holds the prompts of the requests that have been scheduled.
	prompts []prompt
}

// prompt is a prompt that is prefilled once its adapter is ready.
type prompt struct{ ready, prefill time.Duration }

func (s State) newSchedule(now time.Time) *schedule {
	p := &schedule{state: s, ready: make(map[string]time.Duration)}
	for _, l := range s.Loading {
		// A load that takes longer than usual shows that the store is slow now: others are
		// expected to take as long.
		p.state.Load = max(p.state.Load, now.Sub(l.Since))
	}
	for _, l := range s.Loading {
		left := min(p.state.Load-now.Sub(l.Since), p.state.Load)
		p.ready[l.Version] = left
		p.lanes = append(p.lanes, left)
	}
	for len(p.lanes) < s.Parallel {
		p.lanes = append(p.lanes, 0)
	}
	if len(p.lanes) == 0 {
		p.lanes = []time.Duration{0}
	}
	return p
}

// loadPlan is when a version is expected to be loaded, and the lane that loads it; the lane
// is negative if no further load is needed.
type loadPlan struct {
	ready time.Duration
	lane  int
	cause Cause
}

func (p *schedule) load(version string) loadPlan {
	if version == "" {
		return loadPlan{lane: -1}
	}
	if ready, scheduled := p.ready[version]; scheduled {
		return loadPlan{ready: ready, lane: -1, cause: CauseLoad}
	}
	l := loadPlan{cause: CauseLoad}
	for i := range p.lanes {
		if p.lanes[i] < p.lanes[l.lane] {
			l.lane = i
		}
	}
	start := p.lanes[l.lane]
	if slot := p.slotWait(); slot > start {
		start, l.cause = slot, CauseSlot
	}
	l.ready = start + p.state.Load
	return l
}

// slotWait returns the time until a slot is free for one more load.
func (p *schedule) slotWait() time.Duration {
	missing := p.slotsUsed + 1 - p.state.Free
	if missing <= 0 || p.state.Slots <= 0 {
		return 0
	}
	return time.Duration(missing) * p.state.Hold / time.Duration(p.state.Slots)
}

// prefillBefore returns the prefill time of the prompts that are ready when a further one is.
// Those whose adapter comes later don't delay it.
func (p *schedule) prefillBefore(ready time.Duration) time.Duration {
	total := p.state.Backlog
	for _, q := range p.prompts {
		if q.ready <= ready {
			total += q.prefill
		}
	}
	return total
}

func (p *schedule) commit(r *Request, l loadPlan) {
	p.prompts = append(p.prompts, prompt{ready: l.ready, prefill: r.Prefill})
	if l.lane >= 0 {
		p.lanes[l.lane], p.ready[r.Version] = l.ready, l.ready
		p.slotsUsed++
	}
}

// minRetryAfter is the shortest time after which a refused caller returns.
const minRetryAfter = 100 * time.Millisecond

// RetryAfter returns the time after which a refused caller is asked to return: the expected
// end of the shortage and up to half of that, so that callers that are refused together
// don't return together. Draw is uniformly distributed in [0, 1).
func RetryAfter(end time.Duration, draw float64) time.Duration {
	end = max(end, minRetryAfter)
	return end + time.Duration(draw*float64(end)/2)
}
