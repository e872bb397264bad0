package controller

import (
	"context"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// dutiesTimeout bounds a new leader's wait for the state accepted before its term, and
// its own proposals. The leader retries as long as it leads.
const dutiesTimeout = 2 * time.Second

// currentDuties returns this host's leader duties, or nil if it does not lead.
func (c *Control) currentDuties() *duties {
	c.dutiesMu.Lock()
	defer c.dutiesMu.Unlock()
	return c.duties
}

// watchLeadership starts the leader's duties when this host becomes leader, and stops
// them when its leadership ends.
func (c *Control) watchLeadership() {
	defer c.workers.Done()
	ticker := time.NewTicker(c.settings.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.leadershipChanged:
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

// beginDuties starts the leader's duties once this host has applied everything accepted
// before its term. A leader that has not applied a member's join would not track its lease.
func (c *Control) beginDuties(term uint64) {
	ctx, cancel := context.WithTimeout(c.ctx, dutiesTimeout)
	defer cancel()
	if err := c.agreement.ReadBarrier(ctx); err != nil {
		c.settings.Log.Debug().Err(err).Uint64("Term", term).Msg("leader duties postponed: previous state not applied yet")
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
	c.settings.Log.Info().Uint64("Term", term).Msg("became leader of the control group")
}

// endDuties stops the leader's duties, if there are any, and waits until they have
// stopped.
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
	c.metrics.expectedRetries.Reset()
}

// proposeRetention sets the replicated retention to the one in the settings.
func (d *duties) proposeRetention(ctx context.Context) {
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
		c.settings.Log.Debug().Err(err).Msg("failed to set the retention")
	}
}
