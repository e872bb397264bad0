package drainer

import "time"

// Settings are the options of a Drain.
type Settings struct {
	Role Role
	// BalancerDelay is the time between PhaseUnready and PhaseClosing. Only an entry is behind a
	// balancer; for the other roles it is the time that entries need to notice.
	BalancerDelay time.Duration
	// GracePeriod bounds PhaseFinishing; 0 means no bound.
	GracePeriod time.Duration
	// HandOverLimit bounds PhaseHandingOver; 0 means no bound.
	HandOverLimit time.Duration
}

// Drain is the planned stop of one role. It is not safe for concurrent use.
type Drain struct {
	settings Settings
	phase    Phase
	// phaseStart is the time at which the current phase started.
	phaseStart time.Time
	// interrupted is set if the stop did not wait for all work to end.
	interrupted bool
}

// Facts are the conditions on which the phases of a Drain depend.
type Facts struct {
	// Announced is set if readiness has been withdrawn and, for a backend server, its leaving has
	// been accepted or could not be announced.
	Announced bool
	// PrecedingStopped is set if all roles of the process that stop earlier have stopped.
	PrecedingStopped bool
	// InProgress is the number of requests in progress and of answers not yet acknowledged.
	InProgress int
	// HandedOver is set if nothing is left that other processes depend on.
	HandedOver bool
}

// NewDrain returns a Drain in PhaseServing.
func NewDrain(s Settings) *Drain { return &Drain{settings: s} }

// Phase returns the current phase.
func (d *Drain) Phase() Phase { return d.phase }

// Interrupted reports whether the stop did not wait for all work in progress to end.
func (d *Drain) Interrupted() bool { return d.interrupted }

// Signal starts the stop and returns the phase. A second signal ends the stop at once.
func (d *Drain) Signal(now time.Time) Phase {
	if d.phase == PhaseServing {
		return d.enterPhase(now, PhaseUnready)
	}
	d.interrupted = d.interrupted || d.phase < PhaseHandingOver
	return d.enterPhase(now, PhaseStopped)
}

// Advance enters the phase that the facts permit and returns it.
func (d *Drain) Advance(now time.Time, f Facts) Phase {
	for {
		nextPhase, ok := d.nextPhase(now, f)
		if !ok {
			return d.phase
		}
		d.enterPhase(now, nextPhase)
	}
}

func (d *Drain) enterPhase(now time.Time, p Phase) Phase {
	d.phase = p
	d.phaseStart = now
	return p
}

// nextPhase returns the phase after the current one, and whether the facts permit it.
func (d *Drain) nextPhase(now time.Time, f Facts) (Phase, bool) {
	passed := now.Sub(d.phaseStart)
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
		d.interrupted = d.interrupted || expired
		return PhaseHandingOver, expired
	case PhaseHandingOver:
		expired := d.settings.HandOverLimit > 0 && passed >= d.settings.HandOverLimit
		return PhaseStopped, f.HandedOver || expired
	default:
		return d.phase, false
	}
}
