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
	result, err := c.Propose(ctx, storer.Envelope{Command: storer.ClearSuspects{Names: []string{identity}, Released: true}})
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

// partReviewer returns a reviewer of the parts in the store, for a new leader.
func (c *Control) partReviewer(now time.Time) *suspecter.PartReviewer {
	r := suspecter.NewPartReviewer(suspecter.Settings{})
	for _, p := range c.Parts() {
		r.Observe(now, p, false)
	}
	return r
}

// Parts returns the parts of prompts during which backend servers ended, from this host's copy
// of the replicated state, sorted by name.
func (c *Control) Parts() []storer.Resource {
	list, _ := c.store.List(storer.KindPart, "")
	return list
}

// BlockPart blocks a part of prompts until an operator releases it.
func (c *Control) BlockPart(ctx context.Context, id uint64) error {
	return c.reviewPart(ctx, id, storer.PartActionOperatorBlock, "part of prompts blocked by an operator")
}

// ReleasePart removes the record of a part of prompts, so that requests with it are sent to
// backend servers again. The error is NotFound if there is no such record.
func (c *Control) ReleasePart(ctx context.Context, id uint64) error {
	return c.reviewPart(ctx, id, storer.PartActionForget, "part of prompts released by an operator")
}

func (c *Control) reviewPart(ctx context.Context, id uint64, action storer.PartAction, message string) error {
	result, err := c.Propose(ctx, storer.Envelope{Command: storer.ReviewParts{Reviews: []storer.PartReview{{Part: id, Action: action}}}})
	switch {
	case err != nil:
		return err
	case result.Verdict != storer.VerdictAccepted && action == storer.PartActionForget:
		return errors.NotFoundf("part %s", storer.PartName(id))
	}
	c.settings.Log.Info().Str("Part", storer.PartName(id)).Msg(message)
	return nil
}

// reviewParts changes the parts of prompts whose evidence or time requires it.
func (d *duties) reviewParts() {
	if !d.control.agreement.LeaseValid() {
		return
	}
	d.leasesMu.Lock()
	due := d.parts.Due(d.control.settings.Now())
	d.leasesMu.Unlock()
	if len(due) == 0 {
		return
	}
	var c storer.ReviewParts
	for _, v := range due {
		c.Reviews = append(c.Reviews, v.PartReview)
	}
	if err := d.propose(c); err != nil {
		d.control.settings.Log.Debug().Err(err).Msg("failed to review parts of prompts; retrying at the next tick")
		return
	}
	for _, v := range due {
		d.control.metrics.reviewedParts.WithLabelValues(v.Action.String()).Inc()
		d.control.settings.Log.Info().Str("Part", storer.PartName(v.PartReview.Part)).Stringer("Action", v.Action).
			Int("Lives", v.Lives).Int("Begun", v.Begun).Int("Answered", v.Answered).Uint64("Revision", d.control.store.Revision()).
			Msg("part of prompts reviewed")
	}
}
