package storer

import (
	"bytes"
	"time"
)

// aged is one thing that expires, as it was at one index.
type aged struct {
	workspace, key string
	index          uint64
	time           Instant
}

// aging orders the things of one sort by the index of their last change, and
// therefore by their time too.
type aging struct {
	// queue rises by index. An entry whose thing was changed or removed later
	// is stale and passed over.
	queue []aged
	// live counts the things that exist.
	live int
}

func (a *aging) push(e aged) { a.queue = append(a.queue, e) }

// expire pops the entries which r lets go at head and now, and hands each to
// remove, which reports whether it removed a thing.
func (a *aging) expire(r Retention, age time.Duration, head uint64, now Instant, remove func(aged) bool) {
	n := 0
	for n < len(a.queue) && r.expired(age, a.queue[n].index, a.queue[n].time, head, now) {
		if remove(a.queue[n]) {
			a.live--
		}
		a.queue[n] = aged{}
		n++
	}
	a.queue = a.queue[n:]
}

// dropOldest removes the oldest thing that exists. It pops entries and hands each to
// remove until remove reports that it removed a thing.
func (a *aging) dropOldest(remove func(aged) bool) {
	for len(a.queue) > 0 {
		e := a.queue[0]
		a.queue[0] = aged{}
		a.queue = a.queue[1:]
		if remove(e) {
			a.live--
			return
		}
	}
}

// expire forgets what is old enough at the index being applied.
func (s *Store) expire() {
	s.records.expire(s.retention, s.retention.IdempotencyAge, s.applied, s.now, s.forgetRecord)
	s.claims.expire(s.retention, s.retention.ClaimAge, s.applied, s.now, s.forgetClaim)
	s.retired.expire(s.retention, s.retention.VersionNameAge, s.applied, s.now, s.forgetRetired)
	s.departures.expire(s.retention, departureAge, s.applied, s.now, s.forgetDeparture)
}

func (s *Store) forgetRecord(e aged) bool {
	return forget(s.shard(e.workspace), e, func(p *space) (map[string]record, uint64) {
		return p.records, p.records[e.key].Index
	})
}

func (s *Store) forgetClaim(e aged) bool {
	return forget(s.shard(e.workspace), e, func(p *space) (map[string]Claim, uint64) {
		return p.claims, p.claims[e.key].Index
	})
}

func (s *Store) forgetRetired(e aged) bool {
	return forget(s.shard(e.workspace), e, func(p *space) (map[string]retiredVersion, uint64) {
		return p.retired, p.retired[e.key].Index
	})
}

// forget removes the thing which e tells of, unless it was changed since.
func forget[T any](h *shard, e aged, find func(p *space) (m map[string]T, index uint64)) bool {
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
	h.sweep(e.workspace)
	return true
}

// sweep drops a workspace's part when nothing is left in it. The caller holds
// mu for writing.
func (h *shard) sweep(workspace string) {
	if p, ok := h.spaces[workspace]; ok && p.empty() {
		delete(h.spaces, workspace)
	}
}

// replay returns the answer to a change which was applied before.
func (s *Store) replay(workspace string, e Envelope) (Result, bool) {
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

// remember keeps the first answer to a change.
func (s *Store) remember(r record) {
	h := s.shard(r.Workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.space(r.Workspace).records[r.Key] = r
	s.records.live++
	s.records.push(aged{workspace: r.Workspace, key: r.Key, index: r.Index, time: r.Time})
}

// retire binds a deleted version's name to its content. The caller holds the
// lock of p's shard.
func (s *Store) retire(index uint64, p *space, r Resource) {
	adapter, _, _ := SplitVersionName(r.Metadata.Name)
	a, _ := p.get(KindAdapter, adapter)
	if _, ok := p.retired[r.Metadata.Name]; !ok {
		s.retired.live++
	}
	p.retired[r.Metadata.Name] = retiredVersion{
		Workspace: r.Metadata.Workspace,
		Name:      r.Metadata.Name,
		Content:   versionContent(a, r.Spec.(VersionSpec)),
		Index:     index,
		Time:      s.now,
	}
	s.retired.push(aged{workspace: r.Metadata.Workspace, key: r.Metadata.Name, index: index, time: s.now})
}
