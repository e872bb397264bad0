package controller

import (
	"context"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// dutiesTimeout bounds the wait of a new leader for the state that was accepted
// before it. It tries again as long as it leads.
const dutiesTimeout = 2 * time.Second

// currentDuties returns the duties of this host as leader, or nil.
func (c *Control) currentDuties() *duties {
	c.dutiesMu.Lock()
	defer c.dutiesMu.Unlock()
	return c.duties
}

// watchLeadership begins a leader's duties with its leadership, and ends them
// with it.
func (c *Control) watchLeadership() {
	defer c.workers.Done()
	ticker := time.NewTicker(c.settings.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.turned:
		case <-ticker.C:
		}
		status := c.agreement.Status()
		d := c.currentDuties()
		switch {
		case status.Role != replicator.Leader:
			c.endDuties()
		case d == nil || d.term != status.Term:
			c.endDuties()
			c.beginDuties(status.Term)
		}
	}
}

// beginDuties takes up a leader's duties once this host holds all that was
// accepted before its term: a leader that does not know a member yet would not
// guard its lease.
func (c *Control) beginDuties(term uint64) {
	ctx, cancel := context.WithTimeout(c.ctx, dutiesTimeout)
	defer cancel()
	if err := c.agreement.ReadBarrier(ctx); err != nil {
		c.settings.Log.Debug().Err(err).Uint64("Term", term).Msg("the duties of a leader wait")
		return
	}
	if status := c.agreement.Status(); status.Role != replicator.Leader || status.Term != term {
		return
	}
	d := newDuties(c, term)
	c.dutiesMu.Lock()
	if c.ctx.Err() != nil {
		c.dutiesMu.Unlock()
		return
	}
	c.duties = d
	c.dutiesMu.Unlock()
	d.start()
	c.metrics.leading.Set(1)
	c.settings.Log.Info().Uint64("Term", term).Msg("leading the control group")
}

// endDuties ends a leader's duties and waits for them.
func (c *Control) endDuties() {
	c.dutiesMu.Lock()
	d := c.duties
	c.duties = nil
	c.dutiesMu.Unlock()
	if d == nil {
		return
	}
	d.close()
	c.metrics.leading.Set(0)
	c.metrics.members.Set(0)
	c.metrics.waiting.Set(0)
	c.metrics.held.Set(0)
}

// retain has the group remember what the settings ask for.
func (d *duties) retain(ctx context.Context) {
	c := d.control
	want := c.settings.retention()
	if have := c.store.Retention(); have.IdempotencyAge == want.IdempotencyAge && have.ClaimAge == want.ClaimAge {
		return
	}
	data, err := storer.Encode(storer.Envelope{
		Time: storer.InstantOf(c.settings.Now()), Command: storer.SetRetention{Retention: want},
	})
	if err == nil {
		_, _, err = c.agreement.Propose(ctx, data)
	}
	if err != nil {
		c.settings.Log.Debug().Err(err).Msg("the retention was not set")
	}
}
