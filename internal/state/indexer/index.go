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

// Settings are an index's options. There are none yet.
type Settings struct{}

// Index is the compact replica of one node. Its methods may be called by any
// goroutine.
type Index struct {
	// writing is held by Apply and Reset; it orders the writers.
	writing sync.Mutex

	adapters [shardCount]adapters
	spaces   [shardCount]spaces
	keys     keys
	members  atomic.Pointer[MemberView]
	suspects atomic.Pointer[blamer.List]
	// revision is what the whole replica has reached; it only rises.
	revision atomic.Uint64
}

// NewIndex returns an empty replica at revision 0.
func NewIndex(Settings) *Index {
	x := &Index{}
	for i := range x.spaces {
		x.spaces[i].data = map[string]*space{}
	}
	x.keys.data = newKeyData()
	x.members.Store(&MemberView{})
	return x
}

// Revision returns the revision that the replica has reached.
func (x *Index) Revision() uint64 { return x.revision.Load() }

// Members returns the membership. The view stays the same one for as long as no
// member changes.
func (x *Index) Members() MemberView { return *x.members.Load() }

// Suspects returns the requests under which backend servers ended. The list stays the same
// one for as long as none changes.
func (x *Index) Suspects() *blamer.List { return x.suspects.Load() }

func (x *Index) adapterShard(hash uint64) *adapters { return &x.adapters[shardOf(hash)] }

func shardOf(hash uint64) int { return int(hash >> (64 - shardBits)) }

func (x *Index) spaceShard(workspace string) *spaces {
	return &x.spaces[spaceIndex(workspace)]
}

func spaceIndex(workspace string) int { return int(xxh3.HashString(workspace) >> (64 - shardBits)) }

// Resolve returns the adapter version that a call means; an empty version means
// the current one. The errors are ErrUnknownAdapter, ErrUnknownVersion and
// ErrNoCurrent. It allocates nothing.
func (x *Index) Resolve(workspace, adapter, version string) (Target, error) {
	hash := hashOf(workspace, adapter)
	s := x.adapterShard(hash)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.resolve(hash, workspace, adapter, version)
}

// Rule returns the most specific priority rule for a call of the adapter with
// the key's name, and whether there is one. It allocates nothing.
func (x *Index) Rule(workspace, adapter, key string) (storer.PriorityRuleSpec, bool) {
	s := x.spaceShard(workspace)
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.data[workspace]
	if !ok {
		return storer.PriorityRuleSpec{}, false
	}
	return p.rules.find(adapter, key)
}

// KeyByHash returns the holder of the bearer key with a SHA-256.
func (x *Index) KeyByHash(hash [32]byte) (KeyHolder, bool) {
	x.keys.mu.RLock()
	defer x.keys.mu.RUnlock()
	return x.keys.data.find(hash)
}

// Service returns a plain service of a workspace.
func (x *Index) Service(workspace, name string) (storer.ServiceSpec, bool) {
	s := x.spaceShard(workspace)
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.data[workspace]
	if !ok {
		return storer.ServiceSpec{}, false
	}
	spec, ok := p.services[name]
	return spec, ok
}

// Workspace returns a workspace.
func (x *Index) Workspace(name string) (storer.WorkspaceSpec, bool) {
	s := x.spaceShard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.data[name]
	if !ok {
		return storer.WorkspaceSpec{}, false
	}
	return p.spec, true
}

// Models returns the models of a workspace, sorted by name. It looks through
// all adapters.
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

// Apply brings the replica from its revision to upTo. Changes that are not
// newer than the replica are passed over, so a delta may come twice, late or
// overlapping. A change that does not fit what the replica holds is an error;
// the replica then stays at the revision before it, and needs a Reset.
func (x *Index) Apply(changes []storer.Change, upTo uint64) error {
	x.writing.Lock()
	defer x.writing.Unlock()
	reached := x.Revision()
	if upTo <= reached {
		return nil
	}
	var members, suspects []storer.Change
	for _, c := range changes {
		if c.Revision <= reached {
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
		x.members.Store(x.members.Load().with(members[len(members)-1].Revision, members))
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
		s := x.spaceShard(r.Metadata.Workspace)
		s.mu.Lock()
		defer s.mu.Unlock()
		if c.Deleted {
			s.remove(r)
		} else {
			s.put(r)
		}
		return nil
	default:
		// A newer control host may know more kinds; they concern newer nodes.
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
	if s.data.texts.wasteful() {
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
