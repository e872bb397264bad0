package indexer

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/blamer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Loading is a whole state on its way into a replica, page by page. The replica
// goes on answering by what it holds until Finish. A node that restarts needs
// room for its replica and one page, not for the whole state as resources.
type StateLoad struct {
	target *Index
	// fresh is what has been added.
	fresh *Index
	// currents hold the versions declared as current, by the adapter's position:
	// they come after it. Equal texts are kept once, in names.
	currents [shardCount]map[uint32]string
	names    map[string]string
	members  []Member
	// changed is the highest revision of a member.
	changed uint64
	// suspects are the requests under which backend servers ended.
	suspects []storer.Change
}

// Begin begins to replace the replica by a whole state.
func (x *Index) BeginLoad() *StateLoad {
	l := &StateLoad{target: x, fresh: NewIndex(Settings{}), names: map[string]string{}}
	for i := range l.currents {
		l.currents[i] = map[uint32]string{}
	}
	return l
}

// Add takes in a page. An adapter must come before its versions, as it does in
// the order of storer.Store.All.
func (l *StateLoad) Add(rs []storer.Resource) error {
	for i := range rs {
		if err := l.add(rs[i]); err != nil {
			return errors.Annotatef(err, "load %v %s/%s", rs[i].Kind, rs[i].Metadata.Workspace, rs[i].Metadata.Name)
		}
	}
	return nil
}

func (l *StateLoad) add(r storer.Resource) error {
	m := r.Metadata
	switch spec := r.Spec.(type) {
	case storer.AdapterSpec:
		return l.addAdapter(m, spec)
	case storer.VersionSpec:
		return l.fresh.applyAdapter(storer.Change{Resource: r})
	case storer.KeySpec:
		return l.fresh.keys.data.put(m, spec)
	case storer.MemberSpec:
		l.members = append(l.members, Member{Name: m.Name, Spec: spec})
		l.changed = max(l.changed, m.Revision)
	case storer.SuspectSpec:
		l.suspects = append(l.suspects, storer.Change{Resource: r})
	case storer.PriorityRuleSpec:
		l.fresh.spaceShard(m.Workspace).space(m.Workspace).rules.add(m.Name, spec)
	default:
		l.fresh.spaceShard(m.Workspace).put(r)
	}
	return nil
}

func (l *StateLoad) addAdapter(m storer.Metadata, spec storer.AdapterSpec) error {
	current := spec.Current
	spec.Current = ""
	hash := hashOf(m.Workspace, m.Name)
	shard := shardOf(hash)
	data := &l.fresh.adapters[shard].data
	if err := data.putAdapter(hash, m, spec); err != nil {
		return errors.Trace(err)
	}
	position, _ := data.find(hash, m.Workspace, m.Name)
	if current == "" {
		delete(l.currents[shard], position)
		return nil
	}
	kept, ok := l.names[current]
	if !ok {
		kept = strings.Clone(current)
		l.names[kept] = kept
	}
	l.currents[shard][position] = kept
	return nil
}

// Finish has the replica go over to the state loaded, which is that of a
// revision. A state older than the replica is refused with ErrStaleSnapshot: a node
// that fails over to a control host which is behind must not take back what was
// in force. With an error the replica stays as it was.
func (l *StateLoad) Finish(revision uint64) error {
	x := l.target
	x.writing.Lock()
	defer x.writing.Unlock()
	if revision < x.Revision() {
		return errors.Trace(ErrStaleSnapshot)
	}
	if err := l.settle(); err != nil {
		return errors.Annotatef(err, "load revision %d", revision)
	}
	var none *blamer.List
	suspects, err := none.With(l.suspects...)
	if err != nil {
		return errors.Annotatef(err, "load revision %d", revision)
	}
	for i := range x.adapters {
		x.adapters[i].replace(l.fresh.adapters[i].data)
	}
	for i := range x.spaces {
		x.spaces[i].replace(l.fresh.spaces[i].data)
	}
	x.keys.replace(l.fresh.keys.data)
	if !slices.Equal(x.members.Load().Members, l.members) {
		x.members.Store(&MemberView{Revision: l.changed, Members: l.members})
	}
	x.suspects.Store(suspects)
	x.revision.Store(revision)
	return nil
}

// settle ties up what could only be known once all was there, and drops the
// slack of growing.
func (l *StateLoad) settle() error {
	for i := range l.fresh.adapters {
		data := &l.fresh.adapters[i].data
		for position, version := range l.currents[i] {
			if err := data.setCurrent(&data.adapters[position], version); err != nil {
				return errors.Trace(err)
			}
		}
		l.currents[i] = nil
		if err := l.fresh.adapters[i].rebuild(); err != nil {
			return errors.Trace(err)
		}
	}
	for i := range l.fresh.spaces {
		for _, p := range l.fresh.spaces[i].data {
			p.rules.sort()
		}
	}
	slices.SortFunc(l.members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return nil
}

// Reset replaces the replica by the whole state at a revision, in any order, as
// Begin, Add and Finish do.
func (x *Index) Reset(rs []storer.Resource, revision uint64) error {
	l := x.BeginLoad()
	for _, first := range []bool{true, false} {
		for i := range rs {
			if (rs[i].Kind == storer.KindAdapter) != first {
				continue
			}
			if err := l.Add(rs[i : i+1]); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return l.Finish(revision)
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
