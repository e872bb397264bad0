package storer

import (
	"cmp"
	"slices"
)

// Revision returns the log index of the last command that changed a resource.
func (s *Store) Revision() uint64 { return s.revision.Load() }

// Applied returns the log index of the last applied command.
func (s *Store) Applied() uint64 {
	s.applying.Lock()
	defer s.applying.Unlock()
	return s.applied
}

// Retention returns the retention limits in force.
func (s *Store) Retention() Retention {
	s.applying.Lock()
	defer s.applying.Unlock()
	return s.retention
}

// Get returns a resource, or false if it does not exist.
func (s *Store) Get(k Key) (Resource, bool) {
	k = k.normalized()
	if k.Kind <= KindNone || k.Kind > kindLast {
		return Resource{}, false
	}
	h := s.shard(k.Workspace)
	h.mu.RLock()
	defer h.mu.RUnlock()
	p, ok := h.spaces[k.Workspace]
	if !ok {
		return Resource{}, false
	}
	return p.get(k.Kind, k.Name)
}

// List returns the resources of a kind in a workspace, sorted by name, and the
// revision from which a watcher can continue. Workspaces, and kinds that belong
// to no workspace, are listed over the whole state, whatever the workspace; an
// empty workspace lists any other kind over all workspaces.
func (s *Store) List(kind Kind, workspace string) (rs []Resource, revision uint64) {
	if kind <= KindNone || kind > kindLast {
		return nil, s.Revision()
	}
	if workspace == "" || kind == KindWorkspace || kind.shared() {
		rs, revision = s.collect(kind, kind)
		slices.SortFunc(rs, compareResources)
		return rs, revision
	}
	h := s.shard(workspace)
	h.mu.RLock()
	defer h.mu.RUnlock()
	if p, ok := h.spaces[workspace]; ok {
		rs = p.appendResources(rs, kind)
	}
	return rs, s.Revision()
}

// All returns all resources, sorted by kind, workspace and name, and their
// common revision.
func (s *Store) All() (rs []Resource, revision uint64) {
	rs, revision = s.collect(KindWorkspace, kindLast)
	slices.SortFunc(rs, compareResources)
	return rs, revision
}

// collect returns the resources of the kinds from first to last at one
// revision, unsorted.
func (s *Store) collect(first, last Kind) (rs []Resource, revision uint64) {
	s.lockShards()
	defer s.unlockShards()
	count := 0
	s.eachOf(first, last, func(m map[string]Resource) { count += len(m) })
	rs = make([]Resource, 0, count)
	s.eachOf(first, last, func(m map[string]Resource) {
		for _, r := range m {
			rs = append(rs, r)
		}
	})
	return rs, s.Revision()
}

// eachOf calls visit with the resources of each workspace and each kind from
// first to last. The caller holds the locks of all shards.
func (s *Store) eachOf(first, last Kind, visit func(map[string]Resource)) {
	for i := range s.shards {
		for _, p := range s.shards[i].spaces {
			for kind := first; kind <= last; kind++ {
				visit(p.resources[kind])
			}
		}
	}
}

// lockShards acquires the read locks of all shards, so that a consistent state
// can be read.
func (s *Store) lockShards() {
	for i := range s.shards {
		s.shards[i].mu.RLock()
	}
}

func (s *Store) unlockShards() {
	for i := range s.shards {
		s.shards[i].mu.RUnlock()
	}
}

func compareResources(a, b Resource) int {
	return cmp.Or(
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Metadata.Workspace, b.Metadata.Workspace),
		cmp.Compare(a.Metadata.Name, b.Metadata.Name),
	)
}

// Claim returns the claim of a call, or false if there is none.
func (s *Store) Claim(workspace, key string) (Claim, bool) {
	h := s.shard(workspace)
	h.mu.RLock()
	defer h.mu.RUnlock()
	p, ok := h.spaces[workspace]
	if !ok {
		return Claim{}, false
	}
	c, ok := p.claims[key]
	return c, ok
}
