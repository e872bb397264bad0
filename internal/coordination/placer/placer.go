package placer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/throttler"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// ErrNoBackend tells that no backend server of the service can take the call now.
const ErrNoBackend = errors.ConstError("no backend server")

// ErrBusy tells that the backend servers of the service have as many calls as they are to
// have for now.
const ErrBusy = errors.ConstError("all backend servers are busy")

// Placer chooses backend servers. Several goroutines may use it.
type Placer struct {
	settings Settings

	mu sync.RWMutex
	// pools holds the services by name; guarded by mu, each pool by its own lock.
	pools map[string]*pool
}

// pool is one service.
type pool struct {
	mu sync.Mutex
	// backends are sorted by name.
	backends []*backend
	engine   *tracker.Engine
	random   *rand.Rand
	surveyed survey
}

// NewPlacer returns a placer without services.
func NewPlacer(s Settings) *Placer {
	if s.Random == nil {
		panic("placer: NewPlacer needs a random source")
	}
	return &Placer{settings: s.withDefaults(), pools: make(map[string]*pool)}
}

// SetView brings the placer in line with what is known of the deployment. A
// backend server in the same life keeps what was learnt of it.
func (p *Placer) SetView(v *tracker.View) {
	if v.Routing == nil {
		return
	}
	for i := range v.Routing.Services {
		s := &v.Routing.Services[i]
		p.pool(s.Name).set(s.Engine, v.Members(s.Name))
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
		p.pools[service] = &pool{random: rand.New(rand.NewPCG(p.settings.Random.Uint64(), p.settings.Random.Uint64()))}
	}
	return p.pools[service]
}

func (o *pool) set(engine *tracker.Engine, members []tracker.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engine = engine
	was := make(map[string]*backend, len(o.backends))
	for _, b := range o.backends {
		was[b.member.Name] = b
	}
	o.backends = o.backends[:0:0]
	for _, m := range members {
		b := was[m.Name]
		if b == nil || b.member.Spec.Incarnation != m.Spec.Incarnation {
			b = newBackend(m)
		}
		if b.member.Spec.Slots != m.Spec.Slots {
			b.throttle = throttler.NewThrottler(m.Spec.Slots)
		}
		b.member = m
		o.backends = append(o.backends, b)
	}
}

// Report takes a companion's report in. It reports whether the engine's whole state
// is known now; if not, the companion must be asked for it.
func (p *Placer) Report(now time.Time, service string, s EngineState) bool {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.named(s.Name)
	if b == nil || s.Incarnation != "" && b.member.Spec.Incarnation != s.Incarnation {
		return false
	}
	return b.report(now, s)
}

// Suspect has a backend server passed over until a time, as long as there are others.
func (p *Placer) Suspect(service, name string, until time.Time) {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	if b := o.named(name); b != nil && b.suspectUntil.Before(until) {
		b.suspectUntil = until
	}
}

// HasReport reports whether the state of an engine in its present life is known.
func (p *Placer) HasReport(service, name string) bool {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.named(name)
	return b != nil && b.reported()
}

// named returns the backend server, or nil.
func (o *pool) named(name string) *backend {
	for _, b := range o.backends {
		if b.member.Name == name {
			return b
		}
	}
	return nil
}

// Choose picks the backend server for a call and counts the call there until
// Finish. It fails with ErrNoBackend where there is none to take it, and with ErrBusy
// where those of a plain service are to get no more for now.
func (p *Placer) Choose(now time.Time, c *Call, choice *Choice) error {
	o := p.pool(c.Service)
	o.mu.Lock()
	defer o.mu.Unlock()
	busy := false
	may := func(b *backend) bool {
		if slices.Contains(c.Avoid, b.member.Name) {
			return false
		}
		open := o.engine != nil || b.open(now, c)
		busy = busy || !open
		return open
	}
	best := o.best(now, c, &p.settings, func(b *backend) bool { return !now.Before(b.suspectUntil) && may(b) })
	if best == nil {
		// All are suspect: one that may be well again is better than none.
		best = o.best(now, c, &p.settings, may)
	}
	switch {
	case best == nil && busy:
		return errors.Trace(ErrBusy)
	case best == nil:
		return errors.Trace(ErrNoBackend)
	}
	o.take(now, c, best, choice, &p.settings)
	return nil
}

// ChooseNamed counts a call at a backend server that the caller names. It fails with
// ErrNoBackend where that one does not serve.
func (p *Placer) ChooseNamed(now time.Time, c *Call, name string, choice *Choice) error {
	o := p.pool(c.Service)
	o.mu.Lock()
	defer o.mu.Unlock()
	best := o.best(now, c, &p.settings, func(b *backend) bool { return b.member.Name == name })
	if best == nil {
		return errors.Trace(ErrNoBackend)
	}
	o.take(now, c, best, choice, &p.settings)
	return nil
}

// Second picks another backend server for a call that was placed, to take it over
// if the first is lost, and reports whether there is one. Nothing is counted there.
// One that has the call's adapter goes on soonest.
func (p *Placer) Second(now time.Time, c *Call, first, second *Choice) bool {
	o := first.pool
	o.mu.Lock()
	defer o.mu.Unlock()
	best := o.best(now, c, &p.settings, func(b *backend) bool {
		return b != first.backend && !slices.Contains(c.Avoid, b.member.Name) && !now.Before(b.suspectUntil) && b.reported()
	})
	if best == nil {
		return false
	}
	*second = Choice{Name: best.member.Name, Address: best.member.Spec.Address, Incarnation: best.member.Spec.Incarnation}
	return true
}

func (o *pool) best(now time.Time, c *Call, s *Settings, may func(*backend) bool) *backend {
	var best *backend
	var least time.Duration
	seen := o.survey(c)
	for _, b := range o.backends {
		if b.member.Spec.State != storer.MemberStateServing || !may(b) {
			continue
		}
		cost := o.cost(now, c, b, seen, s)
		if best == nil || cost < least {
			best, least = b, cost
		}
	}
	return best
}

// take counts the call at the backend server that best chose, and fills in the choice.
func (o *pool) take(now time.Time, c *Call, b *backend, choice *Choice, s *Settings) {
	*choice = Choice{
		Name: b.member.Name, Address: b.member.Spec.Address, Incarnation: b.member.Spec.Incarnation,
		Domain: b.member.Spec.FailureDomain, Away: b.member.Spec.FailureDomain != s.FailureDomain, Running: b.running(), Age: -1, backend: b, pool: o, began: now,
	}
	if b.reported() {
		choice.Age = now.Sub(b.reportedAt)
	}
	if o.engine != nil {
		choice.Backlog, choice.Load = b.backlog(now), b.loading(o.surveyed.adapter, c.Version, s)
		choice.Read = b.readTime(c, s)
		choice.fresh = choice.Read
		if choice.Load > 0 || c.Model != "" && !b.holds(c.Model) {
			b.placedWaiting += choice.Read
		} else {
			b.placed += choice.Read
		}
		for _, hash := range c.Parts {
			b.cached[hash] = struct{}{}
		}
		if name := o.surveyed.adapter; name != "" && choice.Load > 0 {
			b.hoped[name] = AdapterState{Name: name, Version: c.Version, Loading: true, Pins: 1}
		}
	}
	choice.Expected = o.cost(now, c, b, &o.surveyed, s)
	b.own++
	b.placedCalls++
}

// Finish ends a call at the backend server of a choice.
func (p *Placer) Finish(now time.Time, choice *Choice, e Outcome) {
	o := choice.pool
	o.mu.Lock()
	defer o.mu.Unlock()
	b := choice.backend
	b.own--
	b.placedCalls = max(0, b.placedCalls-1)
	b.note(now, e, now.Sub(choice.began), &p.settings)
	if e == OutcomeSuccess && b.loadAt.IsZero() {
		// One that tells nothing of its load has room until it turns calls away.
		b.throttle.RecordAnswer(now, choice.began, 0, b.callTime, o.random)
	}
}

// RecordRejection takes in that a backend server of a plain service was full.
func (p *Placer) TurnedAway(now time.Time, choice *Choice) {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	b := choice.backend
	b.throttle.TurnedAway(now, choice.began, min(b.callTime, p.settings.CallTime), choice.pool.random)
}

// RecordFirstByte notes that the first byte of the answer came: the prompt has been read.
func (p *Placer) RecordFirstByte(_ time.Time, choice *Choice) {
	o := choice.pool
	o.mu.Lock()
	defer o.mu.Unlock()
	if choice.first {
		return
	}
	choice.first = true
	choice.backend.placed = max(0, choice.backend.placed-choice.fresh)
	choice.backend.placedWaiting = max(0, choice.backend.placedWaiting-choice.fresh)
}

// ReportLoad takes a backend server's own word on its load in: running and waiting
// calls.
func (p *Placer) ReportLoad(now time.Time, choice *Choice, calls int) {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	b := choice.backend
	b.load, b.loadAt = calls, now
	b.throttle.RecordAnswer(now, choice.began, calls, min(b.callTime, p.settings.CallTime), choice.pool.random)
}
