package storer

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// model is a reference implementation of the state, without indexes, shards or expiry.
type model struct {
	resources map[Key]Resource
	// retired holds the contents of deleted versions.
	retired map[Key]string
	claims  map[string]Claim
	records map[string]record
}

// content returns everything that a version's answers depend on.
func (m *model) content(r Resource) string {
	adapter, _, _ := strings.Cut(r.Metadata.Name, "@")
	a := m.resources[Key{Kind: KindAdapter, Workspace: r.Metadata.Workspace, Name: adapter}]
	return fmt.Sprint(a.Spec.(AdapterSpec).BaseModel, r.Spec)
}

func (m *model) any(match func(Resource) bool) bool {
	for _, r := range m.resources {
		if match(r) {
			return true
		}
	}
	return false
}

// versionsOf reports whether an adapter has versions.
func (m *model) versionsOf(k Key) bool {
	return m.any(func(r Resource) bool {
		return r.Kind == KindVersion && r.Metadata.Workspace == k.Workspace && strings.HasPrefix(r.Metadata.Name, k.Name+"@")
	})
}

func (m *model) put(index uint64, c PutResource) Verdict {
	k := c.Resource.Key()
	old, exists := m.resources[k]
	if c.IfNoneMatch && exists || c.IfMatch != 0 && (!exists || old.Metadata.Revision != c.IfMatch) {
		return VerdictConflict
	}
	switch spec := c.Resource.Spec.(type) {
	case AdapterSpec:
		if _, ok := m.resources[Key{Kind: KindVersion, Workspace: k.Workspace, Name: k.Name + "@" + spec.Current}]; !ok && spec.Current != "" {
			return VerdictInvalid
		}
		if exists && old.Spec.(AdapterSpec).BaseModel != spec.BaseModel && m.versionsOf(k) {
			return VerdictInUse
		}
	case VersionSpec:
		if exists && old.Spec == c.Resource.Spec {
			return VerdictAccepted
		}
		adapter, _, _ := strings.Cut(k.Name, "@")
		if _, ok := m.resources[Key{Kind: KindAdapter, Workspace: k.Workspace, Name: adapter}]; !ok || exists {
			return VerdictInvalid
		}
		if oldContent, ok := m.retired[k]; ok && oldContent != m.content(c.Resource) {
			return VerdictInvalid
		}
	case KeySpec:
		if m.any(func(r Resource) bool { s, ok := r.Spec.(KeySpec); return ok && s.Hash == spec.Hash && r.Key() != k }) {
			return VerdictInvalid
		}
	}
	w := Key{Kind: KindWorkspace, Workspace: k.Workspace, Name: k.Workspace}
	if _, ok := m.resources[w]; !ok && k != w {
		m.resources[w] = Resource{Kind: KindWorkspace, Metadata: Metadata{w.Workspace, w.Name, index}, Spec: WorkspaceSpec{Share: 1}}
	}
	c.Resource.Metadata.Revision = index
	m.resources[k] = c.Resource
	return VerdictAccepted
}

func (m *model) delete(c DeleteResource) Verdict {
	old, ok := m.resources[c.Key]
	switch {
	case !ok:
		return VerdictNotFound
	case c.IfMatch != 0 && c.IfMatch != old.Metadata.Revision:
		return VerdictConflict
	case old.Kind == KindWorkspace && m.any(func(r Resource) bool { return r.Kind != KindWorkspace && r.Metadata.Workspace == c.Key.Workspace }):
		return VerdictInUse
	case old.Kind == KindAdapter && m.versionsOf(c.Key):
		return VerdictInUse
	case old.Kind == KindVersion:
		adapter, version, _ := strings.Cut(c.Key.Name, "@")
		if m.resources[Key{Kind: KindAdapter, Workspace: c.Key.Workspace, Name: adapter}].Spec.(AdapterSpec).Current == version {
			return VerdictInUse
		}
		m.retired[c.Key] = m.content(old)
	}
	delete(m.resources, c.Key)
	return VerdictAccepted
}

func (m *model) claim(c ClaimCall) Verdict {
	old, ok := m.claims[c.Key]
	switch {
	case ok && !bytes.Equal(old.Digest, c.Digest):
		return VerdictKeyReused
	case ok && old.State == ClaimStateClaimed && old.Holder == c.Holder:
		return VerdictAccepted
	case ok && (old.State != ClaimStateReleased || old.Holder == c.Holder):
		return VerdictHeld
	}
	m.claims[c.Key] = Claim{Digest: c.Digest, Holder: c.Holder}
	return VerdictAccepted
}

func (m *model) settle(c SettleClaim) Verdict {
	old, ok := m.claims[c.Key]
	switch {
	case !ok:
		return VerdictNotFound
	case old.Holder != c.Holder:
		return VerdictHeld
	case old.State == ClaimStateClaimed, old.State == c.State, old.State == ClaimStateUnknown && c.State == ClaimStateDone:
		old.State = c.State
		m.claims[c.Key] = old
		return VerdictAccepted
	}
	return VerdictConflict
}

func (m *model) join(index uint64, c JoinMember) Verdict {
	k := Key{Kind: KindMember, Name: c.Name}
	old, ok := m.resources[k]
	previous, _ := old.Spec.(MemberSpec)
	c.Member.Epoch = index
	if ok && previous.Incarnation == c.Member.Incarnation && previous.Address == c.Member.Address {
		if c.Member.Epoch = previous.Epoch; c.Member == previous {
			return VerdictAccepted
		}
	}
	m.resources[k] = Resource{Kind: KindMember, Metadata: Metadata{Name: c.Name, Revision: index}, Spec: c.Member}
	return VerdictAccepted
}

func (m *model) apply(index uint64, c Command) Verdict {
	switch c := c.(type) {
	case PutResource:
		return m.put(index, c)
	case DeleteResource:
		return m.delete(c)
	case ClaimCall:
		return m.claim(c)
	case SettleClaim:
		return m.settle(c)
	case JoinMember:
		return m.join(index, c)
	case ExpireMembers:
		k := Key{Kind: KindMember, Name: c.Members[0].Name}
		if s, ok := m.resources[k].Spec.(MemberSpec); ok && s.Epoch == c.Members[0].Epoch {
			delete(m.resources, k)
			return VerdictAccepted
		}
		return VerdictStale
	default:
		panic("unknown command")
	}
}

// applyIdempotent applies a change, or returns the first verdict if the change was resent.
func (m *model) applyIdempotent(index uint64, e Envelope) (v Verdict, replayed bool) {
	k := workspaceOf(e.Command) + "/" + e.IdempotencyKey
	if first, ok := m.records[k]; ok && e.IdempotencyKey != "" {
		if !bytes.Equal(first.Digest, e.Digest) {
			return VerdictKeyReused, false
		}
		return first.Result.Verdict, true
	}
	v = m.apply(index, e.Command)
	m.records[k] = record{Digest: e.Digest, Result: Result{Verdict: v}}
	return v, false
}

func sample[T any](t *rapid.T, label string, values ...T) T {
	return rapid.SampledFrom(values).Draw(t, label)
}

func drawResource(t *rapid.T) Resource {
	r := Resource{Metadata: Metadata{Workspace: sample(t, "workspace", "a", "b")}}
	adapter, version := sample(t, "adapter", "x", "y"), sample(t, "version", "1", "2")
	// Adapters and versions refer to each other, so most faults are expected there.
	r.Kind = sample(t, "kind", KindAdapter, KindAdapter, KindAdapter, KindVersion, KindVersion, KindVersion, KindWorkspace, KindPriorityRule, KindService, KindKey)
	switch r.Kind {
	case KindWorkspace:
		r.Metadata.Name, r.Spec = r.Metadata.Workspace, WorkspaceSpec{Share: 2}
	case KindAdapter:
		r.Metadata.Name, r.Spec = adapter, AdapterSpec{BaseModel: sample(t, "base", "m", "m", "n"), Current: sample(t, "current", "", "", "1", "2")}
	case KindVersion:
		r.Metadata.Name, r.Spec = adapter+"@"+version, VersionSpec{Source: sample(t, "source", "s", "s", "t")}
	case KindPriorityRule:
		r.Metadata.Name, r.Spec = adapter, PriorityRuleSpec{Adapter: sample(t, "match", "", "x"), Priority: 3}
	case KindService:
		r.Metadata.Name, r.Spec = adapter, ServiceSpec{IdempotentMethods: []string{"GET"}}
	default:
		r.Metadata.Name, r.Spec = adapter, KeySpec{Hash: strings.Repeat(sample(t, "hash", "a", "b"), 64)}
	}
	return r
}

func drawCommand(t *rapid.T, index uint64) Command {
	holder, key := sample(t, "holder", "e1", "e2"), sample(t, "call", "c1", "c2")
	ifMatch := sample(t, "if match", 0, 0, 0, 0, 0, rapid.Uint64Range(1, index+1).Draw(t, "revision"))
	member := sample(t, "member", "m1", "m2")
	switch rapid.IntRange(0, 9).Draw(t, "command") {
	case 0:
		return ClaimCall{Workspace: "a", Key: key, Digest: []byte(sample(t, "call digest", "1", "1", "2")), Holder: holder}
	case 1:
		return SettleClaim{Workspace: "a", Key: key, Holder: holder, State: sample(t, "state", ClaimStateReleased, ClaimStateDone, ClaimStateUnknown)}
	case 2:
		return JoinMember{Name: member, Member: MemberSpec{Address: sample(t, "address", "1", "2"), Incarnation: "i"}}
	case 3:
		return ExpireMembers{Members: []MemberEpoch{{Name: member, Epoch: rapid.Uint64Range(1, index+1).Draw(t, "epoch")}}}
	case 4, 5, 6:
		return DeleteResource{Key: drawResource(t).Key(), IfMatch: ifMatch}
	default:
		return PutResource{Resource: drawResource(t), IfMatch: ifMatch, IfNoneMatch: rapid.IntRange(0, 9).Draw(t, "if none match") == 0}
	}
}

// replica follows the changes as a watcher does.
type replica struct {
	revision  uint64
	resources map[Key]Resource
}

func (r *replica) follow(t *rapid.T, s *Store) {
	changes, upTo, ok := s.Since(r.revision, sample(t, "page", 0, 1, 3))
	if !ok {
		rs, revision := s.All()
		r.resources, r.revision = keyed(rs), revision
		return
	}
	for _, c := range changes {
		if c.Deleted {
			delete(r.resources, c.Resource.Key())
		} else {
			r.resources[c.Resource.Key()] = c.Resource
		}
	}
	r.revision = upTo
}

func keyed(rs []Resource) map[Key]Resource {
	m := map[Key]Resource{}
	for _, r := range rs {
		m[r.Key()] = r
	}
	return m
}

func snapshotOf(t *rapid.T, s *Store) []byte {
	var b bytes.Buffer
	if err := s.Snapshot(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// TestPropertyStoreFollowsModel applies commands to a store, to a second store that
// is sometimes replaced by a copy restored from the first one's snapshot, and to the
// model, and compares them and a watcher that follows the changes.
func TestPropertyStoreFollowsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retention := Retention{HistoryChanges: sample(t, "history", 3, 1000)}
		a, b := NewStore(Settings{Retention: retention}), NewStore(Settings{Retention: retention})
		m := &model{map[Key]Resource{}, map[Key]string{}, map[string]Claim{}, map[string]record{}}
		w := &replica{resources: map[Key]Resource{}}
		var index uint64
		var sent []Envelope
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			index += rapid.Uint64Range(1, 3).Draw(t, "gap")
			e := Envelope{Time: Instant(rapid.IntRange(1, 1000).Draw(t, "time")), Command: drawCommand(t, index)}
			if rapid.IntRange(0, 7).Draw(t, "keyed") == 0 {
				e.IdempotencyKey, e.Digest = sample(t, "key", "k1", "k2", "k3"), fmt.Append(nil, e.Command)
			}
			if len(sent) > 0 && rapid.IntRange(0, 7).Draw(t, "resend") == 0 {
				e = sent[rapid.IntRange(0, len(sent)-1).Draw(t, "sent")]
			}
			sent = append(sent, e)
			data, err := Encode(e)
			if err != nil {
				t.Fatal(err)
			}
			got := a.Apply(index, data).(Result)
			if other := b.Apply(index, data).(Result); !reflect.DeepEqual(got, other) {
				t.Fatalf("results of two stores differ: %+v and %+v", got, other)
			}
			if v, replayed := m.applyIdempotent(index, e); got.Verdict != v || got.Replayed != replayed {
				t.Fatalf("%+v: got %v (%s) replayed %v, want %v replayed %v", e, got.Verdict, got.Reason, got.Replayed, v, replayed)
			}
			if rs, _ := a.All(); !reflect.DeepEqual(keyed(rs), m.resources) {
				t.Fatalf("resources %v, want %v", rs, m.resources)
			}
			if rapid.Bool().Draw(t, "follow") {
				w.follow(t, b)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				b = NewStore(Settings{})
				if err := b.Restore(bytes.NewReader(snapshotOf(t, a)), index); err != nil {
					t.Fatal(err)
				}
			}
		}
		if !bytes.Equal(snapshotOf(t, a), snapshotOf(t, b)) {
			t.Fatal("equal states have different snapshots")
		}
		for w.revision < b.Revision() {
			w.follow(t, b)
		}
		if !maps.EqualFunc(w.resources, m.resources, func(x, y Resource) bool { return reflect.DeepEqual(x, y) }) {
			t.Fatalf("resources of the watcher: %v, want %v", w.resources, m.resources)
		}
	})
}
