package attendant

import (
	"cmp"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/spacer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// admitPrompt admits a request whose adapter is ready. Its prompt waits if the streams that
// run would otherwise pause for longer than their routes allow. The caller holds mu.
func (a *Attendant) admitPrompt(adm *admission, now time.Time) {
	adm.prefill = placer.ReadTime(a.cache.uncachedTokens(adm.msg, adm.version), adm.msg.Tokens, a.settings.PrefillRate)
	// A short prompt delays no stream by much, but would wait for long ones.
	if adm.prefill < spacer.Pause || len(a.spaced) == 0 && !a.prompts.Start(now, adm.prefill).After(now) {
		a.grant(adm, now)
		return
	}
	adm.spaced = true
	i, _ := slices.BinarySearchFunc(a.spaced, adm, func(other, adm *admission) int { return cmp.Or(comparePrompts(now, other, adm), -1) })
	a.spaced = slices.Insert(a.spaced, i, adm)
	a.markChanged()
	a.armSpacing(now)
}

// comparePrompts orders prompts by the time by which they should be prefilled, after those
// that can't be in time any more.
func comparePrompts(now time.Time, a, b *admission) int {
	lateA, lateB := a.due().Before(now), b.due().Before(now)
	if lateA != lateB {
		if lateB {
			return -1
		}
		return 1
	}
	return a.due().Compare(b.due())
}

// due is the time until which the admission may wait for the request to meet its target.
func (adm *admission) due() time.Time {
	return adm.started.Add(time.Duration(adm.msg.SlackMillis) * time.Millisecond)
}

// armSpacing sets the timer for the first of the spaced prompts. The caller holds mu.
func (a *Attendant) armSpacing(now time.Time) {
	if len(a.spaced) == 0 || a.closed {
		return
	}
	wait := a.prompts.Start(now, a.spaced[0].prefill).Sub(now)
	if a.spacingTimer == nil {
		a.spacingTimer = time.AfterFunc(wait, a.admitSpaced)
		return
	}
	a.spacingTimer.Reset(wait)
}

// admitSpaced admits the spaced prompts that may start now.
func (a *Attendant) admitSpaced() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	now := a.settings.Now()
	for len(a.spaced) > 0 && !a.prompts.Start(now, a.spaced[0].prefill).After(now) {
		adm := a.spaced[0]
		a.spaced = slices.Delete(a.spaced, 0, 1)
		adm.spaced = false
		a.grant(adm, now)
	}
	a.armSpacing(now)
}

// unspace removes a request from the spaced ones. The caller holds mu.
func (a *Attendant) unspace(adm *admission) {
	if adm.spaced {
		adm.spaced = false
		a.spaced = slices.DeleteFunc(a.spaced, func(s *admission) bool { return s == adm })
	}
}

// resetPrompts drops the prompts of the previous incarnation of the engine. Spaced requests
// wait for their adapter or model again. The caller holds mu.
func (a *Attendant) resetPrompts(now time.Time) {
	a.prompts = spacer.Spacer{MaxEventGap: a.prompts.MaxEventGap}
	for _, adm := range a.spaced {
		adm.spaced = false
		a.blocked[adm.msg.Request] = adm
		if adm.inTable {
			adm.inTable = false
			a.apply(a.table.Release(now, adm.msg.Request))
		}
	}
	a.spaced = nil
}

// grant admits the request. The caller holds mu.
func (a *Attendant) grant(adm *admission, now time.Time) {
	adm.admitted = true
	uncached := a.cache.prefill(adm.msg, adm.version)
	a.prompts.Record(now, placer.ReadTime(uncached, adm.msg.Tokens, a.settings.PrefillRate))
	a.markChanged()
	close(adm.done)
}

// backlogMillis returns the expected time to prefill the prompts admitted so far and those
// that wait for them, in milliseconds. The caller holds mu.
func (a *Attendant) backlogMillis() int {
	backlog := a.prompts.Backlog(a.settings.Now())
	for _, adm := range a.spaced {
		backlog += adm.prefill + spacer.Pause
	}
	return int(backlog.Milliseconds())
}

// waitingMillis returns the expected time to prefill the prompts of the requests that wait for
// their adapter or model, in milliseconds. The caller holds mu.
func (a *Attendant) waitingMillis() int {
	var prefill time.Duration
	for _, adm := range a.admissions {
		if !adm.admitted && !adm.spaced {
			prefill += placer.ReadTime(a.cache.uncachedTokens(adm.msg, adm.version), adm.msg.Tokens, a.settings.PrefillRate)
		}
	}
	return int(prefill.Milliseconds())
}

// maxEventGap returns the longest gap between two events that all streaming routes of a
// service allow; 0 means that there is no limit.
func maxEventGap(r *tracker.Routing, service string) time.Duration {
	least := time.Duration(0)
	for i := range r.Routes {
		route := &r.Routes[i]
		uses := slices.ContainsFunc(route.Shares, func(s tracker.Share) bool { return s.Service == service })
		if uses && route.Stream && route.MaxEventGap > 0 && (least == 0 || route.MaxEventGap < least) {
			least = route.MaxEventGap
		}
	}
	return least
}
