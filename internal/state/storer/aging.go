package storer

import (
	"bytes"
	"time"
)

// expiryEntry identifies an item that expires, as of its change at one index.
type expiryEntry struct {
	workspace, key string
	index          uint64
	time           Instant
}

// expiryQueue orders the items of one type by the index of their last change, and
// therefore also by time.
type expiryQueue struct {
	// entries are sorted by index. An entry whose item was changed or removed
	// later is stale and is skipped.
	entries []expiryEntry
	// count is the number of existing items.
	count int
}

func (a *expiryQueue) push(e expiryEntry) { a.entries = append(a.entries, e) }

// expire pops the entries that have expired by r at the index head and the time
// now, and passes each to remove, which reports whether it removed an item.
func (a *expiryQueue) expire(r Retention, age time.Duration, head uint64, now Instant, remove func(expiryEntry) bool) {
	n := 0
	for n < len(a.entries) && r.expired(age, a.entries[n].index, a.entries[n].time, head, now) {
		if remove(a.entries[n]) {
			a.count--
		}
		a.entries[n] = expiryEntry{}
		n++
	}
	a.entries = a.entries[n:]
}

// removeOldest removes the oldest existing item. It pops entries and passes each to
// remove until remove reports that it removed an item.
func (a *expiryQueue) removeOldest(remove func(expiryEntry) bool) {
	for len(a.entries) > 0 {
		e := a.entries[0]
		a.entries[0] = expiryEntry{}
		a.entries = a.entries[1:]
		if remove(e) {
			a.count--
			return
		}
	}
}

// expire removes the items that have expired at the index being applied.
func (s *Store) expire() {
	s.records.expire(s.retention, s.retention.IdempotencyAge, s.applied, s.now, s.removeExpiredRecord)
	s.claims.expire(s.retention, s.retention.ClaimAge, s.applied, s.now, s.removeExpiredClaim)
	s.retired.expire(s.retention, s.retention.VersionNameAge, s.applied, s.now, s.removeExpiredRetired)
	s.departures.expire(s.retention, departureAge, s.applied, s.now, s.removeExpiredDeparture)
	s.releases.expire(s.retention, releaseAge, s.applied, s.now, s.removeExpiredRelease)
}

func (s *Store) removeExpiredRecord(e expiryEntry) bool {
	return removeIfUnchanged(s.shard(e.workspace), e, func(p *space) (map[string]record, uint64) {
		return p.records, p.records[e.key].Index
	})
}

func (s *Store) removeExpiredClaim(e expiryEntry) bool {
	return removeIfUnchanged(s.shard(e.workspace), e, func(p *space) (map[string]Claim, uint64) {
		return p.claims, p.claims[e.key].Index
	})
}

func (s *Store) removeExpiredRetired(e expiryEntry) bool {
	return removeIfUnchanged(s.shard(e.workspace), e, func(p *space) (map[string]retiredVersion, uint64) {
		return p.retired, p.retired[e.key].Index
	})
}

// removeIfUnchanged removes the item of e unless the item was changed later, and
// reports whether it did.
func removeIfUnchanged[T any](h *shard, e expiryEntry, find func(p *space) (m map[string]T, index uint64)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.spaces[e.workspace]
	if !ok {
		return false
	}
	m, index := find(p)
	if index != e.index {
		return false
	}
	delete(m, e.key)
	h.removeIfEmpty(e.workspace)
	return true
}

// removeIfEmpty removes the space of a workspace if it is empty. The caller holds
// mu for writing.
func (h *shard) removeIfEmpty(workspace string) {
	if p, ok := h.spaces[workspace]; ok && p.empty() {
		delete(h.spaces, workspace)
	}
}

// replayedResult returns the result of a change that was applied before, or false
// if there is no record of it.
func (s *Store) replayedResult(workspace string, e Envelope) (Result, bool) {
	h := s.shard(workspace)
	h.mu.RLock()
	defer h.mu.RUnlock()
	p, ok := h.spaces[workspace]
	if !ok {
		return Result{}, false
	}
	first, ok := p.records[e.IdempotencyKey]
	if !ok {
		return Result{}, false
	}
	if !bytes.Equal(first.Digest, e.Digest) {
		return Result{Verdict: VerdictKeyReused, Reason: "the idempotency key belongs to another change"}, true
	}
	result := first.Result
	result.Replayed = true
	return result, true
}

// storeRecord stores the first result of a change.
func (s *Store) storeRecord(r record) {
	h := s.shard(r.Workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.space(r.Workspace).records[r.Key] = r
	s.records.count++
	s.records.push(expiryEntry{workspace: r.Workspace, key: r.Key, index: r.Index, time: r.Time})
}

// recordRetiredVersion binds a deleted version's name to its content. The caller
// holds the lock of p's shard.
func (s *Store) recordRetiredVersion(index uint64, p *space, r Resource) {
	adapter, _, _ := SplitVersionName(r.Metadata.Name)
	a, _ := p.get(KindAdapter, adapter)
	if _, ok := p.retired[r.Metadata.Name]; !ok {
		s.retired.count++
	}
	p.retired[r.Metadata.Name] = retiredVersion{
		Workspace: r.Metadata.Workspace,
		Name:      r.Metadata.Name,
		Content:   versionDigest(a, r.Spec.(VersionSpec)),
		Index:     index,
		Time:      s.now,
	}
	s.retired.push(expiryEntry{workspace: r.Metadata.Workspace, key: r.Metadata.Name, index: index, time: s.now})
}
