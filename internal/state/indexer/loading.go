package indexer

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/blamer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// StateLoad loads a whole state into a replica, page by page. Until Finish the replica
// keeps answering from its current state. A restarting node therefore needs memory for
// its replica and one page, not for the whole state as resources. A StateLoad is not
// safe for concurrent use.
type StateLoad struct {
	index *Index
	// staged contains the state added so far.
	staged *Index
	// currentVersions are the versions declared as current, by the adapter's position.
	// They are set in Finish, since versions are added after their adapter. Equal
	// strings are stored once, in internedVersions.
	currentVersions  [shardCount]map[uint32]string
	internedVersions map[string]string
	members          []Member
	// membersRevision is the highest revision of a member.
	membersRevision uint64
	// suspects are the requests during which backend servers ended.
	suspects []storer.Change
}

// BeginLoad starts to replace the contents of the replica by a whole state.
func (x *Index) BeginLoad() *StateLoad {
	l := &StateLoad{index: x, staged: NewIndex(Settings{}), internedVersions: map[string]string{}}
	for i := range l.currentVersions {
		l.currentVersions[i] = map[uint32]string{}
	}
	return l
}

// Add adds a page. An adapter must precede its versions, as in the order of
// storer.Store.All.
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
		return l.staged.applyAdapter(storer.Change{Resource: r})
	case storer.KeySpec:
		return l.staged.keys.data.put(m, spec)
	case storer.MemberSpec:
		l.members = append(l.members, Member{Name: m.Name, Spec: spec})
		l.membersRevision = max(l.membersRevision, m.Revision)
	case storer.SuspectSpec:
		l.suspects = append(l.suspects, storer.Change{Resource: r})
	case storer.PriorityRuleSpec:
		l.staged.workspaceShard(m.Workspace).workspaceRecord(m.Workspace).rules.add(m.Name, spec)
	default:
		l.staged.workspaceShard(m.Workspace).put(r)
	}
	return nil
}

func (l *StateLoad) addAdapter(m storer.Metadata, spec storer.AdapterSpec) error {
	current := spec.Current
	spec.Current = ""
	hash := hashOf(m.Workspace, m.Name)
	shard := shardOf(hash)
	data := &l.staged.adapters[shard].data
	if err := data.putAdapter(hash, m, spec); err != nil {
		return errors.Trace(err)
	}
	position, _ := data.find(hash, m.Workspace, m.Name)
	if current == "" {
		delete(l.currentVersions[shard], position)
		return nil
	}
	interned, ok := l.internedVersions[current]
	if !ok {
		interned = strings.Clone(current)
		l.internedVersions[interned] = interned
	}
	l.currentVersions[shard][position] = interned
	return nil
}

// Finish replaces the contents of the replica by the loaded state, which has the given
// revision. It refuses a state older than the replica with ErrStaleSnapshot, since a node
// that fails over to a control host that is behind must not revert to an earlier
// configuration. On an error the replica is unchanged.
func (l *StateLoad) Finish(revision uint64) error {
	x := l.index
	x.writeLock.Lock()
	defer x.writeLock.Unlock()
	if revision < x.Revision() {
		return errors.Trace(ErrStaleSnapshot)
	}
	if err := l.finalize(); err != nil {
		return errors.Annotatef(err, "load revision %d", revision)
	}
	var noSuspects *blamer.List
	suspects, err := noSuspects.With(l.suspects...)
	if err != nil {
		return errors.Annotatef(err, "load revision %d", revision)
	}
	for i := range x.adapters {
		x.adapters[i].replace(l.staged.adapters[i].data)
	}
	for i := range x.workspaces {
		x.workspaces[i].replace(l.staged.workspaces[i].data)
	}
	x.keys.replace(l.staged.keys.data)
	if !slices.Equal(x.members.Load().Members, l.members) {
		x.members.Store(&MemberView{Revision: l.membersRevision, Members: l.members})
	}
	x.suspects.Store(suspects)
	x.revision.Store(revision)
	return nil
}

// finalize completes the staged state after the last page: it sets the current versions,
// sorts rules and members, and frees unused memory.
func (l *StateLoad) finalize() error {
	for i := range l.staged.adapters {
		data := &l.staged.adapters[i].data
		for position, version := range l.currentVersions[i] {
			if err := data.setCurrent(&data.adapters[position], version); err != nil {
				return errors.Trace(err)
			}
		}
		l.currentVersions[i] = nil
		if err := l.staged.adapters[i].rebuild(); err != nil {
			return errors.Trace(err)
		}
	}
	for i := range l.staged.workspaces {
		for _, record := range l.staged.workspaces[i].data {
			record.rules.sort()
		}
	}
	slices.SortFunc(l.members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return nil
}

// Reset replaces the contents of the replica by the whole state at a revision, as
// BeginLoad, Add and Finish do. The resources may be in any order.
func (x *Index) Reset(rs []storer.Resource, revision uint64) error {
	load := x.BeginLoad()
	for _, adaptersOnly := range []bool{true, false} {
		for i := range rs {
			if (rs[i].Kind == storer.KindAdapter) != adaptersOnly {
				continue
			}
			if err := load.Add(rs[i : i+1]); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return load.Finish(revision)
}

func (s *workspaces) replace(data map[string]*workspaceRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = data
}

func (k *keys) replace(data keyData) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.data = data
}
