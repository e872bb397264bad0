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
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// Settings are what a play is made of.
type Settings struct {
	Pattern Pattern
	// Without are the mechanisms that are switched off.
	Without []Mechanism
	Seed    uint64
}

// model is one play.
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
	// loaded holds the adapters loaded since all hosts started.
	loaded map[string]bool
	dark   bool
	// open are the calls in progress, by id.
	open  map[string]*call
	calls int
	// asked counts the callers' requests.
	asked int
	// control is the replicated state, at the index.
	control *storer.Store
	index   uint64
	result  Result
	// allowedAt is when as many lives had ended as may, and lives counts those begun
	// since the start.
	allowedAt time.Time
	lives     int
}

// Simulate runs one simulation of a pattern. It panics if the pattern has no calls,
// entries, failure domains or duration.
func Simulate(s Settings) (*Result, error) {
	p := s.Pattern
	if len(p.Kinds) == 0 || p.Length <= 0 || p.Entries <= 0 || p.Domains <= 0 {
		panic("modeler: a pattern without calls, entries or time")
	}
	m := &model{
		settings: s, pattern: p, start: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(s.Seed, 1)),
		engines: make(map[string]*engine), servers: make(map[string]*server), loaded: make(map[string]bool), open: make(map[string]*call), control: storer.NewStore(storer.Settings{}),
		result: Result{Kinds: make(map[string]*KindResult), windows: make(map[int]*window)},
	}
	m.clock = &clock{now: m.start}
	m.store = &store{clock: m.clock, atOnce: max(1, p.StoreConcurrency), at: m.start}
	if p.Adapters > 1 {
		m.zipf = rand.NewZipf(m.random, 1.2, 1, uint64(p.Adapters-1))
	}
	if err := m.build(); err != nil {
		return nil, err
	}
	for i := range p.Kinds {
		m.result.Kinds[p.Kinds[i].Name] = &KindResult{}
		m.arrive(&p.Kinds[i])
	}
	if p.PowerLossAt > 0 {
		m.clock.after(p.PowerLossAt, m.losePower)
	}
	if p.CrashRate > 0 {
		m.clock.after(p.CrashesAt, m.sendEnding)
	}
	if p.Leaving > 0 {
		m.clock.after(p.LeaveAt, m.leave)
	}
	m.clock.run(m.start.Add(p.Length + m.rest()))
	return &m.result, nil
}

func (m *model) without(which Mechanism) bool { return slices.Contains(m.settings.Without, which) }

func (m *model) domain(i int) string { return "d" + strconv.Itoa(i%m.pattern.Domains) }

// build makes the hosts.
func (m *model) build() error {
	p := m.pattern
	for i := range p.Engines {
		e := &engine{model: m, member: m.member(engineService, i, 64)}
		m.members = append(m.members, e.member)
		m.engines[e.member.Name] = e
	}
	places := p.Places
	if m.without(MechanismThrottling) {
		// A server that tells no places is not bound.
		places = 0
	}
	for i := range p.Servers {
		s := m.member(plainService, i, places)
		m.members = append(m.members, s)
		m.servers[s.Name] = &server{model: m, name: s.Name}
	}
	if err := m.publish(); err != nil {
		return err
	}
	for i := range p.Entries {
		e := &entry{model: m, domain: m.domain(i)}
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

// publish makes the view that entries are told.
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

// leave has servers of the plain service leave.
func (m *model) leave() {
	left := 0
	for i := range m.members {
		if m.members[i].Spec.Service == plainService && left < m.pattern.Leaving {
			m.members[i].Spec.State = storer.MemberStateLeaving
			left++
		}
	}
	m.announce()
}

// announce tells all entries of the members as they are now.
func (m *model) announce() {
	if err := m.publish(); err != nil {
		panic("modeler: " + err.Error())
	}
	for _, e := range m.entries {
		e.placer.SetView(m.view)
		e.suspects.Sync(m.view)
	}
}

// losePower ends all that is in progress, and starts all hosts anew after a time.
func (m *model) losePower() {
	m.dark = true
	m.store.clear()
	clear(m.loaded)
	for _, id := range sortedKeys(m.open) {
		m.end(m.open[id], func(r *KindResult) { r.Abandoned++ })
	}
	for _, name := range sortedKeys(m.engines) {
		m.engines[name].life++
	}
	m.clock.after(m.pattern.Outage, func() {
		m.dark = false
		for _, e := range m.entries {
			e.start(m.random)
		}
		for _, name := range sortedKeys(m.engines) {
			m.engines[name].start(m.random, modelLoad)
		}
	})
}

// rate returns the factor on the calls now.
func (m *model) rate() float64 {
	since := m.clock.now.Sub(m.start)
	if m.pattern.Burst > 0 && since >= m.pattern.BurstAt && since < m.pattern.BurstAt+m.pattern.BurstTime {
		return m.pattern.Burst
	}
	return 1
}

// arrive has the calls of a kind come, one after another.
func (m *model) arrive(k *Kind) {
	m.clock.after(time.Duration(m.random.ExpFloat64()/(k.PerSecond*m.rate())*float64(time.Second)), func() {
		if m.clock.now.Sub(m.start) < m.pattern.Length {
			m.ask(m.newCall(k))
			m.arrive(k)
		}
	})
}

func (m *model) newCall(k *Kind) *call {
	m.asked++
	c := &call{kind: k, came: m.clock.now, prompt: m.size(k.Prompt), answer: m.size(k.Answer), same: identityOf(strconv.Itoa(m.asked))}
	if m.zipf != nil && k.Prompt > 0 {
		c.adapter = "a" + strconv.FormatUint(m.zipf.Uint64(), 10)
	}
	m.count(c, func(r *KindResult) { r.Calls++ })
	if w := m.window(c); w != nil {
		w.owed++
	}
	return c
}

// size draws a size around a mean; half of the sizes are within a factor of two.
func (m *model) size(mean int) int {
	const spread = 0.9
	if mean == 0 {
		return 0
	}
	return max(1, int(float64(mean)*math.Exp(spread*m.random.NormFloat64()-spread*spread/2)))
}

// ask has a caller call an entry of its own failure domain, or wait while all are dark.
func (m *model) ask(c *call) {
	if m.dark {
		m.clock.after(holdPause, func() { m.ask(c) })
		return
	}
	m.calls++
	c.id, c.arrived, c.over = strconv.Itoa(m.calls), m.clock.now, false
	c.entry = m.entries[m.random.IntN(len(m.entries))]
	m.open[c.id] = c
	if c.kind.Prompt > 0 {
		id := c.id
		m.clock.after(patience, func() {
			if m.open[id] == c {
				m.end(c, func(r *KindResult) { r.Abandoned++ })
			}
		})
	}
	c.entry.offer(c)
}

// refuse ends a call that was not run; its caller comes back once.
func (m *model) refuse(c *call) {
	if c.over {
		return
	}
	if c.back {
		m.end(c, func(r *KindResult) { r.Refused++ })
		return
	}
	c.over, c.back = true, true
	delete(m.open, c.id)
	m.clock.after(comeBack, func() {
		m.ask(&call{kind: c.kind, came: c.came, back: true, adapter: c.adapter, prompt: c.prompt, answer: c.answer, ends: c.ends, same: c.same})
	})
}

// answered notes that a call has its first event, or its answer.
func (m *model) answered(c *call) {
	if c.over {
		return
	}
	delete(m.open, c.id)
	if m.clock.now.Sub(c.came) <= c.kind.Target {
		m.credit(c, func(r *KindResult) { r.InTime++ }, 1)
		return
	}
	m.credit(c, func(r *KindResult) { r.Late++ }, lateCredit)
}

// end ends a call that has no answer.
func (m *model) end(c *call, note func(*KindResult)) {
	c.over = true
	delete(m.open, c.id)
	m.count(c, note)
	if c.kind.Prompt == 0 || !c.placed {
		return
	}
	e := m.engines[c.choice.Name]
	c.entry.finish(c, placer.OutcomeCanceled)
	e.drop(c)
}

func (m *model) credit(c *call, note func(*KindResult), earned float64) {
	m.count(c, note)
	if w := m.window(c); w != nil {
		w.earned += earned
	}
}

// count counts a call that came after the time in which nothing is counted.
func (m *model) count(c *call, note func(*KindResult)) {
	if !c.ends && c.came.Sub(m.start) >= m.pattern.WarmUp {
		note(m.result.Kinds[c.kind.Name])
	}
}

// window returns the window of a call, or nil.
func (m *model) window(c *call) *window {
	since := c.came.Sub(m.start)
	if since < m.pattern.WarmUp {
		return nil
	}
	i := int(since / windowTime)
	if m.result.windows[i] == nil {
		m.result.windows[i] = &window{}
	}
	return m.result.windows[i]
}

// noteLoad counts a load from the store.
func (m *model) noteLoad(version string) {
	if m.loaded[version] {
		m.result.Copies++
		return
	}
	m.loaded[version] = true
	m.result.First++
}

// sortedKeys makes the order of events independent of that of maps.
func sortedKeys[V any](of map[string]V) []string { return slices.Sorted(maps.Keys(of)) }
