package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldpoint.example/marigoldpoint/internal/coordination/throttler"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// backend is what an entry knows of one backend server in one life. It is guarded
// by its pool's lock.
type backend struct {
	member tracker.Member
	// hash is that of the name, and index the place among the pool's backends at the
	// last survey.
	hash  uint64
	index int
	// own counts this entry's calls in progress.
	own int
	// state is the companion's last report, of reportedAt; zero where none came.
	state      EngineState
	reportedAt time.Time
	adapters   map[string]AdapterState
	// hoped holds the adapters that calls placed since the report have loaded.
	hoped  map[string]AdapterState
	recent map[string]struct{}
	cached map[uint32]struct{}
	// placed is the reading time of prompts placed here since the report, and
	// placedWaiting the part of it that waits for an adapter or the model.
	placed, placedWaiting time.Duration
	// readUntil is the report's backlog as a time.
	readUntil time.Time
	// placedCalls counts the calls placed here since the report.
	placedCalls int
	// load is what the backend server said of its own load, at loadAt: running
	// and waiting calls.
	load   int
	loadAt time.Time
	// throttle bounds this entry's calls at a backend server of a plain service.
	throttle *throttler.Throttler

	// suspectUntil is until when it is passed over, and suspicion for how long
	// the next time.
	suspectUntil time.Time
	suspicion    time.Duration
	// failures is the share of calls that went wrong lately.
	failures float64
	// callTime is the mean time of calls; 0 before the first.
	callTime time.Duration
}

func newBackend(m tracker.Member) *backend {
	return &backend{
		member: m, hash: xxhash.Sum64String(m.Name), adapters: make(map[string]AdapterState), hoped: make(map[string]AdapterState),
		recent: make(map[string]struct{}), cached: make(map[uint32]struct{}),
		throttle: throttler.NewThrottler(m.Spec.Slots),
	}
}

// open reports whether a backend server of a plain service is to get the call now. One
// that tells no places is not bound.
func (b *backend) open(now time.Time, c *Call) bool {
	if b.member.Spec.Slots <= 0 {
		return true
	}
	return b.throttle.Allows(now, b.own) && (!c.Late || b.throttle.HasSpareCapacity())
}

// report takes a companion's state in, and reports whether the whole is known now.
func (b *backend) report(now time.Time, s EngineState) bool {
	if !s.Whole && b.reported() {
		s.keep(&b.state)
	}
	if s.Life < b.state.Life || s.Life == b.state.Life && s.Sequence <= b.state.Sequence {
		return true
	}
	if s.Whole {
		clear(b.adapters)
		clear(b.recent)
		clear(b.cached)
	} else if !b.reported() || s.Life != b.state.Life || s.Sequence != b.state.Sequence+1 {
		// One that came to nobody, such as the first of an engine that was not known
		// yet, would be missed for good.
		return false
	}
	b.state, b.reportedAt = s, now
	b.readUntil = now.Add(time.Duration(s.BacklogMillis) * time.Millisecond)
	b.placed, b.placedWaiting, b.placedCalls = 0, 0, 0
	clear(b.hoped)
	for _, name := range s.Gone {
		delete(b.adapters, name)
	}
	for _, a := range s.Adapters {
		b.adapters[a.Name] = a
	}
	remember(b.recent, s.Recent)
	remember(b.cached, s.Cached)
	return true
}

// keep takes over from the state before what was not told again.
func (s *EngineState) keep(before *EngineState) {
	if len(s.Models) == 0 {
		s.Models = before.Models
	}
	s.Incarnation, s.Life = cmp.Or(s.Incarnation, before.Incarnation), cmp.Or(s.Life, before.Life)
	s.MaxAdapters = cmp.Or(s.MaxAdapters, before.MaxAdapters)
	s.Entries = cmp.Or(s.Entries, before.Entries)
}

// slot returns what is known of an adapter's slot.
func (b *backend) slot(name string) (AdapterState, bool) {
	if a, ok := b.adapters[name]; ok {
		return a, true
	}
	a, ok := b.hoped[name]
	return a, ok
}

// rememberLimit bounds what is remembered of a backend server's memory. It is about
// what such memory holds; beyond it anything may be gone.
const rememberLimit = 256

// remember adds to what a backend server is believed to hold.
func remember[K comparable](held map[K]struct{}, more []K) {
	for _, k := range more {
		if len(held) >= rememberLimit {
			for old := range held {
				delete(held, old)
				break
			}
		}
		held[k] = struct{}{}
	}
}

func (b *backend) reported() bool { return !b.reportedAt.IsZero() }

// holds reports whether the backend server is believed to hold a model.
func (b *backend) holds(model string) bool {
	if b.reported() {
		return slices.Contains(b.state.Models, model)
	}
	return b.member.Spec.BaseModel == model
}

// running returns the number of calls believed to run there.
func (b *backend) running() int {
	if b.reported() {
		return max(b.state.Running+b.placedCalls, b.own)
	}
	return b.own
}

// backlog returns the reading time of the prompts that wait there.
func (b *backend) backlog(now time.Time) time.Duration {
	return max(0, b.readUntil.Sub(now)) + b.placed
}

// waiting returns the reading time of the prompts that wait there for their adapter or
// the model.
func (b *backend) waiting() time.Duration {
	return time.Duration(b.state.WaitingMillis)*time.Millisecond + b.placedWaiting
}

// fresh returns the number of the call's tokens that are not cached there.
func (b *backend) fresh(c *Call) int {
	fresh := c.Tokens
	for i, hash := range c.Parts {
		if _, ok := b.cached[hash]; !ok {
			break
		}
		fresh -= c.PartTokens[i]
	}
	return max(fresh, 0)
}

// Shares of the time that a call waits for its adapter beside the load itself.
const (
	// displaceTime is the wait for the requests on an earlier version of the
	// adapter to end: about half of a long stream.
	displaceTime = 1200 * time.Millisecond
	// crowdedTime is the wait for a slot where all adapters are in use.
	crowdedTime = 800 * time.Millisecond
	// laneTime is added for each adapter that loads there already.
	laneTime = 200 * time.Millisecond
)

// loading returns the expected wait for a version of an adapter; an empty name is none.
func (b *backend) loading(name string, version uint64, s *Settings) time.Duration {
	if name == "" || !b.reported() {
		return 0
	}
	a, held := b.slot(name)
	switch {
	case held && a.Version >= version && !a.Loading:
		return 0
	case held && a.Version >= version:
		return s.ColdLoad / 2
	}
	wait := s.ColdLoad
	if _, warm := b.recent[name]; warm {
		wait = s.WarmLoad
	}
	if held {
		wait = s.ColdLoad
		if a.Pins > 0 {
			wait += displaceTime
		}
		return wait
	}
	idle, lanes := b.state.MaxAdapters-len(b.adapters)-len(b.hoped), len(b.hoped)
	for _, other := range b.adapters {
		if other.Loading {
			lanes++
		} else if other.Pins == 0 {
			idle++
		}
	}
	if idle <= 0 {
		wait += crowdedTime
	}
	return wait + time.Duration(lanes)*laneTime
}

// note takes an ending in.
func (b *backend) note(now time.Time, e Outcome, took time.Duration, s *Settings) {
	const weight = 0.15
	bad := 0.0
	switch e {
	case OutcomeSuccess:
		b.suspicion, b.suspectUntil = 0, time.Time{}
	case OutcomeUnreachable:
		b.suspicion = min(max(2*b.suspicion, s.Suspicion), s.SuspicionMax)
		b.suspectUntil = now.Add(b.suspicion)
		return
	case OutcomeServerError, OutcomeBroken:
		bad = 1
	case OutcomeNotRun, OutcomeCanceled:
		return
	}
	b.failures += (bad - b.failures) * weight
	if e != OutcomeSuccess {
		return
	}
	if b.callTime == 0 {
		b.callTime = took
		return
	}
	b.callTime += time.Duration(math.Round(float64(took-b.callTime) * weight))
}
