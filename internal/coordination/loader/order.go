package loader

import (
	"slices"
	"time"
)

// Permitted says that the permit asked for the version was granted. The slot is
// chosen only now, since waiting for a permit may take long and evicting early
// would cost requests their adapter for nothing.
func (t *Table) Permitted(now time.Time, name string) []Action {
	v := t.versions[name]
	if v == nil || !v.permit || v.victim != nil {
		return []Action{ReturnPermitAction{Version: name}}
	}
	if v.phase != PhaseEmpty {
		return t.giveBack(now, v)
	}
	if len(v.waiters) == 0 && !t.worthPrefetch(now, v) {
		return t.giveBack(now, v)
	}
	f := t.fairness(now)
	if t.spare(v, f) <= 0 {
		return t.giveBack(now, v)
	}
	if t.occupied() < t.settings.Slots {
		return t.load(now, v, nil)
	}
	victim := t.victimFor(now, v)
	if victim == nil {
		return t.giveBack(now, v)
	}
	v.victim = victim
	victim.heir = v
	return t.plan(now, t.evict(victim))
}

// PermitDenied says that no permit could be had for the version. Its waiters
// fail after the back-off's rules, as for a failed load.
func (t *Table) PermitDenied(now time.Time, name, cause string) []Action {
	v := t.versions[name]
	if v == nil || !v.permit || v.victim != nil {
		return nil
	}
	t.setPermit(v, false)
	if v.phase != PhaseEmpty {
		return t.plan(now, nil)
	}
	return t.plan(now, t.fail(now, v, cause, nil))
}

// withdraw takes back the request for v's permit where it stands for what is no
// longer so.
//
// A permit that comes for callers who have all left is given back, and the store
// stands idle for the time of a load: in a rush that was one permit in twenty.
// One asked for a prefetch yields to all others, also when a call waits by now.
func (t *Table) withdraw(v *version, actions []Action) []Action {
	if !v.permit || v.victim != nil || v.withdrawn || v.prefetch == (len(v.waiters) == 0) {
		return actions
	}
	v.withdrawn = true
	return append(actions, WithdrawAction{Version: v.name})
}

// Withdrawn says that the request for the version's permit was taken back
// without a permit.
func (t *Table) Withdrawn(now time.Time, name string) []Action {
	v := t.versions[name]
	if v == nil || !v.withdrawn {
		return nil
	}
	t.setPermit(v, false)
	return t.plan(now, nil)
}

// Loaded says how the load order with the fencing number ended. An answer to any
// other order than the one in flight, such as one given in an earlier life, is
// ignored.
func (t *Table) Loaded(now time.Time, name string, fence uint64, o Outcome, cause string) []Action {
	v := t.versions[name]
	if v == nil || v.phase != PhaseLoading || v.fence != fence {
		return nil
	}
	switch o {
	case OutcomeDone:
		v.loadTime = now.Sub(v.began)
		return t.plan(now, append(t.resident(now, v, nil), t.evictReplaced(v)...))
	case OutcomeFailed:
		t.vacate(v)
		return t.plan(now, t.fail(now, v, cause, nil))
	case OutcomeFenced:
		t.vacate(v)
		return t.fail(now, v, cause, []Action{FencedAction{}})
	default:
		v.unsure = true
		return []Action{ReadStateAction{}}
	}
}

// Unloaded says how the unload order with the fencing number ended.
func (t *Table) Unloaded(now time.Time, name string, fence uint64, o Outcome) []Action {
	v := t.versions[name]
	if v == nil || v.phase != PhaseEvicting || v.fence != fence {
		return nil
	}
	switch o {
	case OutcomeDone, OutcomeFailed:
		return t.plan(now, t.unloaded(now, v))
	case OutcomeFenced:
		v.unsure = true
		return []Action{FencedAction{}}
	default:
		v.unsure = true
		return []Action{ReadStateAction{}}
	}
}

func (t *Table) giveBack(now time.Time, v *version) []Action {
	t.setPermit(v, false)
	return t.plan(now, []Action{ReturnPermitAction{Version: v.name}})
}

func (t *Table) load(now time.Time, v *version, actions []Action) []Action {
	t.setPermit(v, false)
	v.fence = t.nextFence()
	v.unsure = false
	v.began = now
	t.setPhase(v, PhaseLoading)
	t.stats.Loads++
	if len(v.waiters) == 0 {
		t.stats.Prefetches++
	}
	return append(actions, LoadAction{Fence: v.fence, Version: v.name, Source: v.source})
}

func (t *Table) evict(v *version) []Action {
	v.fence = t.nextFence()
	v.unsure = false
	t.setPhase(v, PhaseEvicting)
	t.stats.Evictions++
	return []Action{UnloadAction{Fence: v.fence, Version: v.name}}
}

func (t *Table) resident(now time.Time, v *version, actions []Action) []Action {
	v.fence = 0
	v.unsure = false
	v.failures = 0
	v.retryAt = time.Time{}
	v.residentSince = now
	t.setPhase(v, PhaseResident)
	return append(actions, ReadyAction{Version: v.name})
}

// unloaded hands the slot of v to its heir.
func (t *Table) unloaded(now time.Time, v *version) []Action {
	heir := v.heir
	if v.unsure || v.doubted {
		// An unload that was given up may still reach an engine that ignores
		// fencing numbers, and drop the version after it was loaded and pinned
		// anew. No load is ordered while that is possible.
		v.retryAt = now.Add(t.settings.OrderLife)
	}
	t.vacate(v)
	v.evictedAt = now
	if len(v.waiters) > 0 {
		t.stats.Regrets++
		v.evictedAt = time.Time{}
	}
	if heir == nil {
		return nil
	}
	return t.load(now, heir, nil)
}

func (t *Table) vacate(v *version) {
	v.fence = 0
	v.unsure = false
	v.doubted = false
	if v.heir != nil {
		v.heir.victim = nil
		v.heir = nil
	}
	t.setPhase(v, PhaseEmpty)
}

// fail backs off and tells all waiters of v that they have not run.
func (t *Table) fail(now time.Time, v *version, cause string, actions []Action) []Action {
	t.stats.Failures++
	v.failures++
	wait := t.backoff(v.failures)
	v.retryAt = now.Add(wait)
	for _, request := range sortedKeys(v.waiters) {
		delete(v.waiters, request)
		delete(t.holders, request)
		t.track(v)
		actions = append(actions, FailAction{Request: request, Version: v.name, RetryAfter: wait, Cause: cause})
	}
	return actions
}

// backoff doubles with each failure. The jitter, up to a half, keeps the
// companions that met the same failure from asking the store at one moment.
func (t *Table) backoff(failures int) time.Duration {
	wait := t.settings.BackoffInitial
	for i := 1; i < failures && wait < t.settings.BackoffMax; i++ {
		wait *= 2
	}
	wait = min(wait, t.settings.BackoffMax)
	return wait/2 + time.Duration(t.random.Int64N(int64(wait/2)+1))
}

// sortedKeys makes the order of actions independent of that of maps.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
