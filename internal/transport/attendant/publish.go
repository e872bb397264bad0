package attendant

import (
	"math/bits"
	"slices"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// maxCachedInFullState is the number of prompt part hashes in a full state: the parts that
// are reused are among the most recently used.
const maxCachedInFullState = 40

// publish sends a group of entries the engine's state when it has changed: the full state
// to new subscribers, and to the others the changes since the last update. With full states
// only, as JSON objects, this was half of the traffic between failure domains at 25 entries
// and 46 engines.
func (a *Attendant) publish(group *subscriberGroup) {
	for a.pause(a.settings.PublishInterval) {
		for _, update := range a.changes(group) {
			if len(update.entries) == 0 {
				continue
			}
			params, err := messenger.EncodeNotice(update.state)
			if err != nil {
				a.settings.Log.Error().Err(err).Msg("could not encode the engine state")
				continue
			}
			for _, conn := range update.entries {
				// An entry whose connection failed is removed, and gets the full state on
				// its next connection.
				_ = conn.Notify(a.root, messenger.MethodState, params)
			}
		}
		a.publishCache(group)
		state, entries := a.limitUpdate(group)
		for _, conn := range entries {
			_ = conn.Notify(a.root, messenger.MethodLimitState, state)
		}
		a.publishSpeed(group)
		a.publishLongPrompts(group)
	}
}

// limitUpdate returns the state of the engine's limit and the connections that it is to be
// sent to.
func (a *Attendant) limitUpdate(group *subscriberGroup) (placer.LimitState, []*messenger.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	state := a.limitState(now)
	interval := placer.ReportInterval(a.settings.PublishInterval, len(group.conns), group == a.localEntries)
	return state, group.limitReceivers(now, state, interval)
}

// update is a state and the connections that it is to be sent to.
type update struct {
	state   placer.EngineState
	entries []*messenger.Conn
}

// markChanged records that the state may have to be published. The caller holds mu.
func (a *Attendant) markChanged() {
	a.localEntries.changed, a.remoteEntries.changed = true, true
}

// distributeChanges hands the evictions and cached parts since the last call to both
// groups. The caller holds mu.
func (a *Attendant) distributeChanges() {
	for _, group := range []*subscriberGroup{a.localEntries, a.remoteEntries} {
		group.newlyEvicted = append(group.newlyEvicted, a.newlyEvicted...)
		group.newlyCached = append(group.newlyCached, a.cache.added...)
		if len(group.conns) == 0 {
			group.newlyEvicted, group.newlyCached, group.full = nil, nil, true
		}
	}
	a.newlyEvicted, a.cache.added = nil, nil
}

// changes returns the updates that are due for a group.
func (a *Attendant) changes(group *subscriberGroup) []update {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !group.changed || a.table == nil {
		return nil
	}
	a.distributeChanges()
	if len(group.conns) == 0 {
		return nil
	}
	now := a.settings.Now()
	if !group.full && now.Sub(group.publishedAt) < placer.ReportInterval(a.settings.PublishInterval, len(group.conns), group == a.localEntries) {
		// New subscribers get the published state at once; the next changes are based on
		// it.
		return []update{{state: group.published, entries: group.takeUnsynced()}}
	}
	full := a.fullState()
	changes := group.changes(&full)
	if !group.significant(now, &full, &changes) {
		group.changed = false
		return []update{{state: group.published, entries: group.takeUnsynced()}}
	}
	full.Sequence = group.published.Sequence + 1
	changes.Sequence = full.Sequence
	if group.full {
		changes = full
	}
	group.recordPublished(now, &full)
	synced := group.takeConns(true)
	return []update{{state: changes, entries: synced}, {state: full, entries: group.takeUnsynced()}}
}

// fullState returns the complete state of the engine. The caller holds mu.
func (a *Attendant) fullState() placer.EngineState {
	s := placer.EngineState{
		Name: a.settings.Name, Incarnation: a.incarnation, Life: a.generation, Whole: true,
		Running: len(a.admissions), BacklogMillis: a.backlogMillis(), WaitingMillis: a.waitingMillis(),
		MaxAdapters: a.table.Slots(),
		Recent:      slices.Clone(a.evicted), Cached: a.cache.newest(nil, maxCachedInFullState),
	}
	for _, m := range a.report.Models {
		s.Models = append(s.Models, m.Name)
	}
	for _, r := range a.table.Residencies(nil) {
		model, adapter, version := splitVersion(r.Version)
		s.Adapters = append(s.Adapters, placer.AdapterState{
			Name: adapterName(model, adapter), Version: version,
			Loading: r.Phase != loader.PhaseResident, Pins: floorPowerOfTwo(r.Pins + r.Waiters),
		})
	}
	return s
}

// floorPowerOfTwo rounds a number of requests down to a power of two: the choice of an
// engine depends on whether a slot is in use, and on whether few or many requests share it.
func floorPowerOfTwo(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 << (bits.Len(uint(n)) - 1)
}
