package attendant

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// outputMargin is the time by which the output of an engine may seem younger than it is: its entry reads
// it late, and the entry's message takes time.
const outputMargin = 200 * time.Millisecond

// confirmDelay is the wait before an engine that refuses connections while an earlier one is open is
// looked for again: the listener of a process that ends is closed a moment before its connections.
const confirmDelay = 20 * time.Millisecond

// contact holds when an engine answered its companion, which is on the same host, and when it began to
// refuse connections.
type contact struct {
	answeredAt time.Time
	// refusedSince is zero while the engine accepts connections.
	refusedSince time.Time
}

// recordReport records the end of a poll that began at sentAt. A report may have arrived on an earlier
// connection, so that it does not show that the engine accepts connections.
func (c *contact) recordReport(sentAt time.Time, err error) {
	switch {
	case err == nil:
		c.answeredAt = sentAt
	case errors.Is(err, syscall.ECONNREFUSED):
		c.recordRefusal(sentAt)
	}
}

// recordPresence records what a connection that was opened at an earlier time showed.
func (c *contact) recordPresence(openedAt time.Time, p Presence) {
	switch p {
	case PresenceAccepts:
		c.answeredAt, c.refusedSince = openedAt, time.Time{}
	case PresenceConnected:
		c.answeredAt = openedAt
		c.recordRefusal(openedAt)
	case PresenceRefused:
		c.recordRefusal(openedAt)
	case PresenceUnknown, PresenceReplaced:
	}
}

func (c *contact) recordRefusal(at time.Time) {
	if c.refusedSince.IsZero() {
		c.refusedSince = at
	}
}

// processState returns the state of an incarnation that produced output last at producedAt, and whose
// connection to its entry ended at about now. Polls of the engine are interval apart.
//
// A refused connection alone does not prove that a process has ended: one that leaves closes its listener
// and finishes its requests. The process has ended if it answered on its host until its output ended, did
// not produce any after it had begun to refuse connections, and was looked for soon after its output.
func (c *contact) processState(p Presence, now, producedAt time.Time, interval time.Duration) messenger.ProcessState {
	switch p {
	case PresenceAccepts, PresenceConnected:
		return messenger.ProcessRunning
	case PresenceUnknown:
		return messenger.ProcessUnknown
	case PresenceReplaced, PresenceRefused:
	}
	switch {
	case !c.refusedSince.IsZero() && producedAt.Add(-outputMargin).After(c.refusedSince):
		return messenger.ProcessRunning
	case now.Sub(producedAt) > 2*interval, producedAt.Sub(c.answeredAt) > 2*interval:
		return messenger.ProcessUnknown
	}
	return messenger.ProcessExited
}

// inspect reports whether an incarnation of the engine has ended.
func (a *Attendant) inspect(ctx context.Context, m messenger.Inspect) messenger.Inspected {
	openedAt := a.settings.Now()
	producedAt := openedAt.Add(-time.Duration(m.QuietMillis) * time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, a.settings.OrderTimeout)
	defer cancel()
	presence := a.settings.Engine.Find(ctx, m.Incarnation)
	if presence == PresenceConnected && pauser.Pause(ctx, confirmDelay) {
		presence = a.settings.Engine.Find(ctx, m.Incarnation)
	}
	member, known := a.settings.View().Member(a.settings.Name)
	leaving := known && member.Spec.Incarnation == m.Incarnation && member.Spec.State != storer.MemberStateServing
	a.mu.Lock()
	defer a.mu.Unlock()
	a.contact.recordPresence(openedAt, presence)
	state := a.contact.processState(presence, openedAt, producedAt, a.settings.ObserveInterval)
	if state == messenger.ProcessExited && leaving {
		state = messenger.ProcessLeaving
	}
	a.metrics.inspected.WithLabelValues(state.String()).Inc()
	a.settings.Log.Info().Str("Incarnation", m.Incarnation).Stringer("Presence", presence).Stringer("State", state).
		Int64("QuietMillis", m.QuietMillis).Msg("engine inspected")
	return messenger.Inspected{State: state}
}

// hasReopened reports whether an engine that refused connections accepts them again.
func (a *Attendant) hasReopened(incarnation string) bool {
	a.mu.Lock()
	refused := !a.contact.refusedSince.IsZero()
	a.mu.Unlock()
	if !refused {
		return false
	}
	ctx, cancel := context.WithTimeout(a.root, a.settings.OrderTimeout)
	defer cancel()
	p := a.settings.Engine.Find(ctx, incarnation)
	return p == PresenceAccepts || p == PresenceReplaced
}
