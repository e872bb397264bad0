package placer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// ErrNoBackend means that no backend server of the service can take the call now.
const ErrNoBackend = errors.ConstError("no backend server")

// ErrBusy means that all backend servers of the service have reached their limit of
// calls.
const ErrBusy = errors.ConstError("all backend servers are busy")

// Placer chooses backend servers. It is safe for concurrent use.
type Placer struct {
	settings Settings

	mu sync.RWMutex
	// pools maps service names to pools. The map is guarded by mu, each pool by its own
	// lock.
	pools map[string]*pool
}

// NewPlacer returns a placer without services.
func NewPlacer(s Settings) *Placer {
	if s.Random == nil {
		panic("placer: NewPlacer needs a random source")
	}
	return &Placer{settings: s.withDefaults(), pools: make(map[string]*pool)}
}

// SetView updates the services and backend servers to those of the view. Views must be set
// in order. State learned about a backend server is kept as long as its incarnation is
// unchanged.
func (p *Placer) SetView(v *tracker.View) {
	if v.Routing == nil {
		return
	}
	changed, known := v.Changed()
	p.detachOthers(v.Routing)
	for i := range v.Routing.Services {
		s := &v.Routing.Services[i]
		o := p.pool(s.Name)
		o.mu.Lock()
		if known && o.attached {
			o.update(s, v, changed, &p.settings)
		} else {
			o.reset(s, v.Members(s.Name), &p.settings)
		}
		o.configureSeparation(s.Name, v.Routing)
		o.mu.Unlock()
	}
}

// detachOthers marks the pools of services that are not configured: they miss the changes of
// members until they are configured again.
func (p *Placer) detachOthers(r *tracker.Routing) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for name, o := range p.pools {
		if r.Service(name) == nil {
			o.mu.Lock()
			o.attached = false
			o.mu.Unlock()
		}
	}
}

func (p *Placer) pool(service string) *pool {
	p.mu.RLock()
	known := p.pools[service]
	p.mu.RUnlock()
	if known != nil {
		return known
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools[service] == nil {
		p.pools[service] = newPool(rand.NewPCG(p.settings.Random.Uint64(), p.settings.Random.Uint64()))
	}
	return p.pools[service]
}

// Report applies a companion's report. It reports whether the engine's complete state
// is known; if it is not, the caller must request it from the companion.
func (p *Placer) Report(now time.Time, service string, s EngineState) bool {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.find(s.Name)
	if b == nil || s.Incarnation != "" && b.member.Spec.Incarnation != s.Incarnation {
		return false
	}
	return b.applyState(now, s)
}

// Suspect marks a backend server to be avoided until the given time if there are
// others.
func (p *Placer) Suspect(service, name string, until time.Time) {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	if b := o.find(name); b != nil && b.suspectUntil.Before(until) {
		b.suspectUntil = until
	}
}

// HasReport reports whether the state of the engine's current incarnation is known.
func (p *Placer) HasReport(service, name string) bool {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.find(name)
	return b != nil && b.reported()
}

// Choose selects the backend server for a call and counts the call there until Finish.
// It returns ErrNoBackend if none can take the call, ErrBusy if the backend servers of a
// plain service have reached their limits, ErrLimited and ErrResting.
func (p *Placer) Choose(now time.Time, c *Call, choice *Choice) error {
	o := p.pool(c.Service)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.updateSeparation(now, c.Service, &p.settings)
	best, err := o.choose(now, c, &p.settings)
	if err != nil {
		return errors.Trace(err)
	}
	fresh := best.uncached(c)
	o.record(now, c, best, choice, &p.settings)
	o.sampleRate(now, c, fresh, choice)
	return nil
}

// choose selects the backend server for a call, without counting the call there. The caller
// holds o.mu.
func (o *pool) choose(now time.Time, c *Call, s *Settings) (*backend, error) {
	busy, resting := false, false
	eligible := func(b *backend) bool {
		e := o.exclusion(now, c, b, s)
		busy, resting = busy || e == ExclusionBusy, resting || e == ExclusionResting
		return e == ExclusionNone
	}
	trusted := func(b *backend) bool { return !now.Before(b.suspectUntil) && eligible(b) }
	best, cost := o.best(now, c, s, trusted)
	if other := o.bestUnknown(c, s, best, cost, trusted); other != nil {
		best = other
	}
	if best == nil {
		// All candidates are suspect. Try one anyway, since it may have recovered.
		best, _ = o.best(now, c, s, eligible)
	}
	switch {
	case best != nil:
		return best, nil
	case o.limited(now, c, s):
		return nil, ErrLimited
	case busy:
		return nil, ErrBusy
	case resting:
		return nil, ErrResting
	}
	return nil, ErrNoBackend
}

// ChooseNamed counts a call at the named backend server until Finish. It returns
// ErrNoBackend if that server is not serving, leaves, rests or lacks the required software version.
func (p *Placer) ChooseNamed(now time.Time, c *Call, name string, choice *Choice) error {
	o := p.pool(c.Service)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planPrompts(now, c, o.survey(c, &p.settings), &p.settings)
	best := o.find(name)
	if best == nil || best.member.Spec.State != storer.MemberStateServing || !best.hasSoftware(c) || o.declines(now, best) {
		return errors.Trace(ErrNoBackend)
	}
	o.record(now, c, best, choice, &p.settings)
	return nil
}

// Second selects another engine that can take over a placed call if the first one is lost,
// and reports whether there is one. The call is not counted there. Only engines with the same
// version of the model's weights can take it over. Those that have the call's adapter are
// preferred, since they can resume it soonest.
func (p *Placer) Second(now time.Time, c *Call, first, second *Choice) bool {
	o := first.pool
	o.mu.Lock()
	defer o.mu.Unlock()
	best, _ := o.best(now, c, &p.settings, func(b *backend) bool {
		return b != first.backend && b.sharesWeights(first.backend, c.Model) && b.hasSoftware(c) && !slices.Contains(c.Avoid, b.member.Name) && !now.Before(b.suspectUntil) && b.reported() && !o.declines(now, b)
	})
	if best == nil {
		return false
	}
	*second = Choice{
		Name: best.member.Name, Address: best.member.Spec.Address, Incarnation: best.member.Spec.Incarnation, Weights: best.weights(c.Model),
	}
	return true
}

// best returns the eligible engine or server with the lowest cost among those whose state the
// entry knows; nil if there is none. The caller holds o.mu.
func (o *pool) best(now time.Time, c *Call, s *Settings, eligible func(*backend) bool) (best *backend, least time.Duration) {
	engines := o.survey(c, s)
	o.planPrompts(now, c, engines, s)
	engines.group = o.group(c, engines, s)
	var timely timelyChoice
	bestInTime := false
	for _, b := range engines.candidates {
		if b.member.Spec.State != storer.MemberStateServing || !eligible(b) {
			continue
		}
		t := o.terms(now, c, b, engines, s)
		if o.compared != nil {
			o.compared[b] = t
		}
		cost, inTime := t.Cost(), engines.group.active && c.inTime(&t)
		if inTime {
			timely.add(b, cost-t.Separation)
		}
		if best == nil || cost < least {
			best, least, bestInTime = b, cost, inTime
		}
	}
	if engines.group.active && !bestInTime && timely.backend != nil && timely.cost < least {
		o.waiveSeparation(c)
		return timely.backend, timely.cost
	}
	return best, least
}

// record counts the call at the backend server that best returned and fills in the
// choice. The caller holds o.mu.
func (o *pool) record(now time.Time, c *Call, b *backend, choice *Choice, s *Settings) {
	*choice = Choice{
		Name: b.member.Name, Address: b.member.Spec.Address, Incarnation: b.member.Spec.Incarnation, Software: b.member.Spec.SoftwareID(),
		Domain: b.member.Spec.FailureDomain, Weights: b.weights(c.Model), Away: b.member.Spec.FailureDomain != s.FailureDomain, Running: b.runningCalls(), Age: -1, backend: b, pool: o, startedAt: now,
	}
	if b.reported() {
		choice.Age = now.Sub(b.reportedAt)
	}
	known := o.knows(b, s)
	choice.Duration = o.duration(now, b, s)
	choice.NamedLimit, choice.Limit, choice.Turn = b.limits.named, b.limits.limit(), b.limits.wait(now)
	if o.engine != nil {
		choice.Backlog, choice.Load = b.backlog(now), b.adapterWait(o.lastSurvey.adapter, c.Version, s)
		if !known && o.lastSurvey.adapter != "" {
			choice.Load = s.ColdLoad
		}
		choice.pendingRead, choice.Read = o.readTimes(now, c, b, s)
		if rate, learnt := o.learntRate.Learnt(s.PrefillRate); learnt {
			choice.PrefillRate = rate
		}
		if choice.Load > 0 || c.Model != "" && !b.hasModel(c.Model) {
			b.placedWaitingRead += choice.pendingRead
		} else {
			b.placedRead += choice.pendingRead
		}
		choice.Group = o.groupChoice(b)
		choice.Prompt = o.placePrompt(now, c, b, choice.Load+choice.Backlog, s)
		for _, hash := range c.Parts {
			b.cached[hash] = struct{}{}
		}
		if name := o.lastSurvey.adapter; name != "" && choice.Load > 0 {
			b.pendingAdapters[name] = AdapterState{Name: name, Version: c.Version, Loading: true, Pins: 1}
		}
	}
	t := Terms{}
	if known {
		t = o.terms(now, c, b, &o.lastSurvey, s)
	} else {
		t = o.unknownTerms(c, b, &o.lastSurvey, s)
	}
	choice.Expected = t.Cost()
	b.ownCalls++
	b.placedCalls++
	if choice.Limit.Named {
		b.limits.place(now)
	}
}

// Finish ends a call at the chosen backend server and records its outcome.
func (p *Placer) Finish(now time.Time, choice *Choice, e Outcome) {
	o := choice.pool
	o.mu.Lock()
	defer o.mu.Unlock()
	b := choice.backend
	b.ownCalls--
	b.placedCalls = max(0, b.placedCalls-1)
	if e == OutcomeNotRun || e == OutcomeUnreachable {
		b.prompts.estimate.Withdraw(choice.Prompt.parts, choice.Prompt.prefilled)
	}
	b.recordOutcome(now, e, now.Sub(choice.startedAt), &p.settings)
	if e == OutcomeSuccess && b.loadAt.IsZero() {
		// A server that does not report its load has capacity until it rejects a call.
		b.throttle.RecordAnswer(now, choice.startedAt, 0, b.callTime, o.random)
	}
}

// TurnedAway records that a backend server of a plain service rejected the call because
// it was full.
func (p *Placer) TurnedAway(now time.Time, choice *Choice) {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	b := choice.backend
	b.throttle.TurnedAway(now, choice.startedAt, min(b.callTime, p.settings.CallTime), choice.pool.random)
}

// RecordFirstByte records that the first byte of the answer has arrived, which means
// that the prompt has been read. Repeated calls have no effect.
func (p *Placer) RecordFirstByte(now time.Time, choice *Choice) {
	o := choice.pool
	o.mu.Lock()
	defer o.mu.Unlock()
	if choice.firstByteSeen {
		return
	}
	choice.firstByteSeen = true
	o.learnRate(now, choice)
	choice.backend.placedRead = max(0, choice.backend.placedRead-choice.pendingRead)
	choice.backend.placedWaitingRead = max(0, choice.backend.placedWaitingRead-choice.pendingRead)
}

// ReportLoad records the load that a backend server reported with an answer, as the
// number of its running and waiting calls.
func (p *Placer) ReportLoad(now time.Time, choice *Choice, calls int) {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	b := choice.backend
	b.load, b.loadAt = calls, now
	b.throttle.RecordAnswer(now, choice.startedAt, calls, min(b.callTime, p.settings.CallTime), choice.pool.random)
}
