package attendant

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/estimator"
)

const (
	// maxSpeedAge is the age up to which a slowdown factor decides on a prefill. Slow periods
	// begin and end within milliseconds, and a poll takes about one.
	maxSpeedAge = 100 * time.Millisecond
	// postponedSpeedInterval is the interval of the polls while prefills are postponed.
	postponedSpeedInterval = 50 * time.Millisecond
)

// postponement is the delay of a request's prefill while the engine's machine is slowed.
type postponement struct {
	// askedAt is when a poll of the slowdown factor was requested for the decision, and since
	// when the request could have been granted; both are zero before.
	askedAt, since time.Time
	// postponed means that the prefill waits for the machine, or has waited.
	postponed bool
	// factor is the slowdown factor at the last decision.
	factor float64
}

// postpones reports whether a request that is ready waits until the engine's machine is no longer
// slowed. While a long prompt is prefilled on a slowed machine, the streams of the engine get no
// events for longer than their routes allow, while the prefill itself gains little by starting at
// once. The caller holds mu.
func (a *Attendant) postpones(adm *admission, now time.Time) bool {
	if !a.speedReports || !adm.waits() || !a.ready(adm) || !a.runsOthers() {
		return false
	}
	work := a.usualPrefill(adm)
	if work < minLongPrefill {
		return false
	}
	p := &adm.postponement
	if a.awaitsSpeed(p, now) {
		return true
	}
	if p.since.IsZero() {
		p.since = now
	}
	p.factor = a.speed.Factor(now)
	half := time.Duration(adm.msg.WaitMillis) * time.Millisecond / 2
	if !a.speed.Postpones(now, now.Sub(p.since)) || now.Sub(adm.started) >= half {
		return false
	}
	p.postponed = true
	return true
}

// awaitsSpeed reports whether the decision waits for a poll of the slowdown factor, and requests
// that poll if the last report is old. The caller holds mu.
func (a *Attendant) awaitsSpeed(p *postponement, now time.Time) bool {
	switch {
	case a.speed.Reported() && a.speed.Age(now) <= maxSpeedAge:
		return false
	case p.askedAt.IsZero():
		p.askedAt = now
		select {
		case a.speedWakeup <- struct{}{}:
		default:
		}
		return true
	default:
		// After a failed poll the request is granted by what is known.
		return a.speedPolledAt.Before(p.askedAt) && now.Sub(p.askedAt) < a.settings.OrderTimeout
	}
}

// runsOthers reports whether the engine runs requests, whose events a prefill delays. The caller
// holds mu.
func (a *Attendant) runsOthers() bool {
	for _, adm := range a.admissions {
		if adm.admitted {
			return true
		}
	}
	return false
}

// awaitSpeedPoll waits until the next poll of the slowdown factor is due, and returns false if the
// companion stops.
func (a *Attendant) awaitSpeedPoll() bool {
	timer := time.NewTimer(a.speedPause())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.speedWakeup:
	case <-a.root.Done():
		return false
	}
	return true
}

// speedPause returns the time until the next poll of the slowdown factor.
func (a *Attendant) speedPause() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, adm := range a.admissions {
		if adm.waits() && adm.postponement.postponed {
			return min(postponedSpeedInterval, a.settings.SpeedInterval)
		}
	}
	return a.settings.SpeedInterval
}

// admitPostponed admits the requests that waited for a poll of the slowdown factor, or for the
// machine.
func (a *Attendant) admitPostponed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.speedPolledAt = a.settings.Now()
	if a.speedReports && a.table != nil {
		a.admitReady(a.speedPolledAt)
	}
}

// recordPostponement counts and logs a prefill that was postponed and starts now. The caller holds
// mu.
func (a *Attendant) recordPostponement(adm *admission, now time.Time) {
	p := &adm.postponement
	if !p.postponed {
		return
	}
	waited := now.Sub(p.since)
	a.metrics.postponed.Observe(waited.Seconds())
	a.settings.Log.Info().Str("Request", adm.msg.Request).Dur("Postponed", waited).Int("Tokens", adm.msg.Tokens).
		Int("Slowdown", estimator.Percent(p.factor)).Int("Usual", estimator.Percent(a.speed.Usual(now))).
		Dur("SlowdownAge", a.speed.Age(now)).Msg("prefill postponed")
}
