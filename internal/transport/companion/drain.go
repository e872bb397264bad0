package companion

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/drainer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// leaveLimit bounds one announcement of leaving.
const leaveLimit = 2 * time.Second

// returnLimit is the time after which no entry comes back for an answer. Entries
// give up 15 s after they find their connection lost, which a silent one takes 2 s
// to show.
const returnLimit = 20 * time.Second

// errCut means that a planned stop did not wait for all requests.
const errCut = errors.ConstError("requests in progress were cut off")

// Drain leaves in good order: it announces the leaving, takes nothing new, waits
// until all requests have ended and their answers were taken, and ends the
// membership. It returns early with an error if the context ends or DrainTimeout
// passes first. Close comes after it.
func (c *Companion) Drain(ctx context.Context) error {
	d := drainer.NewDrain(drainer.Settings{
		Role: drainer.RoleCompanion, GracePeriod: time.Duration(c.settings.Companion.DrainTimeout),
	})
	d.Signal(c.settings.Now())
	c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindMemberLeaving, Backend: c.settings.Node})
	c.announceLeaving(ctx, false)
	c.refuseNew()
	for d.Advance(c.settings.Now(), c.facts()) != drainer.PhaseHandingOver {
		if !pauser.Pause(ctx, tickInterval) {
			d.Signal(c.settings.Now())
			return errors.Annotate(errCut, context.Cause(ctx).Error())
		}
	}
	c.refuseWaiting()
	c.announceLeaving(ctx, true)
	d.Advance(c.settings.Now(), drainer.Facts{HandedOver: true})
	c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindStopped, Backend: c.settings.Node})
	if d.Interrupted() {
		return errors.Trace(errCut)
	}
	return nil
}

// facts are what the drain's next phase depends on. An answer that no entry has
// acknowledged counts as in progress while one may come back for it.
func (c *Companion) facts() drainer.Facts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return drainer.Facts{
		Announced: true, PrecedingStopped: true,
		InProgress: len(c.works) + c.running + c.buffer.Unreleased(c.settings.Now(), returnLimit),
	}
}

func (c *Companion) refuseNew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// announceLeaving tells the control hosts. Where they can't be told, entries
// hear it from the refusals, and the lease runs out after the companion's end.
func (c *Companion) announceLeaving(ctx context.Context, ended bool) {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	c.mu.Lock()
	c.leaving, c.ended = true, ended
	epoch := c.lease.Epoch
	c.mu.Unlock()
	c.sendLeave(ctx, epoch, ended)
}

// sendLeave announces that the membership with the given epoch is leaving or has ended.
func (c *Companion) sendLeave(ctx context.Context, epoch uint64, ended bool) {
	if err := c.settings.Control.Leave(ctx, c.settings.Node, epoch, ended); err != nil {
		c.settings.Log.Warn().Err(err).Str("Backend", c.settings.Node).Msg("leaving not announced")
	}
}

// refuseWaiting ends as not run what has not begun by the end of
// DrainTimeout.
func (c *Companion) refuseWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.works {
		if !w.begun {
			c.withdraw(w, messenger.NewRefusal(messenger.ReasonStopping, "backend server is leaving"))
		}
	}
}
