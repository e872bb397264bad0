package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// machine applies commands to a store with increasing log indexes.
type machine struct {
	*Store
	index uint64
	now   Instant
}

func newMachine(r Retention) *machine {
	return &machine{Store: NewStore(Settings{Retention: r}), now: 1}
}

func (m *machine) send(e Envelope) Result {
	m.index++
	e.Time = m.now
	data, err := Encode(e)
	Expect(err).NotTo(HaveOccurred())
	return m.Apply(m.index, data).(Result)
}

func (m *machine) do(c Command) Result { return m.send(Envelope{Command: c}) }

func (m *machine) mustDo(c Command) Result {
	result := m.do(c)
	Expect(result.Verdict).To(Equal(VerdictAccepted), result.Reason)
	return result
}

// restoreFromSnapshot returns a machine whose store is restored from a snapshot of m.
func (m *machine) restoreFromSnapshot() *machine {
	var b bytes.Buffer
	Expect(m.Snapshot(&b)).To(Succeed())
	fresh := &machine{Store: NewStore(Settings{}), index: m.index, now: m.now}
	Expect(fresh.Restore(&b, m.index)).To(Succeed())
	return fresh
}

// putWorkspace returns a command that writes the workspace of put's resources.
func putWorkspace(spec WorkspaceSpec) PutResource {
	c := put(KindWorkspace, "", spec)
	c.Resource.Metadata.Name = c.Resource.Metadata.Workspace
	return c
}

func put(kind Kind, name string, spec Spec) PutResource {
	return PutResource{Resource: Resource{Kind: kind, Metadata: Metadata{Workspace: "savannah", Name: name}, Spec: spec}}
}

func remove(kind Kind, name string) DeleteResource {
	return DeleteResource{Key: Key{Kind: kind, Workspace: "savannah", Name: name}}
}

// newMachineWithAdapter returns a machine with the adapter title, whose current version
// is v1.
func newMachineWithAdapter(r Retention) *machine {
	m := newMachine(r)
	m.mustDo(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
	m.mustDo(put(KindVersion, "title@v1", VersionSpec{Source: "title/1"}))
	m.mustDo(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance", Current: "v1"}))
	return m
}

var _ = Describe("Resources", func() {
	It("create the workspace of the first resource", func() {
		m := newMachineWithAdapter(Retention{})
		w, ok := m.Get(Key{Kind: KindWorkspace, Name: "savannah"})
		Expect(ok).To(BeTrue())
		Expect(w).To(Equal(Resource{
			Kind:     KindWorkspace,
			Metadata: Metadata{Workspace: "savannah", Name: "savannah", Revision: 1},
			Spec:     WorkspaceSpec{Share: 1},
		}))
		rs, revision := m.List(KindVersion, "savannah")
		Expect(rs).To(HaveExactElements(HaveField("Metadata.Name", "title@v1")))
		Expect(revision).To(BeEquivalentTo(3))
	})

	// Guards against a lost update: two operators read revision 3 and both write.
	It("accept exactly one of two writes with equal revisions", func() {
		m := newMachineWithAdapter(Retention{})
		write := put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"})
		write.IfMatch = 3
		Expect(m.mustDo(write).Revision).To(BeEquivalentTo(4))
		late := m.do(write)
		Expect(late.Verdict).To(Equal(VerdictConflict))
		Expect(late.Revision).To(BeEquivalentTo(4))
		Expect(late.Resource.Metadata.Revision).To(BeEquivalentTo(4))

		create := put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"})
		create.IfNoneMatch = true
		Expect(m.do(create).Verdict).To(Equal(VerdictConflict))
	})

	// Guards against answers computed with other weights than those declared for a version.
	// They would occur if a loaded version were overwritten, or deleted and declared again,
	// with other weights: engines and caches identify a version by its name only.
	It("bind a version's name to one content, also after its deletion", func() {
		m := newMachineWithAdapter(Retention{})
		again := m.mustDo(put(KindVersion, "title@v1", VersionSpec{Source: "title/1"}))
		Expect(again.Revision).To(BeEquivalentTo(2))
		Expect(m.Revision()).To(BeEquivalentTo(3))
		Expect(m.do(put(KindVersion, "title@v1", VersionSpec{Source: "title/other"})).Verdict).To(Equal(VerdictInvalid))

		m.mustDo(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
		m.mustDo(remove(KindVersion, "title@v1"))
		m = m.restoreFromSnapshot()
		Expect(m.do(put(KindVersion, "title@v1", VersionSpec{Source: "title/other"})).Verdict).To(Equal(VerdictInvalid))
		m.mustDo(remove(KindAdapter, "title"))
		m.mustDo(put(KindAdapter, "title", AdapterSpec{BaseModel: "other"}))
		Expect(m.do(put(KindVersion, "title@v1", VersionSpec{Source: "title/1"})).Verdict).To(Equal(VerdictInvalid))
		m.mustDo(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
		m.mustDo(put(KindVersion, "title@v1", VersionSpec{Source: "title/1"}))
	})

	It("can't be deleted while they are in use", func() {
		m := newMachineWithAdapter(Retention{})
		Expect(m.do(remove(KindVersion, "title@v1")).Verdict).To(Equal(VerdictInUse))
		Expect(m.do(remove(KindAdapter, "title")).Verdict).To(Equal(VerdictInUse))
		Expect(m.do(remove(KindWorkspace, "savannah")).Verdict).To(Equal(VerdictInUse))
		Expect(m.do(put(KindAdapter, "title", AdapterSpec{BaseModel: "other", Current: "v1"})).Verdict).To(Equal(VerdictInUse))
		m.mustDo(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
		m.mustDo(remove(KindVersion, "title@v1"))
		m.mustDo(remove(KindAdapter, "title"))
		m.mustDo(remove(KindWorkspace, "savannah"))
		rs, _ := m.All()
		Expect(rs).To(BeEmpty())
	})

	It("accept a bearer key in one workspace only", func() {
		m := newMachine(Retention{})
		key := put(KindKey, "desk", KeySpec{Hash: strings.Repeat("0a", 32)})
		m.mustDo(key)
		m = m.restoreFromSnapshot()
		key.Resource.Metadata.Workspace = "macon"
		Expect(m.do(key).Verdict).To(Equal(VerdictInvalid))
		m.mustDo(remove(KindKey, "desk"))
		m.mustDo(key)
	})

	DescribeTable("refuse invalid content", func(c Command) {
		m := newMachineWithAdapter(Retention{})
		before := m.Revision()
		Expect(m.do(c).Verdict).To(Equal(VerdictInvalid))
		Expect(m.Revision()).To(Equal(before))
	},
		Entry("upper case", put(KindAdapter, "Title", AdapterSpec{BaseModel: "clearance"})),
		Entry("slash", put(KindAdapter, "a/b", AdapterSpec{BaseModel: "clearance"})),
		Entry("at sign", put(KindAdapter, "a@b", AdapterSpec{BaseModel: "clearance"})),
		Entry("too long", put(KindAdapter, strings.Repeat("a", MaxName+1), AdapterSpec{BaseModel: "clearance"})),
		Entry("no base model", put(KindAdapter, "a", AdapterSpec{})),
		Entry("unknown current version", put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance", Current: "v2"})),
		Entry("version without adapter", put(KindVersion, "none@v1", VersionSpec{Source: "none/1"})),
		Entry("version without @", put(KindVersion, "title", VersionSpec{Source: "title/1"})),
		Entry("priority", put(KindPriorityRule, "a", PriorityRuleSpec{Priority: 10})),
		Entry("hash", put(KindKey, "a", KeySpec{Hash: "0A"})),
		Entry("negative token rate", putWorkspace(WorkspaceSpec{TokenRate: -1})),
		Entry("negative token burst", putWorkspace(WorkspaceSpec{TokenRate: 1, TokenBurst: -1})),
		Entry("token burst without a rate", putWorkspace(WorkspaceSpec{TokenBurst: 1})),
		Entry("member", put(KindMember, "a", MemberSpec{Address: "127.0.0.1:1", Incarnation: "a"})),
	)

	It("skip an entry that was applied before", func() {
		m := newMachineWithAdapter(Retention{})
		data, err := Encode(Envelope{Command: remove(KindAdapter, "title")})
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Apply(2, data).(Result).Verdict).To(Equal(VerdictStale))
		Expect(m.Revision()).To(BeEquivalentTo(3))
		Expect(m.Apply(9, []byte("damaged")).(Result).Verdict).To(Equal(VerdictInvalid))
	})

	It("encode and decode the spec of each kind in JSON", func() {
		m := newMachineWithAdapter(Retention{})
		m.mustDo(JoinMember{Name: "engine-1", Member: MemberSpec{Address: "127.0.0.1:1", Incarnation: "a", State: MemberStateLeaving}})
		rs, _ := m.All()
		data, err := json.Marshal(rs)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring(`"State":"Leaving"`))
		var back []Resource
		Expect(json.Unmarshal(data, &back)).To(Succeed())
		Expect(back).To(Equal(rs))
		Expect(json.Unmarshal([]byte(`{"Kind":"Adapter","Spec":{"Present":"v1"}}`), &Resource{})).NotTo(Succeed())
	})
})

var _ = Describe("Idempotency records", func() {
	// Guards against a resent change that takes effect a second time and reverts another
	// operator's change. It occurs if the records are not part of the replicated state:
	// the answer to a change is lost, the host restarts from a snapshot, another change
	// is accepted, and the first one is resent.
	It("return the first result again, also after a restart", func() {
		m := newMachineWithAdapter(Retention{})
		first := Envelope{IdempotencyKey: "k", Digest: []byte("one"), Command: put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"})}
		Expect(m.send(first).Revision).To(BeEquivalentTo(4))
		m = m.restoreFromSnapshot()
		m.mustDo(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance", Current: "v1"}))

		again := m.send(first)
		Expect(again.Replayed).To(BeTrue())
		Expect(again.Revision).To(BeEquivalentTo(4))
		Expect(m.Revision()).To(BeEquivalentTo(5))

		other := first
		other.Digest = []byte("two")
		Expect(m.send(other).Verdict).To(Equal(VerdictKeyReused))
	})

	It("repeat a refusal too, although the change would succeed now", func() {
		m := newMachineWithAdapter(Retention{})
		first := Envelope{IdempotencyKey: "k", Command: remove(KindVersion, "title@v1")}
		Expect(m.send(first).Verdict).To(Equal(VerdictInUse))
		m.mustDo(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
		again := m.send(first)
		Expect(again.Verdict).To(Equal(VerdictInUse))
		Expect(again.Replayed).To(BeTrue())
	})

	// Guards against the expiry of all records at once by a single log entry whose clock
	// is a year ahead.
	It("expire by both age and position, and not by a wrong clock", func() {
		m := newMachine(Retention{IdempotencyAge: 90 * time.Second, MinEntries: 5})
		e := Envelope{IdempotencyKey: "k", Command: put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"})}
		m.send(e)
		m.now += Instant(365 * 24 * time.Hour)
		m.do(put(KindAdapter, "other", AdapterSpec{BaseModel: "clearance"}))
		Expect(m.send(e).Replayed).To(BeTrue(), "expired by a wrong clock")
		Expect(m.send(e).Replayed).To(BeTrue(), "expired before MinEntries later entries")
		m.now = 1
		Expect(m.send(e).Replayed).To(BeTrue(), "expired before MinEntries later entries")
		Expect(m.send(e).Replayed).To(BeFalse())
	})

	It("are refused at the limit instead of dropping others early", func() {
		m := newMachine(Retention{MaxRecords: 1})
		e := Envelope{IdempotencyKey: "a", Command: put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"})}
		m.send(e)
		other := e
		other.IdempotencyKey = "b"
		Expect(m.send(other).Verdict).To(Equal(VerdictFull))
		Expect(m.send(e).Replayed).To(BeTrue())
		claim := ClaimCall{Workspace: "savannah", Key: "a", Holder: "entry-1"}
		m.mustDo(claim)
		claim.Key = "b"
		Expect(m.do(claim).Verdict).To(Equal(VerdictFull))
		for _, name := range []string{"title@v1", "title@v2"} {
			m.mustDo(put(KindVersion, name, VersionSpec{Source: name}))
		}
		m.mustDo(remove(KindVersion, "title@v1"))
		Expect(m.do(remove(KindVersion, "title@v2")).Verdict).To(Equal(VerdictFull))
	})
})

var _ = Describe("Claims", func() {
	claim := ClaimCall{Workspace: "savannah", Key: "review", Digest: []byte("one"), Holder: "entry-1"}
	settle := func(holder string, state ClaimState) SettleClaim {
		return SettleClaim{Workspace: "savannah", Key: "review", Holder: holder, State: state, Backend: "engine-1"}
	}
	second := claim
	second.Holder = "entry-2"

	It("have one holder until it releases the claim", func() {
		m := newMachine(Retention{})
		m.mustDo(claim)
		m.mustDo(claim)
		held := m.do(second)
		Expect(held.Verdict).To(Equal(VerdictHeld))
		Expect(held.Claim.Holder).To(Equal("entry-1"))
		Expect(m.do(settle("entry-2", ClaimStateReleased)).Verdict).To(Equal(VerdictHeld))
		m.mustDo(settle("entry-1", ClaimStateReleased))
		m = m.restoreFromSnapshot()
		m.mustDo(second)
		Expect(m.do(claim).Verdict).To(Equal(VerdictHeld))
		other := second
		other.Digest = []byte("two")
		Expect(m.do(other).Verdict).To(Equal(VerdictKeyReused))
	})

	// Guards against a key that is reported as in progress until it expires, although
	// nobody runs its call. It occurs if an entry proposes a claim, times out and
	// releases the key, and a duplicate of the proposal arrives late and is accepted.
	It("are not returned to a holder that has released them", func() {
		m := newMachine(Retention{})
		m.mustDo(claim)
		m.mustDo(settle("entry-1", ClaimStateReleased))
		Expect(m.do(claim).Verdict).To(Equal(VerdictHeld))
		m.mustDo(second)
	})

	// Guards against a call that runs twice. It occurs if the outcome is unknown and a late
	// message of the holder changes it to released.
	It("never revert to an earlier state", func() {
		m := newMachine(Retention{})
		m.mustDo(claim)
		m.mustDo(settle("entry-1", ClaimStateUnknown))
		Expect(m.do(settle("entry-1", ClaimStateReleased)).Verdict).To(Equal(VerdictConflict))
		Expect(m.do(claim).Verdict).To(Equal(VerdictHeld))
		m.mustDo(settle("entry-1", ClaimStateDone))
		Expect(m.do(settle("entry-1", ClaimStateUnknown)).Verdict).To(Equal(VerdictConflict))
		c, _ := m.Claim("savannah", "review")
		Expect(c.State).To(Equal(ClaimStateDone))
		Expect(c.Backend).To(Equal("engine-1"))
	})
})

var _ = Describe("Members", func() {
	join := JoinMember{Name: "engine-1", Member: MemberSpec{Address: "127.0.0.1:1", Incarnation: "a"}}
	epoch := func(r Result) uint64 { return r.Resource.Spec.(MemberSpec).Epoch }

	It("keep their epoch for the same incarnation and get a higher one for a later one", func() {
		m := newMachine(Retention{})
		Expect(epoch(m.mustDo(join))).To(BeEquivalentTo(1))
		Expect(epoch(m.mustDo(join))).To(BeEquivalentTo(1))
		Expect(m.Revision()).To(BeEquivalentTo(1))
		later := join
		later.Member.Incarnation = "b"
		Expect(epoch(m.mustDo(later))).To(BeEquivalentTo(3))
		Expect(m.do(LeaveMember{Name: "engine-1", Epoch: 1, Ended: true}).Verdict).To(Equal(VerdictStale))
		m.mustDo(LeaveMember{Name: "engine-1", Epoch: 3})
		Expect(m.do(ExpireMembers{Members: []MemberEpoch{{Name: "engine-1", Epoch: 1}}}).Verdict).To(Equal(VerdictStale))
		m.mustDo(ExpireMembers{Members: []MemberEpoch{{Name: "engine-1", Epoch: 3}, {Name: "none", Epoch: 1}}})
		rs, _ := m.List(KindMember, "")
		Expect(rs).To(BeEmpty())
	})

	// Guards against requests to an engine that no longer exists. They occur if an engine
	// restarts and joins as a new incarnation before a delayed join of the previous one
	// arrives.
	It("refuse the late join of a replaced incarnation", func() {
		m := newMachine(Retention{})
		m.mustDo(join)
		later := join
		later.Member.Incarnation = "b"
		m.mustDo(later)
		m = m.restoreFromSnapshot()
		Expect(m.do(join).Verdict).To(Equal(VerdictStale))
	})
})

var _ = Describe("Watchers", func() {
	// Guards against a watcher that keeps a deleted resource because it missed more changes
	// than the history contains.
	It("are informed if the history no longer contains all changes, also after a restart", func() {
		m := newMachineWithAdapter(Retention{HistoryChanges: 2})
		m.mustDo(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
		m.mustDo(remove(KindVersion, "title@v1"))
		m = m.restoreFromSnapshot()
		_, _, ok := m.Since(2, 0)
		Expect(ok).To(BeFalse())
		changes, upTo, ok := m.Since(3, 1)
		Expect(ok).To(BeTrue())
		Expect(upTo).To(BeEquivalentTo(4))
		Expect(changes).To(HaveLen(1))
		changes, upTo, _ = m.Since(4, 0)
		Expect(upTo).To(BeEquivalentTo(5))
		Expect(changes).To(HaveExactElements(And(HaveField("Deleted", true), HaveField("Resource.Metadata.Name", "title@v1"))))
	})

	It("get the changes of one revision together", func() {
		m := newMachineWithAdapter(Retention{})
		changes, upTo, ok := m.Since(0, 1)
		Expect(ok).To(BeTrue())
		Expect(changes).To(HaveExactElements(HaveField("Resource.Kind", KindWorkspace), HaveField("Resource.Kind", KindAdapter)))
		Expect(upTo).To(BeEquivalentTo(1))
	})

	It("are woken by a change", func() {
		m := newMachine(Retention{})
		woken := make(chan error, 1)
		go func() { woken <- m.Wait(context.Background(), 0) }()
		m.mustDo(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
		Eventually(woken).Should(Receive(BeNil()))
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(m.Wait(ended, 1)).To(MatchError(context.Canceled))
	})
})

var _ = Describe("Snapshots", func() {
	It("leave the state unchanged if they are damaged", func() {
		m := newMachineWithAdapter(Retention{})
		var b bytes.Buffer
		Expect(m.Snapshot(&b)).To(Succeed())
		whole := b.Bytes()
		for _, cut := range []int{0, 1, len(whole) / 2, len(whole) - 1} {
			Expect(m.Restore(bytes.NewReader(whole[:cut]), 9)).NotTo(Succeed())
		}
		Expect(m.Restore(bytes.NewReader(whole), 2)).NotTo(Succeed())
		Expect(m.Revision()).To(BeEquivalentTo(3))
		_, ok := m.Get(Key{Kind: KindVersion, Workspace: "savannah", Name: "title@v1"})
		Expect(ok).To(BeTrue())
	})
})
