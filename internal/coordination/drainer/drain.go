package drainer

import "time"

// Settings are the options of a Drain.
type Settings struct {
	Role Role
	// BalancerDelay is the time between unready and closing. Only an entry stands
	// behind a balancer; for the other roles it is the time that entries get to
	// notice.
	BalancerDelay time.Duration
	// GracePeriod bounds PhaseFinishing; 0 means no bound.
	GracePeriod time.Duration
	// HandOverLimit bounds PhaseHandingOver; 0 means no bound.
	HandOverLimit time.Duration
}

// Drain is the planned stop of one role.
type Drain struct {
	settings Settings
	phase    Phase
	// since is the time at which phase began.
	since time.Time
	// cut tells that the stop did not wait for all work to end.
	cut bool
}

// Facts are what the owner of a Drain knows at one moment.
type Facts struct {
	// Announced tells that readiness is down and, for a backend server, that its
	// leaving is accepted or could not be announced.
	Announced bool
	// Before tells that the roles of the process which stop earlier have stopped.
	PrecedingStopped bool
	// InProgress counts requests in progress, and answers that are not yet
	// acknowledged.
	InProgress int
	// HandedOver tells that nothing is left that others rely on.
	HandedOver bool
}

// NewDrain returns a Drain that serves.
func NewDrain(s Settings) *Drain { return &Drain{settings: s} }

// Phase returns the present phase.
func (d *Drain) Phase() Phase { return d.phase }

// Interrupted tells whether the stop gave up waiting for work in progress.
func (d *Drain) Interrupted() bool { return d.cut }

// Signal begins the stop. A second signal ends it at once.
func (d *Drain) Signal(now time.Time) Phase {
	if d.phase == PhaseServing {
		return d.enter(now, PhaseUnready)
	}
	d.cut = d.cut || d.phase < PhaseHandingOver
	return d.enter(now, PhaseStopped)
}

// Advance moves to the phase that the facts allow and returns it.
func (d *Drain) Advance(now time.Time, f Facts) Phase {
	for {
		next, ok := d.next(now, f)
		if !ok {
			return d.phase
		}
		d.enter(now, next)
	}
}

func (d *Drain) enter(now time.Time, p Phase) Phase {
	d.phase = p
	d.since = now
	return p
}

// next returns the phase that follows where the facts allow it.
func (d *Drain) next(now time.Time, f Facts) (Phase, bool) {
	passed := now.Sub(d.since)
	switch d.phase {
	case PhaseUnready:
		return PhaseBalancerDelay, f.Announced
	case PhaseBalancerDelay:
		return PhaseClosing, passed >= d.settings.BalancerDelay && f.PrecedingStopped
	case PhaseClosing:
		return PhaseFinishing, true
	case PhaseFinishing:
		if f.InProgress == 0 {
			return PhaseHandingOver, true
		}
		expired := d.settings.GracePeriod > 0 && passed >= d.settings.GracePeriod
		d.cut = d.cut || expired
		return PhaseHandingOver, expired
	case PhaseHandingOver:
		expired := d.settings.HandOverLimit > 0 && passed >= d.settings.HandOverLimit
		return PhaseStopped, f.HandedOver || expired
	default:
		return d.phase, false
	}
}
