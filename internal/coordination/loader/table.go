package loader

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Table is the slot table of one engine.
type Table struct {
	settings Settings
	random   *rand.Rand

	versions map[string]*version
	// slotted holds the versions that have a slot or are promised one by a permit;
	// waiting holds those with waiting requests. Both are small compared to versions,
	// and all decisions except prefetching iterate over them alone.
	slotted map[string]*version
	waiting map[string]*version
	// workspaces holds the recent activity of each workspace.
	workspaces map[string]*workspaceActivity
	// virtual is the start tag of the last requested load. It never decreases.
	virtual float64
	// holders maps each request to the version that it waits for or pins.
	holders map[string]*version
	// fence is the last fencing number issued; it only increases.
	fence uint64
	// sequence increases with each change of a phase.
	sequence uint64
	// maxPermits bounds the loads requested or in progress. It does not exceed
	// Settings.MaxPermits.
	maxPermits int
	// permitsRequested is the number of permits requested so far.
	permitsRequested uint64
	stats            Stats
}

// Stats holds counters of a table's operations.
type Stats struct {
	Loads     uint64
	Failures  uint64
	Evictions uint64
	// Regrets counts evictions of a version that was requested again within the regret
	// window.
	Regrets uint64
	// Prefetches counts the loads that no request waited for when they were ordered.
	Prefetches uint64
	// OutOfOrder counts the permits that went to the longest wait ahead of requests that
	// precede it by rank.
	OutOfOrder uint64
}

// Want is a request that needs a version.
type Want struct {
	Request   string
	Workspace string
	// Share is the weight of the workspace; values less than 1 mean 1.
	Share   int
	Version string
	Source  string
	// Due is the time by which the request needs its version; zero means none.
	Due time.Time
	// Rank is the priority rank, 0 first. Loads follow the ranks while a request waits that
	// has Ranked set.
	Rank   int
	Ranked bool
}

// Residency is the state of one version in the table.
type Residency struct {
	Version string
	Phase   Phase
	Closing bool
	Pins    int
	Waiters int
}

// NewTable returns a table of empty slots. Its fencing numbers start above epoch<<32,
// so that a later membership has higher ones. It panics if s.Slots is not positive or
// random is nil.
func NewTable(s Settings, epoch uint64, random *rand.Rand) *Table {
	if random == nil {
		panic("loader: no random source")
	}
	s = s.withDefaults()
	return &Table{
		settings:   s,
		maxPermits: s.MaxPermits,
		random:     random,
		versions:   map[string]*version{}, slotted: map[string]*version{}, waiting: map[string]*version{},
		workspaces: map[string]*workspaceActivity{},
		holders:    map[string]*version{},
		fence:      epoch << epochShift,
	}
}

// epochShift allows 2^32 orders per membership.
const epochShift = 32

// RaiseFence raises the fencing numbers above those of the epoch and above seen, the
// highest number reported by the engine. They never decrease.
func (t *Table) RaiseFence(epoch, seen uint64) {
	t.fence = max(t.fence, epoch<<epochShift, seen)
}

// SetPermits sets the number of loads that may be requested or in progress, at most
// Settings.MaxPermits. With 0 no more loads are requested.
func (t *Table) SetPermits(n int) { t.maxPermits = min(n, t.settings.MaxPermits) }

// Fence returns the last fencing number issued.
func (t *Table) Fence() uint64 { return t.fence }

// Slots returns the number of slots.
func (t *Table) Slots() int { return t.settings.Slots }

// Stats returns the counters since the table was created.
func (t *Table) Stats() Stats { return t.stats }

// Sequence returns a number that increases with each change of a phase. It must be read
// before requesting the engine state that is passed to Observe.
func (t *Table) Sequence() uint64 { return t.sequence }

// Phase returns the phase of the version.
func (t *Table) Phase(name string) Phase {
	if v := t.versions[name]; v != nil {
		return v.phase
	}
	return PhaseEmpty
}

// Ready reports whether the version can be pinned.
func (t *Table) Ready(name string) bool {
	v := t.versions[name]
	return v != nil && v.phase == PhaseResident && !v.closing && !v.replaced
}

// OrderInFlight reports whether the order with the fencing number is the one in flight
// for the version.
func (t *Table) OrderInFlight(name string, fence uint64) bool {
	v := t.versions[name]
	return v != nil && v.fence == fence
}

// LoadTime returns the expected duration of a load of the version.
func (t *Table) LoadTime(name string) time.Duration {
	if v := t.versions[name]; v != nil {
		return v.expectedLoad(t.settings)
	}
	return t.settings.AssumedLoadTime
}

// Residencies appends the versions that occupy slots to dst, sorted by name,
// and returns it.
func (t *Table) Residencies(dst []Residency) []Residency {
	from := len(dst)
	for _, v := range t.slotted {
		if v.phase != PhaseEmpty {
			dst = append(dst, Residency{
				Version: v.name, Phase: v.phase, Closing: v.closing,
				Pins: len(v.pins) + v.foreignPins, Waiters: len(v.waiters),
			})
		}
	}
	slices.SortFunc(dst[from:], func(a, b Residency) int { return cmp.Compare(a.Version, b.Version) })
	return dst
}

// Want makes the request wait for its version. A FailAction among the actions means
// that the request does not wait, because a failed load is still backing off. Want
// panics if the request already waits for or pins a version.
func (t *Table) Want(now time.Time, w Want) []Action {
	if t.holders[w.Request] != nil {
		panic("loader: request wants a second version")
	}
	v := t.version(w)
	v.recordRequest(now, t.settings.HalfLife)
	v.lastUsed = now
	t.activity(v).recordRequest(now, t.settings.HalfLife)
	if !v.evictedAt.IsZero() && now.Sub(v.evictedAt) < t.settings.RegretWindow {
		t.stats.Regrets++
	}
	v.evictedAt = time.Time{}
	if v.phase == PhaseEmpty && now.Before(v.retryAt) {
		return []Action{FailAction{
			Request: w.Request, Version: v.name, RetryAfter: v.retryAt.Sub(now), Cause: "load failed before",
		}}
	}
	v.waiters[w.Request] = waiter{since: now, due: w.Due, rank: w.Rank, ranked: w.Ranked}
	t.updateIndex(v)
	t.holders[w.Request] = v
	return t.plan(now, t.withdraw(v, nil))
}

// Pin makes a waiting request use its version, and reports whether it does. It fails if
// the version is not resident, is closing, or is being replaced.
func (t *Table) Pin(request string) bool {
	v := t.holders[request]
	if v == nil || v.phase != PhaseResident || v.closing || v.replaced {
		return false
	}
	if _, waits := v.waiters[request]; !waits {
		return false
	}
	delete(v.waiters, request)
	v.pins[request] = struct{}{}
	t.updateIndex(v)
	return true
}

// Release ends the request's wait or its pin. For a pin it must only be called when the
// engine can no longer be working on the request. A load in progress continues.
func (t *Table) Release(now time.Time, request string) []Action {
	v := t.holders[request]
	if v == nil {
		return nil
	}
	delete(t.holders, request)
	delete(v.waiters, request)
	t.updateIndex(v)
	if _, pinned := v.pins[request]; pinned {
		delete(v.pins, request)
		v.lastUsed = now
	}
	return t.plan(now, t.withdraw(v, t.evictReplaced(v)))
}

// Replace records that a later version replaces the named one, which then takes no new
// pins and is evicted once no request uses it. An engine holds one version of an
// adapter at a time, so the later one cannot be loaded before that.
func (t *Table) Replace(now time.Time, name string) []Action {
	v := t.versions[name]
	if v == nil || v.phase == PhaseEmpty {
		return nil
	}
	v.replaced = true
	return t.plan(now, t.evictReplaced(v))
}

func (t *Table) evictReplaced(v *version) []Action {
	if !v.replaced || v.phase != PhaseResident || v.pinned() {
		return nil
	}
	return t.evict(v)
}

// Tick performs what has become due: loads after a back-off, closing, and prefetches.
// It should be called about once per second.
func (t *Table) Tick(now time.Time) []Action {
	for name, v := range t.versions {
		if v.removable(now, t.settings.HalfLife) {
			delete(t.versions, name)
		}
	}
	for name, a := range t.workspaces {
		if a.demandNow(now, t.settings.HalfLife) < minDemand && a.finish <= t.virtual {
			delete(t.workspaces, name)
		}
	}
	return t.prefetch(now, t.plan(now, nil))
}

// minDemand is the demand below which an unused version or workspace is removed.
const minDemand = 1.0 / 64

func (v *version) removable(now time.Time, halfLife time.Duration) bool {
	return v.phase == PhaseEmpty && !v.permit && len(v.waiters) == 0 &&
		!now.Before(v.retryAt) && v.demandNow(now, halfLife) < minDemand
}

func (t *Table) version(w Want) *version {
	v := t.versions[w.Version]
	if v == nil {
		v = newVersion(w.Version)
		t.versions[w.Version] = v
	}
	v.source = w.Source
	v.workspace = w.Workspace
	v.share = max(1, w.Share)
	return v
}

func newVersion(name string) *version {
	return &version{name: name, share: 1, pins: map[string]struct{}{}, waiters: map[string]waiter{}}
}

func (t *Table) setPhase(v *version, p Phase) {
	t.sequence++
	v.phase = p
	v.changed = t.sequence
	if p != PhaseResident {
		v.closing = false
	}
	if p == PhaseEmpty {
		v.replaced = false
	}
	t.updateIndex(v)
}

// updateIndex updates slotted and waiting for v.
func (t *Table) updateIndex(v *version) {
	if v.phase != PhaseEmpty || v.permit {
		t.slotted[v.name] = v
	} else {
		delete(t.slotted, v.name)
	}
	if len(v.waiters) > 0 {
		t.waiting[v.name] = v
	} else {
		delete(t.waiting, v.name)
	}
}

func (t *Table) setPermit(v *version, out bool) {
	v.permit = out
	v.prefetch = out && len(v.waiters) == 0
	v.withdrawn = false
	t.updateIndex(v)
}

func (t *Table) nextFence() uint64 {
	t.fence++
	return t.fence
}

// Pins returns the number of requests that pin the version.
func (t *Table) Pins(name string) int {
	if v := t.versions[name]; v != nil {
		return len(v.pins)
	}
	return 0
}

// ForeignPins returns the number of requests of an earlier companion that still pin
// versions.
func (t *Table) ForeignPins() int {
	n := 0
	for _, v := range t.slotted {
		n += v.foreignPins
	}
	return n
}

// FreeSlots returns the number of slots that are empty or evictable now.
func (t *Table) FreeSlots() int {
	n := t.settings.Slots - t.occupied()
	for _, v := range t.slotted {
		if v.evictable() {
			n++
		}
	}
	return n
}

// LoadsWaiting returns the number of versions that requests wait for and that are not
// resident.
func (t *Table) LoadsWaiting() int {
	n := 0
	for _, v := range t.waiting {
		if v.phase != PhaseResident {
			n++
		}
	}
	return n
}
