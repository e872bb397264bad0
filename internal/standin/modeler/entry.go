package modeler

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
)

const (
	engineService = "engines"
	plainService  = "services"
	modelName     = "m"
)

// entry is one entry host.
type entry struct {
	model  *model
	domain string
	placer *placer.Placer
	// suspects are the requests under which backend servers ended.
	suspects *suspecter.Table
}

// start makes the entry anew, as after a loss of power.
func (e *entry) start(random *rand.Rand) {
	s := placer.Settings{FailureDomain: e.domain, Random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))}
	if e.model.without(MechanismDistance) {
		s.PromptDistance, s.Distance = time.Nanosecond, time.Nanosecond
	}
	e.placer = placer.NewPlacer(s)
	e.suspects = suspecter.NewTable(suspecter.Settings{})
	e.placer.SetView(e.model.view)
}

// offer places a call.
func (e *entry) offer(c *call) {
	m := e.model
	if c.over || e.quarantine(c) {
		return
	}
	err := e.placer.Choose(m.clock.now, e.wanted(c), &c.choice)
	switch {
	case err == nil:
		c.placed = true
		e.send(c)
	case m.clock.now.Sub(c.arrived) > hold:
		m.refuse(c)
	case errors.Is(err, placer.ErrBusy):
		m.clock.after(busyPause, func() { e.offer(c) })
	default:
		m.clock.after(holdPause, func() { e.offer(c) })
	}
}

func (e *entry) wanted(c *call) *placer.Call {
	if c.kind.Prompt == 0 {
		return &placer.Call{Service: plainService, Late: e.model.clock.now.Sub(c.arrived) > c.kind.Target/2}
	}
	return &placer.Call{Service: engineService, Model: modelName, Adapter: c.adapter, Version: 1, Tokens: c.prompt}
}

func (e *entry) send(c *call) {
	m := e.model
	c.sends++
	way := nearby
	if c.choice.Away {
		way = faraway
		m.count(c, func(r *KindResult) { r.Away++ })
	}
	if c.kind.Prompt == 0 {
		m.clock.after(way, func() { m.servers[c.choice.Name].take(c) })
		return
	}
	c.urgency = placer.Urgency(c.kind.Rank, c.kind.Target-m.clock.now.Sub(c.arrived)-c.choice.Read)
	if m.without(MechanismUrgency) {
		c.urgency = c.kind.Rank
	}
	m.clock.after(way, func() { m.engines[c.choice.Name].admit(c) })
}

// broke takes note that a call's connection ended without an answer: it goes elsewhere, or
// its caller comes back.
func (e *entry) broke(c *call) {
	if c.over {
		return
	}
	e.finish(c, placer.OutcomeBroken)
	switch {
	case c.began:
	case c.sends < maxSends:
		e.offer(c)
	default:
		e.model.refuse(c)
	}
}

// unreached has a call go elsewhere whose backend server takes no connections.
func (e *entry) unreached(c *call) {
	if c.over {
		return
	}
	c.sends--
	e.finish(c, placer.OutcomeUnreachable)
	e.model.clock.after(busyPause, func() { e.offer(c) })
}

// finish ends the choice of a call.
func (e *entry) finish(c *call, ending placer.Outcome) {
	if c.placed {
		c.placed = false
		e.placer.Finish(e.model.clock.now, &c.choice, ending)
	}
}
