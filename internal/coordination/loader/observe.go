package loader

import "time"

// ObservedSlot is one occupied slot as reported by the engine.
type ObservedSlot struct {
	Version string
	Source  string
	Loading bool
	// InUse is the number of accepted requests that use the version.
	InUse int
}

// Adopt initializes the table with the state of a running engine when the companion
// starts. Requests that use a version belong to an earlier companion; they pin the
// version until Observe reports that they have ended. A load in progress is tracked to
// its end by Observe.
func (t *Table) Adopt(now time.Time, slots []ObservedSlot) {
	for _, s := range slots {
		v := t.version(Want{Version: s.Version, Source: s.Source, Workspace: WorkspaceOf(s.Version)})
		v.foreignPins = s.InUse
		v.residentSince = now
		v.lastUsed = now
		v.loadStarted = now
		p := PhaseResident
		if s.Loading {
			p = PhaseLoading
			v.fence = t.nextFence()
			v.outcomeUnknown = true
		}
		t.setPhase(v, p)
	}
}

// WorkspaceOf returns the workspace in a version's name,
// WORKSPACE/ADAPTER@VERSION.
func WorkspaceOf(name string) string {
	for i := range len(name) {
		if name[i] == '/' {
			return name[:i]
		}
	}
	return ""
}

// Observe compares the table with the engine's state, which was requested when Sequence
// returned sequence. It settles orders whose outcome is unknown and removes pins of an
// earlier companion. Versions changed after sequence are left unchanged, because the
// state may be older.
func (t *Table) Observe(now time.Time, sequence uint64, slots []ObservedSlot) []Action {
	seen := make(map[string]ObservedSlot, len(slots))
	for _, s := range slots {
		seen[s.Version] = s
	}
	var actions []Action
	for _, name := range sortedKeys(t.versions) {
		v := t.versions[name]
		s, present := seen[name]
		if v.foreignPins > 0 {
			v.foreignPins = min(v.foreignPins, s.InUse)
		}
		if v.changed <= sequence {
			actions = t.reconcile(now, v, s, present, actions)
		}
	}
	for _, s := range slots {
		if v := t.versions[s.Version]; v == nil || v.phase == PhaseEmpty && v.changed <= sequence && v.victim == nil {
			actions = t.adoptSlot(now, s, actions)
		}
	}
	return t.plan(now, actions)
}

// reconcile updates one version to the engine's state.
func (t *Table) reconcile(now time.Time, v *version, s ObservedSlot, present bool, actions []Action) []Action {
	if v.phase != PhaseResident && !v.outcomeUnknown {
		return actions
	}
	switch v.phase {
	case PhaseLoading:
		switch {
		case present && !s.Loading:
			return t.resident(now, v, actions)
		case !present:
			t.vacate(v)
			return t.fail(now, v, "load did not take effect", actions)
		}
	case PhaseEvicting:
		if !present {
			return append(actions, t.unloaded(now, v)...)
		}
		// The order has not taken effect; issue it again.
		v.outcomeUnknown = false
		v.unloadUncertain = true
		v.fence = t.nextFence()
		t.setPhase(v, PhaseEvicting)
		return append(actions, UnloadAction{Fence: v.fence, Version: v.name})
	case PhaseResident:
		if !present {
			actions = t.losePins(v, actions)
			t.vacate(v)
		}
	case PhaseEmpty:
	}
	return actions
}

// adoptSlot records an occupied slot that the table did not know of, for example that
// of a load which took effect after it was considered failed.
func (t *Table) adoptSlot(now time.Time, s ObservedSlot, actions []Action) []Action {
	v := t.versions[s.Version]
	if v == nil {
		v = newVersion(s.Version)
		v.source = s.Source
		v.workspace = WorkspaceOf(s.Version)
		t.versions[s.Version] = v
	}
	v.lastUsed = now
	if s.Loading {
		v.fence = t.nextFence()
		v.outcomeUnknown = true
		v.loadStarted = now
		t.setPhase(v, PhaseLoading)
		return actions
	}
	return t.resident(now, v, actions)
}

// Restarted records that the engine restarted empty. All pins are lost, waiting
// requests continue to wait, and outcomes of earlier orders will be ignored.
func (t *Table) Restarted(now time.Time) []Action {
	var actions []Action
	var successors []*version
	for _, name := range sortedKeys(t.slotted) {
		v := t.slotted[name]
		actions = t.losePins(v, actions)
		v.foreignPins = 0
		if v.successor != nil {
			successors = append(successors, v.successor)
		}
		if v.phase != PhaseEmpty {
			t.vacate(v)
		}
	}
	for _, v := range t.versions {
		v.failures = 0
		v.retryAt = time.Time{}
	}
	// The permits of the successors were already granted and will not be granted again.
	for _, v := range successors {
		actions = t.load(now, v, actions)
	}
	return t.plan(now, actions)
}

func (t *Table) losePins(v *version, actions []Action) []Action {
	for _, request := range sortedKeys(v.pins) {
		delete(v.pins, request)
		delete(t.holders, request)
		actions = append(actions, LostAction{Request: request})
	}
	return actions
}
