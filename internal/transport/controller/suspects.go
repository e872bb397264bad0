package controller

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// suspects returns a reviewer of the suspects in the store, for a new leader.
func (c *Control) suspects(now time.Time) *suspecter.Reviewer {
	r := suspecter.NewReviewer(suspecter.Settings{})
	for _, s := range c.Suspects() {
		r.Observe(now, s, false)
	}
	return r
}

// Suspects returns the requests during which backend servers ended, from this host's
// copy of the replicated state, sorted by identity.
func (c *Control) Suspects() []storer.Resource {
	list, _ := c.store.List(storer.KindSuspect, "")
	return list
}

// LiftQuarantine removes the record of a request during which backend servers ended, so
// that they receive the request again. The error is NotFound if there is no such record.
func (c *Control) LiftQuarantine(ctx context.Context, identity string) error {
	result, err := c.Propose(ctx, storer.Envelope{Command: storer.ClearSuspects{Names: []string{identity}}})
	switch {
	case err != nil:
		return err
	case result.Verdict != storer.VerdictAccepted:
		return errors.NotFoundf("suspect %.40q", identity)
	}
	c.settings.Log.Info().Str("Same", identity).Msg("quarantine lifted by an operator")
	return nil
}

// reviewSuspects releases suspects whose quarantine is over.
func (d *duties) reviewSuspects() {
	if !d.control.agreement.LeaseValid() {
		return
	}
	d.leasesMu.Lock()
	due := d.suspects.Due(d.control.settings.Now())
	d.leasesMu.Unlock()
	if len(due) == 0 {
		return
	}
	if err := d.propose(storer.ReviewSuspects{Suspects: due}); err != nil {
		d.control.settings.Log.Debug().Err(err).Msg("failed to review suspects; retrying at the next tick")
	}
}
