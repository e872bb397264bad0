package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldpoint.example/marigoldpoint/internal/coordination/estimator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/throttler"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// backend is an entry's knowledge of one incarnation of a backend server. It is guarded
// by its pool's lock.
type backend struct {
	member tracker.Member
	// hash is the hash of the name. index is the position among the candidates of the last
	// survey.
	hash  uint64
	index int
	// tier is 0 in the entry's own failure domain, and rank orders the backend servers of a
	// tier for this entry.
	tier int
	rank uint64
	// ownCalls is the number of this entry's calls in progress.
	ownCalls int
	// state is the companion's last report, received at reportedAt; both are zero
	// before the first report.
	state      EngineState
	reportedAt time.Time
	adapters   map[string]AdapterState
	// pendingAdapters holds the adapters being loaded for calls placed since the last
	// report.
	pendingAdapters map[string]AdapterState
	recent          map[string]struct{}
	cached          map[uint32]struct{}
	// prompts is the companion's report on the engine's cache, and plan what the engine has
	// cached of the call that is being placed.
	prompts promptReport
	plan    promptPlan
	// placedRead is the reading time, at the usual speed, of prompts placed here since the
	// last report that do not wait for an adapter or a model; placedWaitingRead is that of the
	// prompts that do.
	placedRead, placedWaitingRead time.Duration
	// backlogUntil is the time at which the reported backlog will have been read.
	backlogUntil time.Time
	// placedCalls is the number of calls placed here since the last report.
	placedCalls int
	// load is the number of running and waiting calls that the backend server itself
	// reported at loadAt.
	load   int
	loadAt time.Time
	limits limits
	// designated means that the engine is designated for long prompts, and longHarm is the certainty
	// with which a stream there is interrupted by them.
	designated bool
	longHarm   float64
	// speed is what is known of the machine's speed.
	speed estimator.Speed
	// throttle limits this entry's calls to a backend server of a plain service.
	throttle *throttler.Throttler

	// suspectUntil is the time until which the backend server is avoided, and suspicion
	// the duration of the last such period.
	suspectUntil time.Time
	suspicion    time.Duration
	// failures is the smoothed failure rate.
	failures float64
	// callTime is the smoothed duration of calls at the usual speed; 0 before the first.
	callTime time.Duration
}

func newBackend(m tracker.Member) *backend {
	return &backend{
		member: m, hash: xxhash.Sum64String(m.Name), adapters: make(map[string]AdapterState), pendingAdapters: make(map[string]AdapterState),
		recent: make(map[string]struct{}), cached: make(map[uint32]struct{}),
		throttle: throttler.NewThrottler(m.Spec.Slots),
	}
}

// forget drops the reported state.
func (b *backend) forget() {
	b.state, b.reportedAt, b.backlogUntil = EngineState{}, time.Time{}, time.Time{}
	b.placedRead, b.placedWaitingRead, b.placedCalls = 0, 0, 0
	clear(b.adapters)
	clear(b.pendingAdapters)
	clear(b.recent)
	clear(b.cached)
	b.prompts = promptReport{}
}

// accepts reports whether a backend server of a plain service may receive the call now.
// Servers that announce no slots are not limited.
func (b *backend) accepts(now time.Time, c *Call) bool {
	if b.member.Spec.Slots <= 0 {
		return true
	}
	return b.throttle.Allows(now, b.ownCalls) && (!c.Late || b.throttle.HasSpareCapacity())
}

// applyState applies a companion's report and reports whether the complete state is
// known afterwards.
func (b *backend) applyState(now time.Time, s EngineState) bool {
	if !s.Whole && b.reported() {
		s.inherit(&b.state)
	}
	if s.Life < b.state.Life || s.Life == b.state.Life && s.Sequence <= b.state.Sequence {
		return true
	}
	if s.Whole {
		// A state of the limit follows if there is one.
		b.limits.reported = regulator.Limit{}
		if s.Life != b.state.Life {
			// Another process counts the parts from now on.
			b.prompts = promptReport{}
		}
		clear(b.adapters)
		clear(b.recent)
		clear(b.cached)
	} else if !b.reported() || s.Life != b.state.Life || s.Sequence != b.state.Sequence+1 {
		// The preceding report may have been lost, for example because the engine was
		// not known yet, so the complete state is required.
		return false
	}
	b.state, b.reportedAt = s, now
	b.backlogUntil = now.Add(time.Duration(s.BacklogMillis) * time.Millisecond)
	b.placedRead, b.placedWaitingRead, b.placedCalls = 0, 0, 0
	clear(b.pendingAdapters)
	for _, name := range s.Gone {
		delete(b.adapters, name)
	}
	for _, a := range s.Adapters {
		b.adapters[a.Name] = a
	}
	addBounded(b.recent, s.Recent)
	addBounded(b.cached, s.Cached)
	return true
}

// inherit copies from the previous state the values that a delta omits.
func (s *EngineState) inherit(before *EngineState) {
	if len(s.Models) == 0 {
		s.Models = before.Models
	}
	s.Incarnation, s.Life = cmp.Or(s.Incarnation, before.Incarnation), cmp.Or(s.Life, before.Life)
	s.MaxAdapters = cmp.Or(s.MaxAdapters, before.MaxAdapters)
}

// slot returns the known state of an adapter's slot.
func (b *backend) slot(name string) (AdapterState, bool) {
	if a, ok := b.adapters[name]; ok {
		return a, true
	}
	a, ok := b.pendingAdapters[name]
	return a, ok
}

// maxRemembered bounds each set of contents believed to be in a backend server's
// memory. Such a memory holds about as much, so beyond it any item may have been
// evicted.
const maxRemembered = 256

// addBounded adds keys to held. At maxRemembered it removes an arbitrary key for each
// one added.
func addBounded[K comparable](held map[K]struct{}, more []K) {
	for _, k := range more {
		if len(held) >= maxRemembered {
			for old := range held {
				delete(held, old)
				break
			}
		}
		held[k] = struct{}{}
	}
}

func (b *backend) reported() bool { return !b.reportedAt.IsZero() }

// hasModel reports whether the backend server is believed to have loaded the model.
func (b *backend) hasModel(model string) bool {
	if b.reported() {
		return slices.Contains(b.state.Models, model)
	}
	return b.member.Spec.BaseModel == model
}

// runningCalls returns the estimated number of calls running there.
func (b *backend) runningCalls() int {
	if b.reported() {
		return max(b.state.Running+b.placedCalls, b.ownCalls)
	}
	return b.ownCalls
}

// backlog returns the time to read the prompts queued there.
func (b *backend) backlog(now time.Time) time.Duration {
	return max(0, b.backlogUntil.Sub(now)) + estimator.Scale(b.placedRead, b.speed.Factor(now))
}

// waitingRead returns the time to read the prompts that wait for their adapter or
// model.
func (b *backend) waitingRead(now time.Time) time.Duration {
	return time.Duration(b.state.WaitingMillis)*time.Millisecond + estimator.Scale(b.placedWaitingRead, b.speed.Factor(now))
}

// uncached returns the number of the call's prompt tokens that are not cached
// there.
func (b *backend) uncached(c *Call) int {
	if b.plan.call == c {
		return b.plan.uncached
	}
	uncached := c.Tokens
	for i, hash := range c.Parts {
		if _, ok := b.cached[hash]; !ok {
			break
		}
		uncached -= c.PartTokens[i]
	}
	return max(uncached, 0)
}

// Components of a call's wait for its adapter, in addition to the load itself.
const (
	// replaceWait is the wait until requests on an earlier version of the adapter have
	// ended: about half the duration of a long stream.
	replaceWait = 1200 * time.Millisecond
	// slotWait is the wait for a slot if all adapters are in use.
	slotWait = 800 * time.Millisecond
	// concurrentLoadWait is added for each adapter already being loaded there.
	concurrentLoadWait = 200 * time.Millisecond
)

// adapterWait returns the expected wait until a version of an adapter is usable; an
// empty name means no adapter.
func (b *backend) adapterWait(name string, version uint64, s *Settings) time.Duration {
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
			wait += replaceWait
		}
		return wait
	}
	idle, lanes := b.state.MaxAdapters-len(b.adapters)-len(b.pendingAdapters), len(b.pendingAdapters)
	for _, other := range b.adapters {
		if other.Loading {
			lanes++
		} else if other.Pins == 0 {
			idle++
		}
	}
	if idle <= 0 {
		wait += slotWait
	}
	return wait + time.Duration(lanes)*concurrentLoadWait
}

// recordOutcome updates the failure rate, the call duration and the suspicion from the
// outcome of a call.
func (b *backend) recordOutcome(now time.Time, e Outcome, took time.Duration, s *Settings) {
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
	took = b.atUsualSpeed(now, took)
	if b.callTime == 0 {
		b.callTime = took
		return
	}
	b.callTime += time.Duration(math.Round(float64(took-b.callTime) * weight))
}
