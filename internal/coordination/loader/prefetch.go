package loader

import "time"

// prefetchValueRatio is the minimum ratio between the values of a prefetched version
// and its victim. It prevents two versions of similar demand from replacing each other
// repeatedly.
const prefetchValueRatio = 2

// prefetch requests a permit for the most valuable version without a slot if no other
// load is pending and the version is worth evicting its victim.
func (t *Table) prefetch(now time.Time, actions []Action) []Action {
	if !t.settings.Prefetch || t.settings.Policy != PolicyDemand || t.pendingLoads() > 0 {
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

// worthPrefetch reports whether the demand for v justifies a load before any request
// waits for it.
func (t *Table) worthPrefetch(now time.Time, v *version) bool {
	if !t.settings.Prefetch || v.demandNow(now, t.settings.HalfLife) < 1 {
		return false
	}
	if t.occupied() < t.settings.Slots {
		return true
	}
	victim := t.victimFor(now, v)
	return victim != nil && v.value(now, t.settings) > prefetchValueRatio*victim.value(now, t.settings)
}
