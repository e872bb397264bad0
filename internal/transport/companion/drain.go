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

// leaveTimeout limits one leave announcement.
const leaveTimeout = 2 * time.Second

// resumeWindow is the time after which no entry resumes an answer any more. Entries retry
// for up to 15 s after they have detected the loss of the connection, and a silent
// connection takes 2 s to detect.
const resumeWindow = 20 * time.Second

// errInterrupted means that a planned stop ended while requests were still in progress.
const errInterrupted = errors.ConstError("requests in progress were interrupted")

// Drain performs a planned stop: it announces the leave, refuses new requests, waits until
// all requests have ended and their answers have been received, and ends the membership. It
// returns early with an error if the context ends or DrainTimeout passes first. Call Close
// after it.
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
			return errors.Annotate(errInterrupted, context.Cause(ctx).Error())
		}
	}
	c.refuseWaiting()
	c.announceLeaving(ctx, true)
	d.Advance(c.settings.Now(), drainer.Facts{HandedOver: true})
	c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindStopped, Backend: c.settings.Node})
	if d.Interrupted() {
		return errors.Trace(errInterrupted)
	}
	return nil
}

// facts returns the input for the drain's next phase. An answer that no entry has
// acknowledged counts as in progress for resumeWindow.
func (c *Companion) facts() drainer.Facts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return drainer.Facts{
		Announced: true, PrecedingStopped: true,
		InProgress: len(c.jobs) + c.running + c.buffer.Unreleased(c.settings.Now(), resumeWindow),
	}
}

func (c *Companion) refuseNew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// announceLeaving announces to the control hosts that the companion is leaving or, with
// ended, that its membership has ended. If that fails, the entries notice the leave when the
// companion refuses their requests, and the lease expires after the companion has stopped.
func (c *Companion) announceLeaving(ctx context.Context, ended bool) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
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
		c.settings.Log.Warn().Err(err).Str("Backend", c.settings.Node).Msg("could not announce the leave")
	}
}

// refuseWaiting refuses the jobs that have not started by the end of DrainTimeout. Their
// outcome is not run, or unknown if an earlier run may have begun.
func (c *Companion) refuseWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if !j.active {
			c.refuseJob(j, messenger.NewRefusal(messenger.ReasonStopping, "backend server is leaving"))
		}
	}
}
