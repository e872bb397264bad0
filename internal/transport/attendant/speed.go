package attendant

import (
	"context"
	"maps"
	"strings"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/estimator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// observeSpeed polls the slowdown factor of the engine's machine until Close.
func (a *Attendant) observeSpeed() {
	var nextProbe time.Time
	for a.awaitSpeedPoll() {
		path, incarnation, probe := a.speedPoll()
		if strings.HasPrefix(path, "/") && (!probe || !a.settings.Now().Before(nextProbe)) {
			nextProbe = a.settings.Now().Add(a.settings.SpeedProbeInterval)
			a.pollSpeed(path, incarnation)
		}
		a.admitPostponed()
	}
}

// pollSpeed polls the slowdown factor once.
func (a *Attendant) pollSpeed(path, incarnation string) {
	ctx, cancel := context.WithTimeout(a.root, a.settings.OrderTimeout)
	defer cancel()
	sentAt := a.settings.Now()
	factor, err := a.settings.Engine.Slowdown(ctx, path)
	if err != nil {
		a.settings.Log.Debug().Err(err).Msg("polling the slowdown factor failed")
		return
	}
	a.recordSlowdown(sentAt, incarnation, factor)
}

// speedPoll returns the path of a poll of the slowdown factor, or "" if none is due, and the engine's
// incarnation. A poll is a probe if the engine has never reported a factor.
func (a *Attendant) speedPoll() (path, incarnation string, probe bool) {
	member, known := a.settings.View().Member(a.settings.Name)
	routing := a.settings.View().Routing
	if !known || routing == nil {
		return "", "", false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	service := routing.Service(member.Spec.Service)
	if service == nil || len(a.admissions) == 0 || !a.reachable {
		return "", "", false
	}
	return service.HealthPath, a.incarnation, !a.speedReports
}

// recordSlowdown records a factor that an incarnation of the engine reported, at sentAt or later.
func (a *Attendant) recordSlowdown(sentAt time.Time, incarnation string, factor float64) {
	if factor = estimator.Bound(factor); factor == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.speedReports = true
	if incarnation != a.incarnation {
		return
	}
	a.speed.Record(sentAt, factor, estimator.ReportLife)
	a.metrics.slowdown.Set(factor)
	// The backlog now takes another time.
	a.markChanged()
}

// forgetSpeed drops the speed of an incarnation that has ended. The caller holds mu.
func (a *Attendant) forgetSpeed() {
	a.speed = estimator.Speed{}
	a.metrics.slowdown.Set(-1)
}

// prefillRate returns the rate at which the request's prompt is expected to be prefilled at the
// usual speed. Entries learn it from engines that report a slowdown factor. The caller holds mu.
func (a *Attendant) prefillRate(m *messenger.Admit) float64 {
	if !a.speed.Reported() {
		return a.settings.PrefillRate
	}
	return estimator.BoundRate(m.PrefillRate, a.settings.PrefillRate)
}

// usualPrefill returns the time to prefill a waiting request's prompt at the usual speed. The caller
// holds mu.
func (a *Attendant) usualPrefill(adm *admission) time.Duration {
	return placer.ReadTime(a.cache.uncachedTokens(adm.msg, adm.version), adm.msg.Tokens, a.prefillRate(&adm.msg))
}

// prefill is the expected prefill of a request's prompt.
type prefill struct {
	// uncached is the number of its tokens that are not cached.
	uncached int
	// usual is the time that they take at factor 1, and now that at the current factor.
	usual, now time.Duration
}

// expectPrefill returns the expected prefill of a request that is not yet waiting. The caller holds
// mu.
func (a *Attendant) expectPrefill(m *messenger.Admit, now time.Time) prefill {
	version := uint64(0)
	if m.Adapter != "" {
		version = max(m.Version, a.settings.View().Newest(adapterName(m.Model, m.Adapter)))
	}
	p := prefill{uncached: min(a.cache.uncachedTokens(*m, version), a.tokensAfterWaiting(m, version))}
	p.usual = placer.ReadTime(p.uncached, m.Tokens, a.prefillRate(m))
	p.now = estimator.Scale(p.usual, a.speed.Factor(now))
	return p
}

// tokensAfterWaiting returns the number of the prompt's tokens that follow the parts that it shares
// with a request that waits for the same adapter: those are prefilled before it. Without this, a
// call whose entry expects a part to be cached by an earlier call would be returned during the load
// that both wait for. The caller holds mu.
func (a *Attendant) tokensAfterWaiting(m *messenger.Admit, version uint64) int {
	fewest := m.Tokens
	for _, adm := range a.admissions {
		if adm.admitted || adm.msg.Model != m.Model || adm.msg.Adapter != m.Adapter || adm.version != version {
			continue
		}
		tokens := m.Tokens
		for i := 0; i < min(len(m.Parts), len(adm.msg.Parts)) && m.Parts[i].ID == adm.msg.Parts[i].ID; i++ {
			tokens -= m.Parts[i].Tokens
		}
		fewest = min(fewest, max(0, tokens))
	}
	return fewest
}

const (
	// minLongPrefill is the time at factor 1 from which a prefill is long. While it runs, the
	// streams of the engine get no events; a shorter one delays them little at any factor.
	minLongPrefill = 50 * time.Millisecond
	// maxExcessPrefill is the time beyond the expected one from which a request is returned. It is
	// longer than the round trip of a return, and shorter than the prefill of a usual long prompt.
	maxExcessPrefill = 100 * time.Millisecond
)

// Values of the metric label reason: why a request was returned to its entry.
const (
	returnWait    = "wait"
	returnPrefill = "prefill"
	returnSlowed  = "slowed"
)

// checkExpectedPrefill refuses a request whose long prompt would take much longer to prefill now
// than its entry expected, so that the entry can choose another engine. The caller holds mu.
func (a *Attendant) checkExpectedPrefill(m messenger.Admit, now time.Time) *messenger.Refusal {
	if !a.speed.Reported() || m.ExpectedReadMillis <= 0 || !m.Movable && !m.MovableWhenSlowed {
		return nil
	}
	p := a.expectPrefill(&m, now)
	if p.usual < minLongPrefill || p.now < time.Duration(m.ExpectedReadMillis)*time.Millisecond+maxExcessPrefill {
		return nil
	}
	reason, r := returnPrefill, messenger.NewRefusal(messenger.ReasonMisled, "the prompt would take much longer to prefill than expected")
	if a.speed.Slowed(now) {
		reason, r.SlowdownPercent = returnSlowed, estimator.Percent(a.speed.Factor(now))
	} else if !m.Movable {
		return nil
	}
	wait := a.prefills.Left(now, a.speed.Factor(now))
	r.RetryAfterMillis = wait.Milliseconds()
	a.recordReturn(&m, reason, wait, p, now)
	return r
}

// recordReturn counts and logs a request that is returned to its entry. The caller holds mu.
func (a *Attendant) recordReturn(m *messenger.Admit, reason string, wait time.Duration, p prefill, now time.Time) {
	a.metrics.sentBack.Inc()
	a.metrics.returned.WithLabelValues(reason).Inc()
	e := a.settings.Log.Info().Str("Request", m.Request).Str("Reason", reason).
		Dur("Wait", wait).Int64("ExpectedWait", m.ExpectedMillis).Dur("Prefill", p.now).Int64("ExpectedPrefill", m.ExpectedReadMillis).
		Int("Uncached", p.uncached).Float64("Rate", a.prefillRate(m))
	if a.speed.Reported() {
		e.Int("Slowdown", estimator.Percent(a.speed.Factor(now))).Int("Usual", estimator.Percent(a.speed.Usual(now))).Dur("SlowdownAge", a.speed.Age(now))
	}
	e.Msg("returned to the entry")
}

// notifyRatio is the ratio of the current factor and the one that an entry expects from which it is
// notified. A machine at its usual speed differs from its own mean by up to a quarter: with 1.1,
// entries were told every 600 ms that nothing had changed.
const notifyRatio = 1.3

// publishedSpeed is what an entry knows by this companion's reports.
type publishedSpeed struct {
	incarnation string
	speed       estimator.Speed
	at          time.Time
}

// outdated reports whether an entry has to be notified, interval being the shortest time between two
// notifications.
func (p *publishedSpeed) outdated(now time.Time, incarnation string, factor float64, interval time.Duration) bool {
	if p.incarnation != incarnation {
		return true
	}
	known := p.speed.Factor(now)
	return now.Sub(p.at) >= interval && max(factor, known) >= notifyRatio*min(factor, known)
}

// publishSpeed notifies the entries of a group of the speed of the engine's machine if what they
// expect by the last notification differs from it by notifyRatio.
func (a *Attendant) publishSpeed(group *subscriberGroup) {
	state, entries := a.speedUpdate(group)
	for _, conn := range entries {
		// An entry whose connection failed gets the speed on its next connection.
		_ = conn.Notify(a.root, messenger.MethodSpeedState, state)
	}
}

// speedUpdate returns the speed of the engine's machine and the connections that it is to be sent
// to, and records that they have got it.
func (a *Attendant) speedUpdate(group *subscriberGroup) (placer.SpeedState, []*messenger.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	s := placer.SpeedState{Name: a.settings.Name, Incarnation: a.incarnation}
	if !a.speed.Reported() {
		return s, nil
	}
	s.Percent, s.UsualPercent = estimator.Percent(a.speed.Last()), estimator.Percent(a.speed.Usual(now))
	s.AgeMillis = int(a.speed.Age(now).Milliseconds())
	interval := placer.ReportInterval(a.settings.PublishInterval, len(group.conns), group == a.localEntries)
	maps.DeleteFunc(group.speeds, func(conn *messenger.Conn, _ publishedSpeed) bool {
		_, subscribed := group.conns[conn]
		return !subscribed
	})
	var conns []*messenger.Conn
	for conn := range group.conns {
		p := group.speeds[conn]
		if !p.outdated(now, a.incarnation, a.speed.Factor(now), interval) {
			continue
		}
		if p.incarnation != a.incarnation {
			p = publishedSpeed{incarnation: a.incarnation}
		}
		p.at = now
		s.Record(now, &p.speed)
		group.speeds[conn] = p
		conns = append(conns, conn)
	}
	return s, conns
}
