package modeler

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

const (
	engineService = "engines"
	plainService  = "services"
	modelName     = "m"
)

// entry simulates one entry host.
type entry struct {
	model        *model
	name, domain string
	placer       *placer.Placer
	// suspects is the table of requests that may have crashed backend servers.
	suspects *suspecter.Table
	// lastUsed holds the engines that are reported to the entry only because of its calls
	// there, with the time of the last one.
	lastUsed map[string]time.Time
	// followed holds the engines that report their state to the entry in any case.
	followed map[string]struct{}
	// shares holds the entry's own schedules without MechanismCounting, by backend server.
	shares map[string]*regulator.Schedule
}

// useRetention is the time for which an engine that is not followed is reported to an entry
// after its last call there.
const useRetention = 20 * time.Second

// use makes the chosen engine report its state to the entry if it doesn't anyway.
func (e *entry) use(c *call) {
	name := c.choice.Name
	if _, used := e.lastUsed[name]; e.placer.Use(engineService, name) || used {
		e.lastUsed[name] = e.model.clock.now
	}
}

// receives reports whether an engine reports its state to the entry.
func (e *entry) receives(engine string) bool {
	at, used := e.lastUsed[engine]
	if used && e.model.clock.now.Sub(at) > useRetention {
		delete(e.lastUsed, engine)
		e.placer.Unuse(engineService, engine)
		used = false
	}
	_, followed := e.followed[engine]
	return used || followed
}

// setView applies a view.
func (e *entry) setView(v *tracker.View) {
	e.placer.SetView(v)
	e.followed = make(map[string]struct{})
	e.placer.EachKnown(func(m tracker.Member) { e.followed[m.Name] = struct{}{} })
}

// start starts the entry without state, initially or after a power loss.
func (e *entry) start(random *rand.Rand) {
	s := placer.Settings{Node: e.name, FailureDomain: e.domain, Random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))}
	if e.model.without(MechanismDistance) {
		s.PromptDistance, s.Distance = time.Nanosecond, time.Nanosecond
	}
	if e.model.without(MechanismFollowing) {
		s.MinFollowed = math.MaxInt
	}
	e.lastUsed, e.shares = make(map[string]time.Time), make(map[string]*regulator.Schedule)
	e.placer = placer.NewPlacer(s)
	e.suspects = suspecter.NewTable(suspecter.Settings{})
	e.setView(e.model.view)
}

// offer tries to place a call on a backend server, repeatedly until placementTimeout, and
// then refuses it.
func (e *entry) offer(c *call) {
	m := e.model
	if c.finished || e.refuseQuarantined(c) {
		return
	}
	err := e.placer.Choose(m.clock.now, e.wanted(c), &c.choice)
	switch {
	case err == nil:
		c.placed = true
		e.send(c)
	case m.clock.now.Sub(c.arrived) > placementTimeout, errors.Is(err, placer.ErrLimited):
		m.refuse(c)
	case errors.Is(err, placer.ErrBusy):
		m.clock.after(busyRetryInterval, func() { e.offer(c) })
	default:
		m.clock.after(placementRetryInterval, func() { e.offer(c) })
	}
}

func (e *entry) wanted(c *call) *placer.Call {
	if c.kind.Prompt == 0 {
		return &placer.Call{Service: plainService, Slack: c.untilTarget(), MaxWait: regulator.MaxReservedWait, AvoidLimited: c.limitRefusals >= maxLimitRefusals, Late: e.model.clock.now.Sub(c.arrived) > c.kind.Target/2}
	}
	return &placer.Call{Service: engineService, Model: modelName, Adapter: c.adapter, Version: 1, Tokens: c.prompt, Slack: c.untilTarget(), MaxWait: firstEventTimeout * 4 / 5, AvoidLimited: c.limitRefusals >= maxLimitRefusals}
}

func (e *entry) send(c *call) {
	m := e.model
	c.sends++
	delay := localDelay
	if c.choice.Away {
		delay = remoteDelay
		m.count(c, func(r *KindResult) { r.Away++ })
	}
	if c.kind.Prompt == 0 {
		s := m.servers[c.choice.Name]
		e.awaitTurn(c, s.limit, func() {
			c.sentAt = m.clock.now
			m.clock.after(delay, func() { s.accept(c) })
		})
		return
	}
	e.use(c)
	c.urgency = placer.Urgency(c.kind.Rank, c.kind.Target-m.clock.now.Sub(c.arrived)-c.choice.Read)
	if m.without(MechanismUrgency) {
		c.urgency = c.kind.Rank
	}
	target := m.engines[c.choice.Name]
	admit := func() { m.clock.after(delay, func() { target.admit(c) }) }
	if m.without(MechanismCounting) {
		e.awaitTurn(c, target.limit, admit)
		return
	}
	admit()
}

// connectionBroken handles the end of a call's connection without an answer. A call
// without a first event is sent to another backend server, or refused after maxSends.
func (e *entry) connectionBroken(c *call) {
	if c.finished {
		return
	}
	e.finish(c, placer.OutcomeBroken)
	switch {
	case c.started:
	case c.sends < maxSends:
		e.offer(c)
	default:
		e.model.refuse(c)
	}
}

// unreachable places a call again whose backend server accepted no connection. The failed
// send is not counted.
func (e *entry) unreachable(c *call) {
	if c.finished {
		return
	}
	c.sends--
	e.finish(c, placer.OutcomeUnreachable)
	e.model.clock.after(busyRetryInterval, func() { e.offer(c) })
}

// finish reports the outcome of a call's placement to the placer, once.
func (e *entry) finish(c *call, ending placer.Outcome) {
	if c.placed {
		c.placed = false
		e.placer.Finish(e.model.clock.now, &c.choice, ending)
	}
}
