package loader

import "time"

// plan requests permits for the loads that can get a slot, and closes resident versions
// when requests have waited for a slot for Settings.SlotWaitTimeout.
func (t *Table) plan(now time.Time, actions []Action) []Action {
	if !t.needsPlanning(now) {
		return actions
	}
	for {
		v := t.nextPending(now)
		if v == nil {
			break
		}
		t.countOutOfOrder(now, v)
		t.setPermit(v, true)
		t.charge(v)
		t.permitsRequested++
		actions = append(actions, PermitAction{
			Version: v.name, Workspace: v.workspace, Share: v.share,
			Waiters: len(v.waiters), Oldest: v.oldest(),
		})
	}
	return t.updateClosing(now, actions)
}

// needsPlanning reports whether any version waits for a slot or is closing. Usually
// none does, and plan has nothing to do.
func (t *Table) needsPlanning(now time.Time) bool {
	for _, v := range t.waiting {
		if v.pending(now) {
			return true
		}
	}
	return t.closingCount() > 0
}

// nextPending returns the next version to request a permit for, or nil.
func (t *Table) nextPending(now time.Time) *version {
	return t.firstPending(now, t.permitsRequested%oldestFirstInterval == 0)
}

// firstPending returns the pending version that goes first, with the longest waits first if
// byAge is set; nil if there is none.
func (t *Table) firstPending(now time.Time, byAge bool) *version {
	f := t.fairness(now)
	var best *version
	for _, v := range t.waiting {
		if v.pending(now) && t.competingLoads(v) < t.maxPermits && t.hasSlotFor(v, f) && (best == nil || t.loadsBefore(now, v, best, byAge)) {
			best = v
		}
	}
	return best
}

// oldestFirstInterval is the number of permits out of which one goes to the longest
// waits, regardless of which requests can still be served in time.
const oldestFirstInterval = 4

// loadsBefore orders pending versions: first by workspace, the one with the fewest
// loads for its share first; then by the number of requests that can still be served in
// time; then, if requests are ranked, by rank and slack; then by total waiting time.
//
// After a loss of power, demand exceeds the rate of the store for some seconds. In
// order of arrival each load would serve requests that are already late, and make the
// next ones late as well. The longest waits go first at a fixed interval, so that late
// requests are served eventually.
func (t *Table) loadsBefore(now time.Time, a, b *version, byAge bool) bool {
	if t.settings.Policy == PolicyDemand {
		x, y := t.startTag(a), t.startTag(b)
		if x != y {
			return x < y
		}
		if !byAge {
			if m, n := a.servableInTime(now, t.settings), b.servableInTime(now, t.settings); m != n {
				return m > n
			}
		}
		if t.ranked() {
			if c := t.compareRanked(now, a, b, byAge); c != 0 {
				return c < 0
			}
		}
		x, y = waitWeight(now, a), waitWeight(now, b)
		if x != y {
			return x > y
		}
	}
	if !a.oldest().Equal(b.oldest()) {
		return a.oldest().Before(b.oldest())
	}
	return a.name < b.name
}

func waitWeight(now time.Time, v *version) float64 {
	return float64(len(v.waiters)) * (now.Sub(v.oldest()).Seconds() + 1)
}

// competingLoads returns the number of loads that count against the limit for v: those
// in progress, and those requested by its own workspace.
//
// If permits awaited by other workspaces were counted, a rush would use up the limit
// with requests that are far back in its own queue at the control leader. A quiet
// workspace, whose turn would come immediately there, could not even request a permit.
func (t *Table) competingLoads(v *version) int {
	n := 0
	for _, other := range t.slotted {
		if other.phase == PhaseLoading || other.victim != nil || other.permit && t.competes(v, other) {
			n++
		}
	}
	return n
}

// competes reports whether a permit requested for one of the versions blocks a request
// for the other: always with the baseline policy, otherwise only within a workspace.
func (t *Table) competes(v, other *version) bool {
	return t.settings.Policy != PolicyDemand || v.workspace == other.workspace
}

// pendingLoads returns the number of loads requested or in progress.
func (t *Table) pendingLoads() int {
	n := 0
	for _, v := range t.slotted {
		if v.permit || v.phase == PhaseLoading {
			n++
		}
	}
	return n
}

func (t *Table) occupied() int {
	n := 0
	for _, v := range t.slotted {
		if v.phase != PhaseEmpty {
			n++
		}
	}
	return n
}

// hasSlotFor reports whether a slot is available for v beyond those promised to permits
// that its own workspace waits for. Between workspaces, the slot goes to the one whose
// permit is granted first.
func (t *Table) hasSlotFor(v *version, f fairness) bool {
	promised := 0
	for _, other := range t.slotted {
		if other.permit && other.victim == nil && t.competes(v, other) {
			promised++
		}
	}
	return t.availableSlots(v, f) > promised
}

// availableSlots returns the number of slots that v could take now.
func (t *Table) availableSlots(v *version, f fairness) int {
	n := 0
	if f.mayGrow(v) {
		n = t.settings.Slots - t.occupied()
	}
	for _, other := range t.slotted {
		if other.evictable() && f.mayReplace(v, other) {
			n++
		}
	}
	return n
}

// victimFor returns the version to evict for v, or nil.
func (t *Table) victimFor(now time.Time, v *version) *version {
	f := t.fairness(now)
	var best *version
	for _, other := range t.slotted {
		if other.evictable() && f.mayReplace(v, other) && (best == nil || t.evictsBefore(now, other, best)) {
			best = other
		}
	}
	return best
}

// evictsBefore orders victims: closing versions first, then by increasing value.
func (t *Table) evictsBefore(now time.Time, a, b *version) bool {
	if a.closing != b.closing {
		return a.closing
	}
	if t.settings.Policy == PolicyLeastRecentlyUsed {
		if !a.lastUsed.Equal(b.lastUsed) {
			return a.lastUsed.Before(b.lastUsed)
		}
		return a.name < b.name
	}
	if x, y := a.value(now, t.settings), b.value(now, t.settings); x != y {
		return x < y
	}
	return a.name < b.name
}

// updateClosing closes a resident version for each pending version whose oldest request
// has waited for Settings.SlotWaitTimeout, and reopens versions that no longer need to be
// closed.
//
// Otherwise versions with a steady stream of requests would keep their slots forever,
// and requests for other versions would never run.
func (t *Table) updateClosing(now time.Time, actions []Action) []Action {
	f := t.fairness(now)
	needed := 0
	for _, name := range sortedKeys(t.waiting) {
		v := t.waiting[name]
		if !v.pending(now) || now.Sub(v.oldest()) < t.settings.SlotWaitTimeout {
			continue
		}
		needed++
		if t.closingCount() >= min(needed, t.settings.MaxPermits) {
			continue
		}
		if c := t.closable(now, v, f); c != nil {
			c.closing = true
		}
	}
	if needed > 0 || t.pendingLoads() > 0 {
		return actions
	}
	for _, name := range sortedKeys(t.slotted) {
		if v := t.slotted[name]; v.closing {
			v.closing = false
			actions = append(actions, ReadyAction{Version: name})
		}
	}
	return actions
}

func (t *Table) closingCount() int {
	n := 0
	for _, v := range t.slotted {
		if v.closing {
			n++
		}
	}
	return n
}

// closable returns the resident version to close for v, or nil. Candidates are versions
// that v may replace and that have been resident for at least Settings.SlotWaitTimeout;
// the longest resident is preferred.
func (t *Table) closable(now time.Time, v *version, f fairness) *version {
	var best *version
	for _, other := range t.slotted {
		if other.phase != PhaseResident || other.closing || !f.mayReplace(v, other) ||
			now.Sub(other.residentSince) < t.settings.SlotWaitTimeout {
			continue
		}
		if best == nil || closesBefore(other, best, f) {
			best = other
		}
	}
	return best
}

func closesBefore(a, b *version, f fairness) bool {
	if x, y := f.overShare(a), f.overShare(b); x != y {
		return x
	}
	if !a.residentSince.Equal(b.residentSince) {
		return a.residentSince.Before(b.residentSince)
	}
	return a.name < b.name
}
