package indexer

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Reset replaces the replica by the whole state at a revision. A state older
// than the replica is refused with ErrOlder: a node that fails over to a
// control host which is behind must not take back what was in force. What the
// resources break among themselves leaves the replica as it was.
func (x *Index) Reset(rs []storer.Resource, revision uint64) error {
	x.writing.Lock()
	defer x.writing.Unlock()
	if revision < x.Revision() {
		return errors.Trace(ErrOlder)
	}
	f, err := gather(rs)
	if err != nil {
		return errors.Annotatef(err, "reset to revision %d", revision)
	}
	var built [shardCount]adapterData
	for i := range built {
		if built[i], err = buildAdapters(f.adapters[i]); err != nil {
			return errors.Annotatef(err, "reset to revision %d", revision)
		}
		f.adapters[i] = nil
	}
	for i := range x.adapters {
		x.adapters[i].replace(built[i])
	}
	for i := range x.spaces {
		x.spaces[i].replace(f.spaces[i].data)
	}
	x.keys.replace(f.keys)
	if old := x.members.Load(); !slices.Equal(old.Members, f.members.Members) {
		x.members.Store(&f.members)
	}
	x.revision.Store(revision)
	return nil
}

func (s *spaces) replace(data map[string]*space) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = data
}

func (k *keys) replace(data keyData) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.data = data
}

// fresh is a replica in the making.
type fresh struct {
	adapters [shardCount][]declaredAdapter
	spaces   [shardCount]spaces
	keys     keyData
	members  MemberView
	// places tells where in adapters an adapter stands.
	places map[keyName]slot
}

// slot is the place of an adapter in fresh.
type slot struct{ shard, position int }

// gather sorts a whole state into the parts of a replica.
func gather(rs []storer.Resource) (*fresh, error) {
	f := &fresh{keys: newKeyData(), places: map[keyName]slot{}}
	for i := range f.spaces {
		f.spaces[i].data = map[string]*space{}
	}
	// Adapters first: versions are put to them, in whatever order they come.
	for _, r := range rs {
		if spec, ok := r.Spec.(storer.AdapterSpec); ok {
			f.addAdapter(r.Metadata, spec)
		}
	}
	for _, r := range rs {
		if err := f.add(r); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for i := range f.spaces {
		for _, p := range f.spaces[i].data {
			p.rules.sort()
		}
	}
	slices.SortFunc(f.members.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return f, nil
}

func (f *fresh) addAdapter(m storer.Metadata, spec storer.AdapterSpec) {
	hash := hashOf(m.Workspace, m.Name)
	shard := int(hash >> (64 - shardBits))
	f.places[keyName{workspace: m.Workspace, name: m.Name}] = slot{shard: shard, position: len(f.adapters[shard])}
	f.adapters[shard] = append(f.adapters[shard], declaredAdapter{
		hash:     hash,
		metadata: m,
		base:     strings.Clone(spec.BaseModel),
		current:  spec.Current,
	})
}

func (f *fresh) add(r storer.Resource) error {
	switch spec := r.Spec.(type) {
	case storer.VersionSpec:
		adapter, version, _ := storer.SplitVersionName(r.Metadata.Name)
		at, ok := f.places[keyName{workspace: r.Metadata.Workspace, name: adapter}]
		if !ok {
			return errors.NotFoundf("adapter of version %s/%s", r.Metadata.Workspace, r.Metadata.Name)
		}
		a := &f.adapters[at.shard][at.position]
		a.versions = append(a.versions, declaredVersion{version: version, source: spec.Source})
	case storer.KeySpec:
		return f.keys.put(r.Metadata, spec)
	case storer.MemberSpec:
		f.members.Members = append(f.members.Members, Member{Name: r.Metadata.Name, Spec: spec})
		f.members.Revision = max(f.members.Revision, r.Metadata.Revision)
	case storer.PriorityRuleSpec:
		f.spaces[spaceIndex(r.Metadata.Workspace)].space(r.Metadata.Workspace).rules.add(r.Metadata.Name, spec)
	case storer.WorkspaceSpec, storer.ServiceSpec:
		f.spaces[spaceIndex(r.Metadata.Workspace)].put(r)
	}
	return nil
}
