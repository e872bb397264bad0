package distributor

import "time"

// Lease determines whether a node may trust the configuration it holds.
//
// A node that is partitioned from the control group cannot know what the operators have
// accepted since. The same applies to a node connected to a control host that is itself
// partitioned, although its connection is alive. Each pulse therefore carries the age
// of the host's own state, to which the node adds the time since the pulse arrived.
// Times must have a monotonic clock reading, as those returned by time.Now.
type Lease struct {
	// Duration is the age at which the node stops trusting its state.
	Duration time.Duration

	// fresh is the latest time at which the node is known to have held everything
	// committed. It never decreases.
	fresh time.Time
	// pending holds the pulses whose revision the node does not hold yet, in order of
	// arrival.
	pending []pending
}

type pending struct {
	revision uint64
	fresh    time.Time
}

// maxPendingPulses bounds the pulses kept for a node that lags behind. Further pulses are
// dropped.
const maxPendingPulses = 64

// Pulse records a pulse that arrived at now at a node holding the revision held. It ignores
// a pulse with a negative age, whose host has never held everything committed.
func (l *Lease) Pulse(now time.Time, p Pulse, held uint64) {
	if p.AgeMillis < 0 {
		return
	}
	fresh := now.Add(-time.Duration(p.AgeMillis) * time.Millisecond)
	if held < p.Revision {
		if len(l.pending) < maxPendingPulses {
			l.pending = append(l.pending, pending{revision: p.Revision, fresh: fresh})
		}
		return
	}
	l.extend(fresh)
}

// Applied records that the node now holds the given revision.
func (l *Lease) Applied(held uint64) {
	kept := l.pending[:0]
	for _, p := range l.pending {
		if p.revision <= held {
			l.extend(p.fresh)
			continue
		}
		kept = append(kept, p)
	}
	l.pending = kept
}

// DiscardPending drops the pulses that wait for a revision. It is called when their
// subscription has ended.
func (l *Lease) DiscardPending() { l.pending = nil }

func (l *Lease) extend(fresh time.Time) {
	if fresh.After(l.fresh) {
		l.fresh = fresh
	}
}

// Valid reports whether the node may trust its state at now.
func (l *Lease) Valid(now time.Time) bool {
	return !l.fresh.IsZero() && now.Sub(l.fresh) < l.Duration
}

// Age returns the age of the node's state at now, or false if the age is unknown.
func (l *Lease) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(l.fresh), !l.fresh.IsZero()
}
