package attendant

import (
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/cacher"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// cachePublishInterval is the shortest time between two reports on the cache to a group of
// entries. With at most cacher.MaxChangedParts in a report, it bounds what the reports of an
// engine take of an entry's link.
//
// At 400 ms, 47 engines and 42 entries needed half as much processor time again as without such
// reports.
const cachePublishInterval = time.Second

// maxCachePublishInterval keeps the reports to many entries younger than cacher.MaxAge.
const maxCachePublishInterval = 1500 * time.Millisecond

// publishedCache is what a group of entries knows of the engine's cache. It is guarded by
// Attendant.mu.
type publishedCache struct {
	publication cacher.Publication
	// last is the last update, published at the time at with the given sequence.
	last     cacher.Update
	at       time.Time
	sequence uint64
	// synced holds the connections that have got the last update.
	synced map[*messenger.Conn]struct{}
}

// cacheUpdate is a report on the cache and the connections that it is to be sent to.
type cacheUpdate struct {
	state   placer.CacheState
	entries []*messenger.Conn
}

// beginPrompt records that the prompt of an admitted request is prefilled. The caller holds mu.
func (a *Attendant) beginPrompt(adm *admission) {
	parts := make([]cacher.Part, 0, len(adm.msg.Parts))
	previous := uint32(0)
	for _, p := range adm.msg.Parts {
		previous = placer.PartHash(adm.msg.Model, adm.msg.Adapter, adm.version, previous, p.ID)
		parts = append(parts, cacher.Part{Hash: previous, Tokens: max(0, p.Tokens)})
	}
	adm.prompt = a.memory.Begin(versionName(adm.msg.Model, adm.msg.Adapter, adm.version), parts, adm.msg.Tokens)
}

// applyMemory applies the memory of a report, and drops the parts of adapters and models that
// the engine no longer has loaded. Held is the snapshot from
// before the report was requested. The caller holds mu.
func (a *Attendant) applyMemory(r Report, held cacher.Snapshot) {
	a.memory.SetMemory(cacher.Memory{Used: r.MemoryUsed, Total: r.MemoryTotal}, held)
	slots := r.slots()
	a.memory.Retain(func(owner string) bool {
		model, adapter, _ := splitVersion(owner)
		if !r.hasModel(model) {
			return false
		}
		return adapter == "" || slices.ContainsFunc(slots, func(s slot) bool { return s.version == owner && !s.loading })
	})
}

// publishCache sends a group of entries the reports on the cache that are due.
func (a *Attendant) publishCache(group *subscriberGroup) {
	for _, update := range a.cacheUpdates(group) {
		if len(update.entries) == 0 {
			continue
		}
		params, err := messenger.EncodeNotice(update.state)
		if err != nil {
			a.settings.Log.Error().Err(err).Msg("could not encode the cache state")
			continue
		}
		for _, conn := range update.entries {
			_ = conn.Notify(a.root, messenger.MethodCacheState, params)
		}
	}
}

// cacheUpdates returns the reports on the cache that are due for a group: the changes for the
// entries that have the last report, and the whole state for the others. Nothing is reported of
// an engine that does not report its memory, or whose prompts are not weighed. A report is also sent if nothing has changed, since
// entries stop using an old one.
func (a *Attendant) cacheUpdates(group *subscriberGroup) []cacheUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &group.cache
	if !a.memory.Known() || a.incarnation == "" || len(group.conns) == 0 || a.settings.PromptCache.Resolve(a.speedReports) != cacher.ModeWeighed {
		return nil
	}
	var updates []cacheUpdate
	now := a.settings.Now()
	interval := min(placer.ReportInterval(cachePublishInterval, len(group.conns), group == a.localEntries), maxCachePublishInterval)
	if p.at.IsZero() || now.Sub(p.at) >= interval {
		p.last, p.at = p.publication.Change(a.memory), now
		p.sequence++
		changes := placer.CacheState{Life: a.generation, Sequence: p.sequence, Update: p.last}
		updates = append(updates, cacheUpdate{state: changes, entries: p.takeConns(group, true)})
	}
	whole := placer.CacheState{
		Name: a.settings.Name, Incarnation: a.incarnation, Life: a.generation, Sequence: p.sequence, Update: p.publication.Whole(p.last),
	}
	return append(updates, cacheUpdate{state: whole, entries: p.takeConns(group, false)})
}

// takeConns returns the group's connections that have got the last report, or those that have
// not, and marks them as synced.
func (p *publishedCache) takeConns(group *subscriberGroup, synced bool) []*messenger.Conn {
	var conns []*messenger.Conn
	for conn := range p.synced {
		if _, subscribed := group.conns[conn]; !subscribed {
			delete(p.synced, conn)
		}
	}
	for conn := range group.conns {
		if _, is := p.synced[conn]; is == synced {
			conns = append(conns, conn)
		}
	}
	if p.synced == nil {
		p.synced = make(map[*messenger.Conn]struct{})
	}
	for _, conn := range conns {
		p.synced[conn] = struct{}{}
	}
	return conns
}

// clearCache drops what is known of the memory of an engine that has restarted. All entries get
// the whole state next. The caller holds mu.
func (a *Attendant) clearCache() {
	a.memory.Clear()
	for _, group := range []*subscriberGroup{a.localEntries, a.remoteEntries} {
		sequence := group.cache.sequence
		group.cache = publishedCache{sequence: sequence}
	}
}

// exceedsPrefill reports whether a request would wait longer here than it takes to prefill its
// prompt elsewhere, by what its entry expects.
func exceedsPrefill(m messenger.Admit, wait time.Duration) bool {
	return wait.Milliseconds() >= m.ExpectedMillis+m.MaxExcessMillis
}
