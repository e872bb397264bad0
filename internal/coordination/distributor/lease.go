package distributor

import "time"

// Lease tells whether a node may trust the configuration that it holds.
//
// A node that is cut off can't know what the operators have accepted since. One
// connected to a control host that is itself cut off can't either, though its
// connection is alive; so each pulse tells the age of the host's own knowledge,
// and the ages add up. The clock must be monotone: time.Time as time.Now gives
// it.
type Lease struct {
	// Duration is the age of knowledge up to which the node trusts its rules.
	Duration time.Duration

	// fresh is the latest time at which the node is known to have held all that
	// was committed. It never goes back.
	fresh time.Time
	// pending are pulses whose revision the node does not hold yet, in order of
	// arrival.
	pending []pending
}

type pending struct {
	revision uint64
	fresh    time.Time
}

// pendingLimit bounds the pulses kept for a node that lags.
const maxPendingPulses = 64

// Pulse takes a pulse in that arrived at now, at a node that holds a revision.
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

// Applied takes in that the node now holds a revision.
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

// DiscardPending drops the pulses that wait for a revision: their subscription ended.
func (l *Lease) DiscardPending() { l.pending = nil }

func (l *Lease) extend(fresh time.Time) {
	if fresh.After(l.fresh) {
		l.fresh = fresh
	}
}

// Valid reports whether the node may trust its rules at now.
func (l *Lease) Valid(now time.Time) bool {
	return !l.fresh.IsZero() && now.Sub(l.fresh) < l.Duration
}

// Age returns how old the node's knowledge is at now, and false where it has
// none.
func (l *Lease) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(l.fresh), !l.fresh.IsZero()
}
