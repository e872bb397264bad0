package loader

import "time"

// ObservedSlot is one occupied slot as the engine reports it.
type ObservedSlot struct {
	Version string
	Source  string
	Loading bool
	// InUse counts the accepted requests that use the version.
	InUse int
}

// Adopt takes over the state of a living engine at the companion's start. The
// requests that use a version are those of an earlier companion: they pin it
// until Observe reports them gone. A load under way is followed to its end by
// Observe.
func (t *Table) Adopt(now time.Time, slots []ObservedSlot) {
	for _, s := range slots {
		v := t.version(Want{Version: s.Version, Source: s.Source, Workspace: WorkspaceOf(s.Version)})
		v.foreign = s.InUse
		v.residentSince = now
		v.lastUsed = now
		v.began = now
		p := PhaseResident
		if s.Loading {
			p = PhaseLoading
			v.fence = t.nextFence()
			v.unsure = true
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

// Observe compares the table with the engine's state, which was asked for when
// Sequence was sequence. It settles the orders whose outcome is unknown and
// takes down the pins of an earlier companion. What changed since is left
// alone: the state may be older.
func (t *Table) Observe(now time.Time, sequence uint64, slots []ObservedSlot) []Action {
	seen := make(map[string]ObservedSlot, len(slots))
	for _, s := range slots {
		seen[s.Version] = s
	}
	var actions []Action
	for _, name := range sortedKeys(t.versions) {
		v := t.versions[name]
		s, present := seen[name]
		if v.foreign > 0 {
			v.foreign = min(v.foreign, s.InUse)
		}
		if v.changed <= sequence {
			actions = t.settle(now, v, s, present, actions)
		}
	}
	for _, s := range slots {
		if v := t.versions[s.Version]; v == nil || v.phase == PhaseEmpty && v.changed <= sequence && v.victim == nil {
			actions = t.found(now, s, actions)
		}
	}
	return t.plan(now, actions)
}

// settle brings one version in line with what the engine says of it.
func (t *Table) settle(now time.Time, v *version, s ObservedSlot, present bool, actions []Action) []Action {
	if v.phase != PhaseResident && !v.unsure {
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
		// The order has not taken effect: give it again.
		v.unsure = false
		v.doubted = true
		v.fence = t.nextFence()
		t.setPhase(v, PhaseEvicting)
		return append(actions, UnloadAction{Fence: v.fence, Version: v.name})
	case PhaseResident:
		if !present {
			actions = t.lose(v, actions)
			t.vacate(v)
		}
	case PhaseEmpty:
	}
	return actions
}

// found takes in a slot that the table did not know to be occupied, such as
// that of a load given up for failed which took effect after all.
func (t *Table) found(now time.Time, s ObservedSlot, actions []Action) []Action {
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
		v.unsure = true
		v.began = now
		t.setPhase(v, PhaseLoading)
		return actions
	}
	return t.resident(now, v, actions)
}

// Restarted says that the engine began anew, empty. All pins are lost, the
// waiters go on waiting, and answers to earlier orders will be ignored.
func (t *Table) Restarted(now time.Time) []Action {
	var actions []Action
	var heirs []*version
	for _, name := range sortedKeys(t.slotted) {
		v := t.slotted[name]
		actions = t.lose(v, actions)
		v.foreign = 0
		if v.heir != nil {
			heirs = append(heirs, v.heir)
		}
		if v.phase != PhaseEmpty {
			t.vacate(v)
		}
	}
	for _, v := range t.versions {
		v.failures = 0
		v.retryAt = time.Time{}
	}
	// The permits of the heirs were granted already; no one will grant them again.
	for _, v := range heirs {
		actions = t.load(now, v, actions)
	}
	return t.plan(now, actions)
}

func (t *Table) lose(v *version, actions []Action) []Action {
	for _, request := range sortedKeys(v.pins) {
		delete(v.pins, request)
		delete(t.holders, request)
		actions = append(actions, LostAction{Request: request})
	}
	return actions
}
