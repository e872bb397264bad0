package modeler

import (
	"math/rand/v2"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/pacer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

const (
	// warmLoad is the duration of a load from the engine's own memory.
	warmLoad = 25 * time.Millisecond
	// unloadTime is the duration of an unload, including its confirmation.
	unloadTime = 3 * time.Millisecond
	// modelLoad is the time that a restarted engine takes to load its model from disk.
	modelLoad = 500 * time.Millisecond
	// tokenTime is the time per generated token of a stream at a busy engine.
	tokenTime = 10 * time.Millisecond
	// prefillRate is the number of prompt tokens that an engine processes per second.
	prefillRate = 38_700
	// reportInterval is the interval of state reports, and tickInterval that of the slot
	// table's ticks.
	reportInterval = 80 * time.Millisecond
	tickInterval   = 250 * time.Millisecond
	// recentLimit is the maximum number of recently evicted adapters in a state report.
	recentLimit = 40
	// wideLoads and narrowLoads are the maximum numbers of concurrent loads of an engine with
	// and without MechanismWidth.
	wideLoads   = 4
	narrowLoads = 2
)

// engine simulates one engine with its companion.
type engine struct {
	model  *model
	member tracker.Member
	// incarnation rises with each start. Events of earlier incarnations are ignored.
	incarnation uint64
	table       *loader.Table
	pacer       *pacer.Pacer
	ready       bool
	admitted    map[string]*call
	// blocked are the admitted calls that wait for the model to be loaded.
	blocked []*call
	// memory contains the adapters that were loaded in this incarnation and load fast.
	memory map[string]bool
	recent []string
	// prefillQueue contains the calls whose prompts wait for prefill. busy is set during a
	// prefill, and prefillUntil is the time at which all prompts will be processed.
	prefillQueue []*call
	busy         bool
	prefillUntil time.Time
	sequence     uint64
	// down is set between a crash and the next start.
	down bool
	// limit is the engine's limit of requests. turnScheduled is set while an event waits for
	// the next call's turn under it.
	limit         *limited
	turnScheduled bool
}

// start starts a new, empty incarnation whose model is loaded after the given time.
func (e *engine) start(random *rand.Rand, after time.Duration) {
	m := e.model
	e.incarnation++
	most := wideLoads
	if m.without(MechanismWidth) {
		most = narrowLoads
	}
	e.table = loader.NewTable(loader.Settings{
		Slots: m.pattern.Slots, HalfLife: 8 * time.Second, SlotWaitTimeout: 1500 * time.Millisecond,
		AssumedLoadTime: pacer.DefaultLoad, MaxPermits: most,
	}, e.incarnation, rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))
	e.pacer = pacer.NewPacer(pacer.Settings{MaxLoads: float64(most), Random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))})
	e.setPermits()
	e.admitted, e.blocked, e.memory = make(map[string]*call), nil, make(map[string]bool)
	e.recent, e.prefillQueue, e.busy, e.ready, e.sequence = nil, nil, false, false, 0
	e.prefillUntil = m.clock.now
	e.limit.regulator, e.turnScheduled = regulator.Regulator{}, false
	e.schedule(after, func() {
		e.ready = true
		for _, c := range e.blocked {
			e.want(c)
		}
		e.blocked = nil
	})
	near, far := e.subscriberGroups()
	e.reportPeriodically(near, true)
	e.reportPeriodically(far, false)
	e.schedule(tickInterval, e.tick)
}

// schedule schedules an event that is dropped if the incarnation has ended by then.
func (e *engine) schedule(d time.Duration, do func()) {
	incarnation := e.incarnation
	e.model.clock.after(d, func() {
		if incarnation == e.incarnation {
			do()
		}
	})
}

func (e *engine) setPermits() {
	if !e.model.without(MechanismPacing) {
		e.table.SetPermits(e.pacer.Limit(e.model.clock.now))
	}
}

// admit accepts a call. If the engine is down, the entry is notified that it is
// unreachable.
func (e *engine) admit(c *call) {
	m := e.model
	if c.finished {
		return
	}
	if e.down {
		m.clock.after(localDelay, func() { c.entry.unreachable(c) })
		return
	}
	m.countRepeated(c)
	if e.redirect(c) {
		return
	}
	e.admitted[c.id] = c
	if !e.ready {
		e.blocked = append(e.blocked, c)
		return
	}
	e.want(c)
}

// redirect sends a call back to its entry, at most once, if the entry placed it by an
// outdated state. It reports whether it did.
func (e *engine) redirect(c *call) bool {
	m := e.model
	if c.redirected || !e.ready || m.without(MechanismSendingBack) {
		return false
	}
	s := e.state()
	wait, misled := placer.CheckExpectedWait(&s, modelName+"/"+c.adapter, 1, e.turn(c), c.choice.Load+c.choice.Backlog+c.choice.Turn)
	if !misled {
		return false
	}
	c.redirected = true
	m.result.SentBack++
	m.clock.after(remoteDelay, func() {
		c.entry.placer.CorrectWait(m.clock.now, &c.choice, wait)
		c.entry.finish(c, placer.OutcomeNotRun)
		c.entry.offer(c)
	})
	return true
}

func (e *engine) want(c *call) {
	if c.finished {
		return
	}
	w := loader.Want{Request: c.id, Workspace: modelName, Version: c.adapter, Source: c.adapter}
	if !e.model.without(MechanismSlack) {
		w.Due = c.arrived.Add(c.kind.Target)
	}
	e.apply(e.table.Want(e.model.clock.now, w))
	e.startReady()
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
			e.schedule(unloadTime, func() {
				e.apply(e.table.Unloaded(e.model.clock.now, t.Version, t.Fence, loader.OutcomeDone))
				e.startReady()
			})
		default:
			// Other actions report what startReady checks, or can't occur here.
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
	finish := func() {
		e.memory[l.Version] = true
		e.pacer.Loaded(m.clock.now, began)
		e.setPermits()
		if pause := e.pacer.Pause(m.clock.now); pause > 0 {
			e.schedule(pause, func() {
				e.setPermits()
				e.apply(e.table.Tick(m.clock.now))
			})
		}
		e.apply(e.table.Loaded(m.clock.now, l.Version, l.Fence, loader.OutcomeDone, ""))
		e.startReady()
	}
	if e.memory[l.Version] {
		m.result.Warm++
		e.schedule(warmLoad, finish)
		return
	}
	m.recordLoad(l.Version)
	incarnation := e.incarnation
	m.store.begin(m.pattern.Load, func() {
		if incarnation == e.incarnation {
			finish()
		}
	})
}

// startReady queues the prefill of the calls whose adapter is resident.
func (e *engine) startReady() {
	if e.model.counts() && e.limit.regulator.Limit().Named {
		e.startInTurn()
		return
	}
	for _, id := range sortedKeys(e.admitted) {
		if e.table.Pin(id) {
			e.queuePrefill(e.admitted[id])
		}
	}
}

// queuePrefill queues a call's prompt: the call has been sent to the engine.
func (e *engine) queuePrefill(c *call) {
	c.sentAt = e.model.clock.now
	e.limit.arrived(c)
	e.prefillUntil = laterTime(e.prefillUntil, e.model.clock.now).Add(placer.ReadTime(c.prompt, c.prompt, prefillRate))
	e.prefillQueue = append(e.prefillQueue, c)
	e.prefillNext()
}

// prefillNext starts the prefill of the most urgent prompt unless one is in progress.
func (e *engine) prefillNext() {
	if e.busy || len(e.prefillQueue) == 0 {
		return
	}
	next := 0
	for i, c := range e.prefillQueue {
		if c.urgency < e.prefillQueue[next].urgency {
			next = i
		}
	}
	c := e.prefillQueue[next]
	e.prefillQueue = slices.Delete(e.prefillQueue, next, next+1)
	if c.finished {
		e.prefillNext()
		return
	}
	e.busy = true
	e.schedule(placer.ReadTime(c.prompt, c.prompt, prefillRate), func() {
		e.busy = false
		e.startStream(c)
		e.prefillNext()
	})
}

// startStream starts the stream of a call after its prefill.
func (e *engine) startStream(c *call) {
	if c.finished {
		return
	}
	if c.crashesServer {
		e.crash()
		return
	}
	c.started = true
	e.model.answered(c)
	e.limit.answer(c)
	c.entry.placer.RecordFirstByte(e.model.clock.now, &c.choice)
	e.schedule(time.Duration(c.answer)*tokenTime, func() {
		c.entry.recordSuccess(c)
		c.entry.finish(c, placer.OutcomeSuccess)
		e.release(c)
	})
}

// crash ends the incarnation and all its calls. The engine restarts after
// Pattern.Restart.
func (e *engine) crash() {
	m := e.model
	e.incarnation++
	e.down = true
	var admitted []*call
	for _, id := range sortedKeys(e.admitted) {
		admitted = append(admitted, e.admitted[id])
	}
	clear(e.admitted)
	e.prefillQueue, e.blocked = nil, nil
	m.serverCrashed(e.member.Name, admitted, func() {
		e.down = false
		e.member.Spec.Incarnation = m.memberOf(e.member.Name).Spec.Incarnation
		e.start(m.random, modelLoad)
	})
}

// release removes a call and releases its adapter.
func (e *engine) release(c *call) {
	if e.admitted[c.id] == nil {
		return
	}
	delete(e.admitted, c.id)
	e.blocked = slices.DeleteFunc(e.blocked, func(b *call) bool { return b == c })
	e.apply(e.table.Release(e.model.clock.now, c.id))
	e.startReady()
}

func (e *engine) tick() {
	e.apply(e.table.Tick(e.model.clock.now))
	e.startReady()
	e.schedule(tickInterval, e.tick)
}

// subscriberGroups returns the entries of the engine's failure domain and all others.
func (e *engine) subscriberGroups() (near, far []*entry) {
	for _, entry := range e.model.entries {
		if entry.domain == e.member.Spec.FailureDomain {
			near = append(near, entry)
			continue
		}
		far = append(far, entry)
	}
	return near, far
}

// reportPeriodically reports the engine's state to the entries at regular intervals.
func (e *engine) reportPeriodically(entries []*entry, near bool) {
	interval := reportInterval
	if !e.model.without(MechanismSparing) {
		interval = placer.ReportInterval(reportInterval, len(entries), near)
	}
	e.schedule(interval, func() {
		e.report(entries)
		e.reportPeriodically(entries, near)
	})
}

func (e *engine) report(entries []*entry) {
	if e.model.without(MechanismStates) {
		return
	}
	s, limit := e.state(), e.limit.state(e.member.Spec.Incarnation, len(e.waiters()))
	e.schedule(localDelay, func() {
		for _, entry := range entries {
			if !entry.receives(s.Name) {
				continue
			}
			e.model.result.Reports++
			entry.placer.Report(e.model.clock.now, engineService, s)
			if e.model.counts() {
				entry.placer.ReportLimit(e.model.clock.now, engineService, limit)
			}
		}
	})
}

// state returns the engine's state for a report.
func (e *engine) state() placer.EngineState {
	e.sequence++
	s := placer.EngineState{
		Name: e.member.Name, Incarnation: e.member.Spec.Incarnation, Life: e.incarnation, Sequence: e.sequence, Whole: true,
		Running: len(e.admitted), BacklogMillis: int(max(0, e.prefillUntil.Sub(e.model.clock.now)).Milliseconds()),
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

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
