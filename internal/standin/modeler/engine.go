package modeler

import (
	"math/rand/v2"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/pacer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

const (
	// warmLoad is the time of a load out of an engine's own memory.
	warmLoad = 25 * time.Millisecond
	// unloadTime is the time until a slot is known to be free.
	unloadTime = 3 * time.Millisecond
	// modelLoad is the time until an engine that lost power has its model from disk.
	modelLoad = 500 * time.Millisecond
	// tokenTime is the time of one token of a stream at a busy engine.
	tokenTime = 10 * time.Millisecond
	// readRate is the number of prompt tokens that an engine reads in a second.
	readRate = 38_700
	// tellInterval is the time between two states, and tickInterval between two looks.
	tellInterval = 80 * time.Millisecond
	tickInterval = 250 * time.Millisecond
	// recentLimit is the number of adapters told that left their slots lately.
	recentLimit = 40
	widest      = 4
	narrowest   = 2
)

// engine is one engine with its companion.
type engine struct {
	model  *model
	member tracker.Member
	// life rises with each start: what was begun in an earlier one is void.
	life   uint64
	table  *loader.Table
	pacer  *pacer.Pacer
	ready  bool
	guests map[string]*call
	// blocked wait for the model.
	blocked []*call
	// memory holds the adapters that load fast.
	memory map[string]bool
	recent []string
	// reading is the queue of prompts, the first under way.
	reading   []*call
	busy      bool
	readUntil time.Time
	sequence  uint64
	// down tells that the engine has ended.
	down bool
}

// start makes the engine anew, empty; its model is there after a time.
func (e *engine) start(random *rand.Rand, after time.Duration) {
	m := e.model
	e.life++
	most := widest
	if m.without(MechanismWidth) {
		most = narrowest
	}
	e.table = loader.NewTable(loader.Settings{
		Slots: m.pattern.Slots, HalfLife: 8 * time.Second, SlotWaitTimeout: 1500 * time.Millisecond,
		AssumedLoadTime: pacer.DefaultLoad, MaxPermits: most,
	}, e.life, rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))
	e.pacer = pacer.NewPacer(pacer.Settings{MaxLoads: float64(most), Random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))})
	e.setPermits()
	e.guests, e.blocked, e.memory = make(map[string]*call), nil, make(map[string]bool)
	e.recent, e.reading, e.busy, e.ready, e.sequence = nil, nil, false, false, 0
	e.readUntil = m.clock.now
	e.later(after, func() {
		e.ready = true
		for _, c := range e.blocked {
			e.want(c)
		}
		e.blocked = nil
	})
	near, far := e.audiences()
	e.tell(near, true)
	e.tell(far, false)
	e.later(tickInterval, e.tick)
}

// later sets an event of this life.
func (e *engine) later(d time.Duration, do func()) {
	life := e.life
	e.model.clock.after(d, func() {
		if life == e.life {
			do()
		}
	})
}

func (e *engine) setPermits() {
	if !e.model.without(MechanismPacing) {
		e.table.SetPermits(e.pacer.Limit(e.model.clock.now))
	}
}

// admit takes a call in.
func (e *engine) admit(c *call) {
	m := e.model
	if c.over {
		return
	}
	if e.down {
		m.clock.after(nearby, func() { c.entry.unreached(c) })
		return
	}
	m.reaches(c)
	if e.sendBack(c) {
		return
	}
	e.guests[c.id] = c
	if !e.ready {
		e.blocked = append(e.blocked, c)
		return
	}
	e.want(c)
}

// sendBack has a call go elsewhere whose entry was misled by what it knew, once.
func (e *engine) sendBack(c *call) bool {
	m := e.model
	if c.sentBack || !e.ready || m.without(MechanismSendingBack) {
		return false
	}
	s := e.state()
	wait, misled := placer.CheckExpectedWait(&s, modelName+"/"+c.adapter, 1, c.choice.Load+c.choice.Backlog)
	if !misled {
		return false
	}
	c.sentBack = true
	m.result.SentBack++
	m.clock.after(faraway, func() {
		c.entry.placer.CorrectWait(m.clock.now, &c.choice, wait)
		c.entry.finish(c, placer.OutcomeNotRun)
		c.entry.offer(c)
	})
	return true
}

func (e *engine) want(c *call) {
	if c.over {
		return
	}
	w := loader.Want{Request: c.id, Workspace: modelName, Version: c.adapter, Source: c.adapter}
	if !e.model.without(MechanismSlack) {
		w.Due = c.arrived.Add(c.kind.Target)
	}
	e.apply(e.table.Want(e.model.clock.now, w))
	e.settle()
}

// apply carries out the slot table's actions.
func (e *engine) apply(actions []loader.Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch t := action.(type) {
		case loader.PermitAction:
			actions = append(actions, e.table.Permitted(e.model.clock.now, t.Version)...)
		case loader.LoadAction:
			e.load(t)
		case loader.UnloadAction:
			e.evicted(t.Version)
			e.later(unloadTime, func() {
				e.apply(e.table.Unloaded(e.model.clock.now, t.Version, t.Fence, loader.OutcomeDone))
				e.settle()
			})
		default:
			// The others tell what settle finds, or can't happen here.
		}
	}
}

func (e *engine) evicted(version string) {
	e.recent = append(slices.DeleteFunc(e.recent, func(r string) bool { return r == version }), version)
	e.recent = e.recent[max(0, len(e.recent)-recentLimit):]
}

func (e *engine) load(l loader.LoadAction) {
	m := e.model
	began := m.clock.now
	done := func() {
		e.memory[l.Version] = true
		e.pacer.Loaded(m.clock.now, began)
		e.setPermits()
		if pause := e.pacer.Pause(m.clock.now); pause > 0 {
			e.later(pause, func() {
				e.setPermits()
				e.apply(e.table.Tick(m.clock.now))
			})
		}
		e.apply(e.table.Loaded(m.clock.now, l.Version, l.Fence, loader.OutcomeDone, ""))
		e.settle()
	}
	if e.memory[l.Version] {
		m.result.Warm++
		e.later(warmLoad, done)
		return
	}
	m.noteLoad(l.Version)
	life := e.life
	m.store.begin(m.pattern.Load, func() {
		if life == e.life {
			done()
		}
	})
}

// settle lets the calls go on whose adapter is there.
func (e *engine) settle() {
	for _, id := range sortedKeys(e.guests) {
		if e.table.Pin(id) {
			e.read(e.guests[id])
		}
	}
}

// read queues a call's prompt.
func (e *engine) read(c *call) {
	e.readUntil = later(e.readUntil, e.model.clock.now).Add(placer.ReadTime(c.prompt, c.prompt, readRate))
	e.reading = append(e.reading, c)
	e.readNext()
}

// readNext reads the most urgent prompt.
func (e *engine) readNext() {
	if e.busy || len(e.reading) == 0 {
		return
	}
	next := 0
	for i, c := range e.reading {
		if c.urgency < e.reading[next].urgency {
			next = i
		}
	}
	c := e.reading[next]
	e.reading = slices.Delete(e.reading, next, next+1)
	if c.over {
		e.readNext()
		return
	}
	e.busy = true
	e.later(placer.ReadTime(c.prompt, c.prompt, readRate), func() {
		e.busy = false
		e.begin(c)
		e.readNext()
	})
}

// begin begins the stream of a call.
func (e *engine) begin(c *call) {
	if c.over {
		return
	}
	if c.ends {
		e.end()
		return
	}
	c.began = true
	e.model.answered(c)
	c.entry.placer.RecordFirstByte(e.model.clock.now, &c.choice)
	e.later(time.Duration(c.answer)*tokenTime, func() {
		c.entry.survived(c)
		c.entry.finish(c, placer.OutcomeSuccess)
		e.drop(c)
	})
}

// end ends the engine, and all that it has; it starts anew after a time.
func (e *engine) end() {
	m := e.model
	e.life++
	e.down = true
	var guests []*call
	for _, id := range sortedKeys(e.guests) {
		guests = append(guests, e.guests[id])
	}
	clear(e.guests)
	e.reading, e.blocked = nil, nil
	m.ended(e.member.Name, guests, func() {
		e.down = false
		e.member.Spec.Incarnation = m.memberOf(e.member.Name).Spec.Incarnation
		e.start(m.random, modelLoad)
	})
}

// drop forgets a call.
func (e *engine) drop(c *call) {
	if e.guests[c.id] == nil {
		return
	}
	delete(e.guests, c.id)
	e.blocked = slices.DeleteFunc(e.blocked, func(b *call) bool { return b == c })
	e.apply(e.table.Release(e.model.clock.now, c.id))
	e.settle()
}

func (e *engine) tick() {
	e.apply(e.table.Tick(e.model.clock.now))
	e.settle()
	e.later(tickInterval, e.tick)
}

// audiences returns the entries of the engine's failure domain, and the others.
func (e *engine) audiences() (near, far []*entry) {
	for _, entry := range e.model.entries {
		if entry.domain == e.member.Spec.FailureDomain {
			near = append(near, entry)
			continue
		}
		far = append(far, entry)
	}
	return near, far
}

// tell tells some entries of the engine's state, again and again.
func (e *engine) tell(entries []*entry, near bool) {
	interval := tellInterval
	if !e.model.without(MechanismSparing) {
		interval = placer.ReportInterval(tellInterval, len(entries), near)
	}
	e.later(interval, func() {
		e.tellOnce(entries)
		e.tell(entries, near)
	})
}

func (e *engine) tellOnce(entries []*entry) {
	if e.model.without(MechanismStates) {
		return
	}
	s := e.state()
	e.later(nearby, func() {
		for _, entry := range entries {
			entry.placer.Report(e.model.clock.now, engineService, s)
		}
	})
}

// state returns the engine's state as it is told.
func (e *engine) state() placer.EngineState {
	e.sequence++
	s := placer.EngineState{
		Name: e.member.Name, Incarnation: e.member.Spec.Incarnation, Life: e.life, Sequence: e.sequence, Whole: true,
		Running: len(e.guests), BacklogMillis: int(max(0, e.readUntil.Sub(e.model.clock.now)).Milliseconds()),
		MaxAdapters: e.table.Slots(), Recent: slices.Clone(e.recent),
	}
	if e.ready {
		s.Models = []string{modelName}
	}
	for _, r := range e.table.Residencies(nil) {
		s.Adapters = append(s.Adapters, placer.AdapterState{
			Name: modelName + "/" + r.Version, Version: 1, Loading: r.Phase != loader.PhaseResident, Pins: r.Pins + r.Waiters,
		})
	}
	return s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
