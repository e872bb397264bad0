package loader

import (
	"slices"
	"time"
)

// Permitted records that the permit requested for the version was granted. The slot is
// chosen only now, because waiting for a permit may take long, and an early eviction
// would needlessly take the adapter from other requests.
func (t *Table) Permitted(now time.Time, name string) []Action {
	v := t.versions[name]
	if v == nil || !v.permit || v.victim != nil {
		return []Action{ReturnPermitAction{Version: name}}
	}
	if v.phase != PhaseEmpty {
		return t.returnPermit(now, v)
	}
	if len(v.waiters) == 0 && !t.worthPrefetch(now, v) {
		return t.returnPermit(now, v)
	}
	f := t.fairness(now)
	if t.availableSlots(v, f) <= 0 {
		return t.returnPermit(now, v)
	}
	if t.occupied() < t.settings.Slots {
		return t.load(now, v, nil)
	}
	victim := t.victimFor(now, v)
	if victim == nil {
		return t.returnPermit(now, v)
	}
	v.victim = victim
	victim.successor = v
	return t.plan(now, t.evict(victim))
}

// PermitDenied records that no permit was available for the version. Its waiting
// requests fail and the load backs off as after a failed load.
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

// withdraw withdraws the request for v's permit if its reason no longer applies.
//
// A permit that arrives after all callers have left is returned, and the store is idle
// for the time of a load; during a rush this affected one permit in twenty. A permit
// requested for a prefetch yields to all others even if a call waits by now, so it has
// to be requested anew.
func (t *Table) withdraw(v *version, actions []Action) []Action {
	if !v.permit || v.victim != nil || v.withdrawn || v.prefetch == (len(v.waiters) == 0) {
		return actions
	}
	v.withdrawn = true
	return append(actions, WithdrawAction{Version: v.name})
}

// Withdrawn records that the request for the version's permit was withdrawn before a
// permit was granted.
func (t *Table) Withdrawn(now time.Time, name string) []Action {
	v := t.versions[name]
	if v == nil || !v.withdrawn {
		return nil
	}
	t.setPermit(v, false)
	return t.plan(now, nil)
}

// Loaded records the outcome of the load order with the fencing number. The outcome of
// any order other than the one in flight is ignored, for example that of an order
// issued in an earlier incarnation of the engine.
func (t *Table) Loaded(now time.Time, name string, fence uint64, o Outcome, cause string) []Action {
	v := t.versions[name]
	if v == nil || v.phase != PhaseLoading || v.fence != fence {
		return nil
	}
	switch o {
	case OutcomeDone:
		v.loadTime = now.Sub(v.loadStarted)
		return t.plan(now, append(t.resident(now, v, nil), t.evictReplaced(v)...))
	case OutcomeFailed:
		t.vacate(v)
		return t.plan(now, t.fail(now, v, cause, nil))
	case OutcomeFenced:
		t.vacate(v)
		return t.fail(now, v, cause, []Action{FencedAction{}})
	default:
		v.outcomeUnknown = true
		return []Action{ReadStateAction{}}
	}
}

// Unloaded records the outcome of the unload order with the fencing number.
func (t *Table) Unloaded(now time.Time, name string, fence uint64, o Outcome) []Action {
	v := t.versions[name]
	if v == nil || v.phase != PhaseEvicting || v.fence != fence {
		return nil
	}
	switch o {
	case OutcomeDone, OutcomeFailed:
		return t.plan(now, t.unloaded(now, v))
	case OutcomeFenced:
		v.outcomeUnknown = true
		return []Action{FencedAction{}}
	default:
		v.outcomeUnknown = true
		return []Action{ReadStateAction{}}
	}
}

func (t *Table) returnPermit(now time.Time, v *version) []Action {
	t.setPermit(v, false)
	return t.plan(now, []Action{ReturnPermitAction{Version: v.name}})
}

func (t *Table) load(now time.Time, v *version, actions []Action) []Action {
	t.setPermit(v, false)
	v.fence = t.nextFence()
	v.outcomeUnknown = false
	v.loadStarted = now
	t.setPhase(v, PhaseLoading)
	t.stats.Loads++
	if len(v.waiters) == 0 {
		t.stats.Prefetches++
	}
	return append(actions, LoadAction{Fence: v.fence, Version: v.name, Source: v.source})
}

func (t *Table) evict(v *version) []Action {
	v.fence = t.nextFence()
	v.outcomeUnknown = false
	t.setPhase(v, PhaseEvicting)
	t.stats.Evictions++
	return []Action{UnloadAction{Fence: v.fence, Version: v.name}}
}

func (t *Table) resident(now time.Time, v *version, actions []Action) []Action {
	v.fence = 0
	v.outcomeUnknown = false
	v.failures = 0
	v.retryAt = time.Time{}
	v.residentSince = now
	t.setPhase(v, PhaseResident)
	return append(actions, ReadyAction{Version: v.name})
}

// unloaded assigns the slot of v to its successor.
func (t *Table) unloaded(now time.Time, v *version) []Action {
	successor := v.successor
	if v.outcomeUnknown || v.unloadUncertain {
		// An unload that was given up may still reach an engine that ignores fencing
		// numbers, and remove the version after it was loaded and pinned again. No load
		// is ordered while this is possible.
		v.retryAt = now.Add(t.settings.OrderLife)
	}
	t.vacate(v)
	v.evictedAt = now
	if len(v.waiters) > 0 {
		t.stats.Regrets++
		v.evictedAt = time.Time{}
	}
	if successor == nil {
		return nil
	}
	return t.load(now, successor, nil)
}

func (t *Table) vacate(v *version) {
	v.fence = 0
	v.outcomeUnknown = false
	v.unloadUncertain = false
	if v.successor != nil {
		v.successor.victim = nil
		v.successor = nil
	}
	t.setPhase(v, PhaseEmpty)
}

// fail starts the back-off for v and fails all its waiting requests, which have not
// run.
func (t *Table) fail(now time.Time, v *version, cause string, actions []Action) []Action {
	t.stats.Failures++
	v.failures++
	wait := t.backoff(v.failures)
	v.retryAt = now.Add(wait)
	for _, request := range sortedKeys(v.waiters) {
		delete(v.waiters, request)
		delete(t.holders, request)
		t.updateIndex(v)
		actions = append(actions, FailAction{Request: request, Version: v.name, RetryAfter: wait, Cause: cause})
	}
	return actions
}

// backoff returns the wait after a number of consecutive failures. It doubles with each
// failure; a jitter of up to one half keeps companions with the same failure from
// retrying at the store simultaneously.
func (t *Table) backoff(failures int) time.Duration {
	wait := t.settings.BackoffInitial
	for i := 1; i < failures && wait < t.settings.BackoffMax; i++ {
		wait *= 2
	}
	wait = min(wait, t.settings.BackoffMax)
	return wait/2 + time.Duration(t.random.Int64N(int64(wait/2)+1))
}

// sortedKeys returns the keys in sorted order, which makes the order of actions
// independent of map iteration.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
