package modeler

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// Settings are the settings of a simulation.
type Settings struct {
	Pattern Pattern
	// Without lists the disabled mechanisms.
	Without []Mechanism
	Seed    uint64
}

// model is one simulation run.
type model struct {
	settings Settings
	pattern  Pattern
	clock    *clock
	start    time.Time
	random   *rand.Rand
	zipf     *rand.Zipf
	store    *store
	entries  []*entry
	engines  map[string]*engine
	servers  map[string]*server
	members  []tracker.Member
	view     *tracker.View
	revision uint64
	// loaded contains the adapters loaded from the store since the last start of all hosts.
	loaded     map[string]bool
	poweredOff bool
	// inProgress contains the calls without an answer, by ID.
	inProgress map[string]*call
	calls      int
	// requests is the number of callers' requests so far.
	requests int
	// control is the replicated state, and index the log index applied to it.
	control *storer.Store
	index   uint64
	result  Result
	// thresholdAt is the time at which the number of crashes reached quarantineThreshold.
	// incarnations is the number of restarts of backend servers.
	thresholdAt  time.Time
	limits       []*limited
	schedule     *regulator.Schedule
	incarnations int
}

// Simulate runs one simulation of a pattern. It panics if the pattern has no calls,
// entries, failure domains or duration.
func Simulate(s Settings) (*Result, error) {
	p := s.Pattern
	if len(p.Kinds) == 0 || p.Length <= 0 || p.Entries <= 0 || p.Domains <= 0 {
		panic("modeler: pattern without calls, duration, entries or failure domains")
	}
	m := &model{
		settings: s, pattern: p, start: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(s.Seed, 1)),
		engines: make(map[string]*engine), servers: make(map[string]*server), loaded: make(map[string]bool), inProgress: make(map[string]*call), control: storer.NewStore(storer.Settings{}), schedule: regulator.NewSchedule(),
		result: Result{Kinds: make(map[string]*KindResult), windows: make(map[int]*window)},
	}
	m.clock = &clock{now: m.start}
	m.store = &store{clock: m.clock, atOnce: max(1, p.StoreConcurrency), updatedAt: m.start}
	if p.Adapters > 1 {
		m.zipf = rand.NewZipf(m.random, 1.2, 1, uint64(p.Adapters-1))
	}
	if err := m.build(); err != nil {
		return nil, err
	}
	for i := range p.Kinds {
		m.result.Kinds[p.Kinds[i].Name] = &KindResult{}
		m.scheduleArrivals(&p.Kinds[i])
	}
	if p.PowerLossAt > 0 {
		m.clock.after(p.PowerLossAt, m.losePower)
	}
	if p.CrashRate > 0 {
		m.clock.after(p.CrashesAt, m.sendCrashRequest)
	}
	if p.Limited > 0 && m.counts() {
		m.clock.after(limitsInterval, m.distributeLimits)
	}
	if p.Leaving > 0 {
		m.clock.after(p.LeaveAt, m.leave)
	}
	m.clock.run(m.start.Add(p.Length + m.drainTime()))
	m.summarizeLimits()
	return &m.result, nil
}

func (m *model) without(which Mechanism) bool { return slices.Contains(m.settings.Without, which) }

func (m *model) domain(i int) string { return "d" + strconv.Itoa(i%m.pattern.Domains) }

// build creates all hosts.
func (m *model) build() error {
	p := m.pattern
	for i := range p.Engines {
		e := &engine{model: m, member: m.member(engineService, i, 64)}
		e.limit = m.newLimited(e.member.Name, i)
		m.members = append(m.members, e.member)
		m.engines[e.member.Name] = e
	}
	places := p.Places
	if m.without(MechanismThrottling) {
		// The number of calls at a server that declares no places is not limited.
		places = 0
	}
	for i := range p.Servers {
		s := m.member(plainService, i, places)
		m.members = append(m.members, s)
		m.servers[s.Name] = &server{model: m, name: s.Name, limit: m.newLimited(s.Name, i)}
	}
	if err := m.publish(); err != nil {
		return err
	}
	for i := range p.Entries {
		e := &entry{model: m, name: "entry-" + strconv.Itoa(i), domain: m.domain(i)}
		e.start(m.random)
		m.entries = append(m.entries, e)
	}
	for _, name := range sortedKeys(m.engines) {
		m.engines[name].start(m.random, 0)
	}
	return nil
}

func (m *model) member(service string, i, slots int) tracker.Member {
	name := fmt.Sprintf("%s-%02d", service, i)
	return tracker.Member{Name: name, Spec: storer.MemberSpec{
		Service: service, Incarnation: "i-" + name, Address: name, FailureDomain: m.domain(i),
		BaseModel: modelName, Slots: slots, State: storer.MemberStateServing,
	}}
}

// publish creates the view of the members and suspects for the entries.
func (m *model) publish() error {
	t := tracker.NewTracker(tracker.Settings{Decode: func([]byte) (*tracker.Routing, error) {
		r := &tracker.Routing{Number: 1, Services: []tracker.Service{
			{Name: engineService, Engine: &tracker.Engine{Slots: 64, MaxAdapters: m.pattern.Slots, Models: []tracker.Model{{Name: modelName}}}},
			{Name: plainService},
		}}
		err := r.Compile()
		return r, err
	}})
	resources := []storer.Resource{{Kind: storer.KindRouting, Spec: storer.RoutingSpec{Number: 1}}}
	for _, member := range m.members {
		resources = append(resources, storer.Resource{Kind: storer.KindMember, Metadata: storer.Metadata{Name: member.Name}, Spec: member.Spec})
	}
	suspects, _ := m.control.List(storer.KindSuspect, "")
	resources = append(resources, suspects...)
	m.revision++
	if err := t.Reset(resources, m.revision); err != nil {
		return err
	}
	m.view = t.View()
	return nil
}

// leave marks Pattern.Leaving servers of the plain service as leaving.
func (m *model) leave() {
	left := 0
	for i := range m.members {
		if m.members[i].Spec.Service == plainService && left < m.pattern.Leaving {
			m.members[i].Spec.State = storer.MemberStateLeaving
			left++
		}
	}
	m.distributeView()
}

// distributeView updates the view and passes it to all entries.
func (m *model) distributeView() {
	if err := m.publish(); err != nil {
		panic("modeler: " + err.Error())
	}
	for _, e := range m.entries {
		e.setView(m.view)
		e.suspects.Sync(m.view, m.view.Revision)
	}
}

// losePower ends all calls in progress and restarts all hosts after Pattern.Outage.
func (m *model) losePower() {
	m.poweredOff = true
	m.store.clear()
	clear(m.loaded)
	for _, id := range sortedKeys(m.inProgress) {
		m.abandon(m.inProgress[id], func(r *KindResult) { r.Abandoned++ })
	}
	for _, name := range sortedKeys(m.engines) {
		m.engines[name].incarnation++
	}
	m.clock.after(m.pattern.Outage, func() {
		m.poweredOff = false
		for _, e := range m.entries {
			e.start(m.random)
		}
		for _, name := range sortedKeys(m.engines) {
			m.engines[name].start(m.random, modelLoad)
		}
	})
}

// rate returns the current factor on the rates of calls.
func (m *model) rate() float64 {
	since := m.clock.now.Sub(m.start)
	if m.pattern.Burst > 0 && since >= m.pattern.BurstAt && since < m.pattern.BurstAt+m.pattern.BurstTime {
		return m.pattern.Burst
	}
	return 1
}

// scheduleArrivals schedules the calls of a kind as a Poisson process.
func (m *model) scheduleArrivals(k *Kind) {
	m.clock.after(time.Duration(m.random.ExpFloat64()/(k.PerSecond*m.rate())*float64(time.Second)), func() {
		if m.clock.now.Sub(m.start) < m.pattern.Length {
			m.sendCall(m.newCall(k))
			m.scheduleArrivals(k)
		}
	})
}

func (m *model) newCall(k *Kind) *call {
	m.requests++
	c := &call{kind: k, firstAsked: m.clock.now, prompt: m.size(k.Prompt), answer: m.size(k.Answer), identity: identityOf(strconv.Itoa(m.requests))}
	if m.zipf != nil && k.Prompt > 0 {
		c.adapter = "a" + strconv.FormatUint(m.zipf.Uint64(), 10)
	}
	m.count(c, func(r *KindResult) { r.Calls++ })
	if w := m.window(c); w != nil {
		w.calls++
	}
	return c
}

// size draws a log-normally distributed size with the mean; about half of the sizes are
// within a factor of two.
func (m *model) size(mean int) int {
	const spread = 0.9
	if mean == 0 {
		return 0
	}
	return max(1, int(float64(mean)*math.Exp(spread*m.random.NormFloat64()-spread*spread/2)))
}

// sendCall sends a call to a random entry, or waits while all hosts are without power.
func (m *model) sendCall(c *call) {
	if m.poweredOff {
		m.clock.after(placementRetryInterval, func() { m.sendCall(c) })
		return
	}
	m.calls++
	c.id, c.arrived, c.finished = strconv.Itoa(m.calls), m.clock.now, false
	c.entry = m.entries[m.random.IntN(len(m.entries))]
	m.inProgress[c.id] = c
	if c.kind.Prompt > 0 {
		id := c.id
		m.clock.after(firstEventTimeout, func() {
			if m.inProgress[id] == c {
				m.abandon(c, func(r *KindResult) { r.Abandoned++ })
			}
		})
	}
	c.entry.offer(c)
}

// refuse ends a call that was not run. Its caller retries once.
func (m *model) refuse(c *call) {
	if c.finished {
		return
	}
	if c.retried {
		m.abandon(c, func(r *KindResult) { r.Refused++ })
		return
	}
	c.finished, c.retried = true, true
	delete(m.inProgress, c.id)
	m.clock.after(callerRetryDelay, func() {
		m.sendCall(&call{kind: c.kind, firstAsked: c.firstAsked, retried: true, adapter: c.adapter, prompt: c.prompt, answer: c.answer, crashesServer: c.crashesServer, identity: c.identity})
	})
}

// answered records that a call has received its first event or its answer.
func (m *model) answered(c *call) {
	if c.finished {
		return
	}
	delete(m.inProgress, c.id)
	if m.clock.now.Sub(c.firstAsked) <= c.kind.Target {
		m.credit(c, func(r *KindResult) { r.InTime++ }, 1)
		return
	}
	m.credit(c, func(r *KindResult) { r.Late++ }, lateCredit)
}

// abandon ends a call that has no answer.
func (m *model) abandon(c *call, update func(*KindResult)) {
	c.finished = true
	delete(m.inProgress, c.id)
	m.count(c, update)
	if c.kind.Prompt == 0 || !c.placed {
		return
	}
	e := m.engines[c.choice.Name]
	c.entry.finish(c, placer.OutcomeCanceled)
	e.release(c)
}

func (m *model) credit(c *call, update func(*KindResult), earned float64) {
	m.count(c, update)
	if w := m.window(c); w != nil {
		w.earned += earned
	}
}

// count updates the result of a call's kind if the call was first made after the warm-up.
func (m *model) count(c *call, update func(*KindResult)) {
	if !c.crashesServer && c.firstAsked.Sub(m.start) >= m.pattern.WarmUp {
		update(m.result.Kinds[c.kind.Name])
	}
}

// window returns the window of a call's first attempt, or nil during the warm-up.
func (m *model) window(c *call) *window {
	since := c.firstAsked.Sub(m.start)
	if since < m.pattern.WarmUp {
		return nil
	}
	i := int(since / windowTime)
	if m.result.windows[i] == nil {
		m.result.windows[i] = &window{}
	}
	return m.result.windows[i]
}

// recordLoad counts a load from the store.
func (m *model) recordLoad(version string) {
	if m.loaded[version] {
		m.result.Copies++
		return
	}
	m.loaded[version] = true
	m.result.First++
}

// sortedKeys returns the keys in order, so that the order of events doesn't depend on that
// of maps.
func sortedKeys[V any](of map[string]V) []string { return slices.Sorted(maps.Keys(of)) }
