package modeler

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
)

// waiters returns the calls that wait for their adapter or their turn, in the order of
// their turns.
func (e *engine) waiters() []regulator.Waiter {
	var all []regulator.Waiter
	for _, id := range sortedKeys(e.admitted) {
		if c := e.admitted[id]; c.sentAt.IsZero() && !c.finished {
			all = append(all, regulator.Waiter{ID: id, Urgency: c.urgency, Due: c.arrived.Add(c.kind.Target), Deadline: c.arrived.Add(firstEventTimeout)})
		}
	}
	regulator.SortWaiters(all)
	return all
}

// turn returns the time until the turn of a call that is not yet waiting.
func (e *engine) turn(c *call) time.Duration {
	if !e.model.counts() {
		return 0
	}
	w := regulator.Waiter{ID: c.id, Urgency: c.urgency, Due: c.arrived.Add(c.kind.Target)}
	return e.limit.regulator.Wait(e.model.clock.now, regulator.Place(e.waiters(), w))
}

// startInTurn starts calls as far as the engine's limit allows, and sends back those whose
// turn comes too late.
func (e *engine) startInTurn() {
	m, r := e.model, &e.limit.regulator
	for _, refused := range r.Hopeless(m.clock.now, e.waiters()) {
		c := e.admitted[refused.ID]
		delete(e.admitted, refused.ID)
		e.apply(e.table.Release(m.clock.now, refused.ID))
		m.clock.after(localDelay, func() {
			if !c.finished {
				c.entry.refusedTurn(c, refused.Wait)
			}
		})
	}
	for _, w := range e.waiters() {
		if wait := r.Wait(m.clock.now, 0); wait > 0 {
			e.scheduleTurn(wait)
			return
		}
		if e.table.Pin(w.ID) {
			r.Take(m.clock.now)
			e.queuePrefill(e.admitted[w.ID])
		}
	}
}

func (e *engine) scheduleTurn(wait time.Duration) {
	if e.turnScheduled {
		return
	}
	e.turnScheduled = true
	e.schedule(wait, func() {
		e.turnScheduled = false
		e.startReady()
	})
}
