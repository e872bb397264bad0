package indexer

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/zeebo/xxh3"

	"marigoldpoint.example/marigoldpoint/internal/state/blamer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

const (
	shardBits  = 5
	shardCount = 1 << shardBits
)

// Settings are the options of an index. There are none yet.
type Settings struct{}

// Index is the compact replica of one node. Its methods are safe for concurrent use.
type Index struct {
	// writeLock is held by Apply and StateLoad.Finish and serializes them.
	writeLock sync.Mutex

	adapters   [shardCount]adapters
	workspaces [shardCount]workspaces
	keys       keys
	members    atomic.Pointer[MemberView]
	suspects   atomic.Pointer[blamer.List]
	// revision is the revision of the whole replica. It never decreases.
	revision atomic.Uint64
}

// NewIndex returns an empty replica at revision 0.
func NewIndex(Settings) *Index {
	x := &Index{}
	for i := range x.workspaces {
		x.workspaces[i].data = map[string]*workspaceRecord{}
	}
	x.keys.data = newKeyData()
	x.members.Store(&MemberView{})
	return x
}

// Revision returns the revision of the replica.
func (x *Index) Revision() uint64 { return x.revision.Load() }

// Members returns the membership. It returns the same view until a member changes.
func (x *Index) Members() MemberView { return *x.members.Load() }

// Suspects returns the requests during which backend servers ended. It returns the same
// list until one of them changes.
func (x *Index) Suspects() *blamer.List { return x.suspects.Load() }

func (x *Index) adapterShard(hash uint64) *adapters { return &x.adapters[shardOf(hash)] }

func shardOf(hash uint64) int { return int(hash >> (64 - shardBits)) }

func (x *Index) workspaceShard(workspace string) *workspaces {
	return &x.workspaces[workspaceShardIndex(workspace)]
}

func workspaceShardIndex(workspace string) int {
	return int(xxh3.HashString(workspace) >> (64 - shardBits))
}

// Resolve returns the adapter version for a call; an empty version means the current
// one. The errors are ErrUnknownAdapter, ErrUnknownVersion and ErrNoCurrent. It does not
// allocate.
func (x *Index) Resolve(workspace, adapter, version string) (Target, error) {
	hash := hashOf(workspace, adapter)
	s := x.adapterShard(hash)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.resolve(hash, workspace, adapter, version)
}

// Rule returns the most specific priority rule for a call of the adapter with the key
// of that name, and whether there is one. It does not allocate.
func (x *Index) Rule(workspace, adapter, key string) (storer.PriorityRuleSpec, bool) {
	s := x.workspaceShard(workspace)
	s.mu.RLock()
	defer s.mu.RUnlock()
	record, ok := s.data[workspace]
	if !ok {
		return storer.PriorityRuleSpec{}, false
	}
	return record.rules.find(adapter, key)
}

// KeyByHash returns the holder of the bearer key with the given SHA-256 hash, and whether
// there is one.
func (x *Index) KeyByHash(hash [32]byte) (KeyHolder, bool) {
	x.keys.mu.RLock()
	defer x.keys.mu.RUnlock()
	return x.keys.data.find(hash)
}

// Service returns a plain service of a workspace, and whether it exists.
func (x *Index) Service(workspace, name string) (storer.ServiceSpec, bool) {
	s := x.workspaceShard(workspace)
	s.mu.RLock()
	defer s.mu.RUnlock()
	record, ok := s.data[workspace]
	if !ok {
		return storer.ServiceSpec{}, false
	}
	spec, ok := record.services[name]
	return spec, ok
}

// Workspace returns a workspace, and whether it exists.
func (x *Index) Workspace(name string) (storer.WorkspaceSpec, bool) {
	s := x.workspaceShard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	record, ok := s.data[name]
	if !ok {
		return storer.WorkspaceSpec{}, false
	}
	return record.spec, true
}

// Models returns the models of a workspace, sorted by name. It iterates over all
// adapters of the replica.
func (x *Index) Models(workspace string) []Model {
	var models []Model
	for i := range x.adapters {
		models = x.adapters[i].appendModels(models, workspace)
	}
	slices.SortFunc(models, func(a, b Model) int { return strings.Compare(a.Name, b.Name) })
	return models
}

func (s *adapters) appendModels(models []Model, workspace string) []Model {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.appendModels(models, workspace)
}

// Apply updates the replica from its revision to upTo. It ignores changes that are not
// newer than the replica, so that a delta may be delivered twice, late or overlapping
// with another. A change that contradicts the contents of the replica is an error: the
// revision then stays as it was, and the replica needs a Reset.
func (x *Index) Apply(changes []storer.Change, upTo uint64) error {
	x.writeLock.Lock()
	defer x.writeLock.Unlock()
	currentRevision := x.Revision()
	if upTo <= currentRevision {
		return nil
	}
	var members, suspects []storer.Change
	for _, c := range changes {
		if c.Revision <= currentRevision {
			continue
		}
		if c.Revision > upTo {
			return errors.NotValidf("change at revision %d in a delta up to %d", c.Revision, upTo)
		}
		if c.Resource.Kind == storer.KindMember {
			members = append(members, c)
			continue
		}
		if c.Resource.Kind == storer.KindSuspect {
			suspects = append(suspects, c)
			continue
		}
		if err := x.apply(c); err != nil {
			return errors.Annotatef(err, "apply revision %d", c.Revision)
		}
	}
	if len(members) > 0 {
		x.members.Store(x.members.Load().withChanges(members[len(members)-1].Revision, members))
	}
	if len(suspects) > 0 {
		list, err := x.Suspects().With(suspects...)
		if err != nil {
			return errors.Annotatef(err, "suspects up to revision %d", upTo)
		}
		x.suspects.Store(list)
	}
	x.revision.Store(upTo)
	return nil
}

func (x *Index) apply(c storer.Change) error {
	r := c.Resource
	switch r.Kind {
	case storer.KindAdapter, storer.KindVersion:
		return x.applyAdapter(c)
	case storer.KindKey:
		x.keys.mu.Lock()
		defer x.keys.mu.Unlock()
		if c.Deleted {
			x.keys.data.remove(r.Metadata)
			return nil
		}
		spec, _ := r.Spec.(storer.KeySpec)
		return x.keys.data.put(r.Metadata, spec)
	case storer.KindWorkspace, storer.KindService, storer.KindPriorityRule:
		s := x.workspaceShard(r.Metadata.Workspace)
		s.mu.Lock()
		defer s.mu.Unlock()
		if c.Deleted {
			s.remove(r)
		} else {
			s.put(r)
		}
		return nil
	default:
		// A newer control host may send kinds that only newer nodes use.
		return nil
	}
}

func (x *Index) applyAdapter(c storer.Change) error {
	m := c.Resource.Metadata
	name, _, _ := storer.SplitVersionName(m.Name)
	hash := hashOf(m.Workspace, name)
	s := x.adapterShard(hash)
	if err := s.apply(hash, c); err != nil {
		return errors.Trace(err)
	}
	if s.data.texts.needsCompaction() {
		return s.rebuild()
	}
	return nil
}

func (s *adapters) apply(hash uint64, c storer.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := c.Resource.Metadata
	switch spec := c.Resource.Spec.(type) {
	case storer.AdapterSpec:
		if c.Deleted {
			s.data.deleteAdapter(hash, m)
			return nil
		}
		return s.data.putAdapter(hash, m, spec)
	case storer.VersionSpec:
		if c.Deleted {
			s.data.deleteVersion(hash, m)
			return nil
		}
		return s.data.putVersion(hash, m, spec)
	default:
		return errors.NotValidf("spec %T", spec)
	}
}
