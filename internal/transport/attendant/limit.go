package attendant

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// handleLimit handles an entry's notice of what an answer said about the engine's limit.
func (a *Attendant) handleLimit(m messenger.Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordLimit(m, a.settings.Now())
}

// recordLimit applies an entry's notice. Only the answer to a request that this companion
// admitted can end a limit: the order of others is not known. The caller holds mu.
func (a *Attendant) recordLimit(m messenger.Limit, now time.Time) {
	if m.Incarnation != a.incarnation {
		return
	}
	at := now.Add(-time.Duration(m.AgeMillis) * time.Millisecond)
	if m.Named {
		a.applyLimit(at, at, now, regulator.Notice{Kind: regulator.NoticeLimited, Rate: m.Rate})
		return
	}
	if adm := a.admissions[m.Request]; adm != nil && adm.admitted {
		a.applyLimit(adm.grantedAt, at, now, regulator.Notice{Kind: regulator.NoticeUnlimited})
	}
}

// recordReportedLimit applies what a report that was requested at sentAt says about the
// engine's limit. An engine may name its limit in answers to requests alone: its reports end
// a limit only if they name limits. The caller holds mu.
func (a *Attendant) recordReportedLimit(sentAt, now time.Time, n regulator.Notice) {
	a.limitReported = a.limitReported || n.Kind == regulator.NoticeLimited
	if a.limitReported {
		a.applyLimit(sentAt, now, now, n)
	}
}

// applyLimit applies a notice received at the time at in the answer to a request sent at
// sentAt. The caller holds mu.
func (a *Attendant) applyLimit(sentAt, at, now time.Time, n regulator.Notice) {
	if !a.regulator.Record(sentAt, at, n) {
		return
	}
	limit := a.regulator.Limit()
	a.settings.Log.Info().Str("Incarnation", a.incarnation).Bool("Limited", limit.Named).Float64("Rate", limit.Rate).
		Int("AdmittedBefore", a.limitedGrants).Msg("request limit changed")
	a.limitedGrants = 0
	a.metrics.setLimit(limit)
	a.markChanged()
	if a.table != nil {
		a.admitReady(now)
		a.refuseHopeless(now)
	}
}

// forgetLimit drops the limit of an incarnation that has ended. The caller holds mu.
func (a *Attendant) forgetLimit() {
	a.regulator, a.limitReported, a.limitedGrants = regulator.Regulator{}, false, 0
	a.metrics.setLimit(regulator.Limit{})
	a.markChanged()
}

// waiter returns a request's claim to a turn under the limit, from the time started.
func waiter(m *messenger.Admit, started time.Time) regulator.Waiter {
	w := regulator.Waiter{
		ID: m.Request, Urgency: m.Urgency,
		Due:      started.Add(time.Duration(m.SlackMillis) * time.Millisecond),
		Deadline: started.Add(time.Duration(m.WaitMillis) * time.Millisecond),
	}
	if m.Resumed {
		w.Urgency, w.Due = resumedUrgency, w.Deadline
	}
	return w
}

// resumedUrgency is the urgency of requests whose caller has received a part of the answer.
const resumedUrgency = -1

// waiters returns the waiting requests in the order of their turns. The caller holds mu.
func (a *Attendant) waiters() []regulator.Waiter {
	var all []regulator.Waiter
	for _, adm := range a.admissions {
		if !adm.admitted && adm.refused == nil {
			all = append(all, waiter(&adm.msg, adm.started))
		}
	}
	regulator.SortWaiters(all)
	return all
}

// turn returns the time until the turn of a request that is not yet waiting. The caller
// holds mu.
func (a *Attendant) turn(m messenger.Admit, now time.Time) time.Duration {
	if !a.regulator.Limit().Named {
		return 0
	}
	return a.regulator.Wait(now, regulator.Place(a.waiters(), waiter(&m, now)))
}

// admitInTurn admits waiting requests as far as the engine's limit allows. A request whose
// version is not loaded yet does not hold up the others. The caller holds mu.
func (a *Attendant) admitInTurn(now time.Time) {
	if a.rationing() {
		a.admitByRank(now)
		return
	}
	waiting := false
	for _, w := range a.waiters() {
		if a.regulator.Wait(now, 0) > 0 {
			waiting = true
			break
		}
		if adm := a.admissions[w.ID]; a.pin(adm) {
			a.regulator.Take(now)
			a.limitedGrants++
			a.grant(adm, now)
		}
	}
	if waiting {
		a.scheduleTurn(a.regulator.Wait(now, 0))
	}
}

// scheduleTurn admits further requests after wait. The caller holds mu.
func (a *Attendant) scheduleTurn(wait time.Duration) {
	if a.turnScheduled {
		return
	}
	a.turnScheduled = true
	a.spawnLocked(func() {
		if !a.pause(wait) {
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.turnScheduled = false
		a.admitReady(a.settings.Now())
	})
}

// refuseHopeless refuses the waiting requests whose turn comes too late. The caller holds mu.
func (a *Attendant) refuseHopeless(now time.Time) {
	if !a.regulator.Limit().Named {
		return
	}
	for _, refused := range a.regulator.Hopeless(now, a.turnOrder(now)) {
		r := messenger.NewRefusal(messenger.ReasonLimited, "the engine's limit of requests leaves no turn in time")
		r.RetryAfterMillis = refused.Wait.Milliseconds()
		if adm := a.admissions[refused.ID]; adm != nil {
			a.refuse(adm, r)
		}
	}
}

// limitState returns the state of the limit for entries. The caller holds mu.
func (a *Attendant) limitState(now time.Time) placer.LimitState {
	s := placer.LimitState{Name: a.settings.Name, Incarnation: a.incarnation}
	if limit := a.regulator.Limit(); limit.Named {
		s.Named, s.Rate = true, limit.Rate
		s.WaitMillis = int(a.regulator.Wait(now, len(a.waiters())).Milliseconds())
	}
	return s
}
