package loader

import "time"

// prefetchGain is how many times more valuable than its victim a version must
// be to be loaded without a waiter. It keeps two versions of about the same
// demand from replacing each other for ever.
const prefetchGain = 2

// prefetch asks for a permit for the most valuable version without a slot, when
// nothing else is asked for and it is worth its victim.
func (t *Table) prefetch(now time.Time, actions []Action) []Action {
	if !t.settings.Prefetch || t.settings.Policy != PolicyDemand || t.loads() > 0 {
		return actions
	}
	var best *version
	for _, v := range t.versions {
		if v.phase != PhaseEmpty || v.permit || now.Before(v.retryAt) || v.failures > 0 {
			continue
		}
		if best == nil || v.value(now, t.settings) > best.value(now, t.settings) ||
			v.value(now, t.settings) == best.value(now, t.settings) && v.name < best.name {
			best = v
		}
	}
	if best == nil || len(best.waiters) > 0 || !t.worthPrefetch(now, best) {
		return actions
	}
	t.setPermit(best, true)
	return append(actions, PermitAction{Version: best.name, Workspace: best.workspace, Share: best.share})
}

// worthPrefetch tells whether v is wanted often enough to be loaded before a
// request waits for it.
func (t *Table) worthPrefetch(now time.Time, v *version) bool {
	if !t.settings.Prefetch || v.demandNow(now, t.settings.HalfLife) < 1 {
		return false
	}
	if t.occupied() < t.settings.Slots {
		return true
	}
	victim := t.victimFor(now, v)
	return victim != nil && v.value(now, t.settings) > prefetchGain*victim.value(now, t.settings)
}
