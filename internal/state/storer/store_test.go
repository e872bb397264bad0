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

// machine applies commands to a store in the order of a log.
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

func (m *machine) must(c Command) Result {
	result := m.do(c)
	Expect(result.Verdict).To(Equal(VerdictAccepted), result.Reason)
	return result
}

// restarted returns a machine over the state's snapshot.
func (m *machine) restarted() *machine {
	var b bytes.Buffer
	Expect(m.Snapshot(&b)).To(Succeed())
	fresh := &machine{Store: NewStore(Settings{}), index: m.index, now: m.now}
	Expect(fresh.Restore(&b, m.index)).To(Succeed())
	return fresh
}

// putWorkspace changes the workspace that put's resources are in.
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

// declared is a machine with adapter title, whose current version is v1.
func declared(r Retention) *machine {
	m := newMachine(r)
	m.must(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
	m.must(put(KindVersion, "title@v1", VersionSpec{Source: "title/1"}))
	m.must(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance", Current: "v1"}))
	return m
}

var _ = Describe("Resources", func() {
	It("makes the workspace with its first resource", func() {
		m := declared(Retention{})
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

	// Symptom: one operator's change is gone without a word. Sequence: both read
	// revision 3, both write. Cause: the second write did not look at what the
	// first had made of it.
	It("lets exactly one of two writers with equal revisions win", func() {
		m := declared(Retention{})
		write := put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"})
		write.IfMatch = 3
		Expect(m.must(write).Revision).To(BeEquivalentTo(4))
		late := m.do(write)
		Expect(late.Verdict).To(Equal(VerdictConflict))
		Expect(late.Revision).To(BeEquivalentTo(4))
		Expect(late.Resource.Metadata.Revision).To(BeEquivalentTo(4))

		create := put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"})
		create.IfNoneMatch = true
		Expect(m.do(create).Verdict).To(Equal(VerdictConflict))
	})

	// Symptom: a caller gets an answer from weights that the operators never
	// declared under this version's name. Sequence: a version is loaded, then
	// written or deleted and declared again with other weights. Cause: engines
	// and caches know a version by its name only.
	It("binds a version's name to one content, also after its deletion", func() {
		m := declared(Retention{})
		again := m.must(put(KindVersion, "title@v1", VersionSpec{Source: "title/1"}))
		Expect(again.Revision).To(BeEquivalentTo(2))
		Expect(m.Revision()).To(BeEquivalentTo(3))
		Expect(m.do(put(KindVersion, "title@v1", VersionSpec{Source: "title/other"})).Verdict).To(Equal(VerdictInvalid))

		m.must(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
		m.must(remove(KindVersion, "title@v1"))
		m = m.restarted()
		Expect(m.do(put(KindVersion, "title@v1", VersionSpec{Source: "title/other"})).Verdict).To(Equal(VerdictInvalid))
		m.must(remove(KindAdapter, "title"))
		m.must(put(KindAdapter, "title", AdapterSpec{BaseModel: "other"}))
		Expect(m.do(put(KindVersion, "title@v1", VersionSpec{Source: "title/1"})).Verdict).To(Equal(VerdictInvalid))
		m.must(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
		m.must(put(KindVersion, "title@v1", VersionSpec{Source: "title/1"}))
	})

	It("keeps what is in use", func() {
		m := declared(Retention{})
		Expect(m.do(remove(KindVersion, "title@v1")).Verdict).To(Equal(VerdictInUse))
		Expect(m.do(remove(KindAdapter, "title")).Verdict).To(Equal(VerdictInUse))
		Expect(m.do(remove(KindWorkspace, "savannah")).Verdict).To(Equal(VerdictInUse))
		Expect(m.do(put(KindAdapter, "title", AdapterSpec{BaseModel: "other", Current: "v1"})).Verdict).To(Equal(VerdictInUse))
		m.must(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
		m.must(remove(KindVersion, "title@v1"))
		m.must(remove(KindAdapter, "title"))
		m.must(remove(KindWorkspace, "savannah"))
		rs, _ := m.All()
		Expect(rs).To(BeEmpty())
	})

	It("gives a bearer key to one workspace only", func() {
		m := newMachine(Retention{})
		key := put(KindKey, "desk", KeySpec{Hash: strings.Repeat("0a", 32)})
		m.must(key)
		m = m.restarted()
		key.Resource.Metadata.Workspace = "macon"
		Expect(m.do(key).Verdict).To(Equal(VerdictInvalid))
		m.must(remove(KindKey, "desk"))
		m.must(key)
	})

	DescribeTable("refuses what breaks a rule", func(c Command) {
		m := declared(Retention{})
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

	It("passes over an entry that it has applied", func() {
		m := declared(Retention{})
		data, err := Encode(Envelope{Command: remove(KindAdapter, "title")})
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Apply(2, data).(Result).Verdict).To(Equal(VerdictStale))
		Expect(m.Revision()).To(BeEquivalentTo(3))
		Expect(m.Apply(9, []byte("damaged")).(Result).Verdict).To(Equal(VerdictInvalid))
	})

	It("shows each kind's own spec in JSON and takes it back", func() {
		m := declared(Retention{})
		m.must(JoinMember{Name: "engine-1", Member: MemberSpec{Address: "127.0.0.1:1", Incarnation: "a", State: MemberStateLeaving}})
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
	// Symptom: a change resent after its answer was lost takes effect again, and
	// undoes what another operator did in between. Sequence: accepted, answer
	// lost, host restarted from a snapshot, another change, the first resent.
	// Cause: the memory of answers was not part of the replicated state.
	It("gives the first answer again, also after a restart", func() {
		m := declared(Retention{})
		first := Envelope{IdempotencyKey: "k", Digest: []byte("one"), Command: put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"})}
		Expect(m.send(first).Revision).To(BeEquivalentTo(4))
		m = m.restarted()
		m.must(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance", Current: "v1"}))

		again := m.send(first)
		Expect(again.Replayed).To(BeTrue())
		Expect(again.Revision).To(BeEquivalentTo(4))
		Expect(m.Revision()).To(BeEquivalentTo(5))

		other := first
		other.Digest = []byte("two")
		Expect(m.send(other).Verdict).To(Equal(VerdictKeyReused))
	})

	It("repeats a refusal too, though the change would now succeed", func() {
		m := declared(Retention{})
		first := Envelope{IdempotencyKey: "k", Command: remove(KindVersion, "title@v1")}
		Expect(m.send(first).Verdict).To(Equal(VerdictInUse))
		m.must(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
		again := m.send(first)
		Expect(again.Verdict).To(Equal(VerdictInUse))
		Expect(again.Replayed).To(BeTrue())
	})

	// Symptom: all memory of changes is gone at once. Sequence: one entry whose
	// clock is a year ahead proposes a change. Cause: age by time alone.
	It("forgets by age and position together, and no leap of a clock", func() {
		m := newMachine(Retention{IdempotencyAge: 90 * time.Second, MinEntries: 5})
		e := Envelope{IdempotencyKey: "k", Command: put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"})}
		m.send(e)
		m.now += Instant(365 * 24 * time.Hour)
		m.do(put(KindAdapter, "other", AdapterSpec{BaseModel: "clearance"}))
		Expect(m.send(e).Replayed).To(BeTrue(), "aged by a leap")
		Expect(m.send(e).Replayed).To(BeTrue(), "forgotten before its place in the log")
		m.now = 1
		Expect(m.send(e).Replayed).To(BeTrue(), "forgotten before its place in the log")
		Expect(m.send(e).Replayed).To(BeFalse())
	})

	It("refuses new records beyond the bound instead of forgetting early", func() {
		m := newMachine(Retention{MaxRecords: 1})
		e := Envelope{IdempotencyKey: "a", Command: put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"})}
		m.send(e)
		other := e
		other.IdempotencyKey = "b"
		Expect(m.send(other).Verdict).To(Equal(VerdictFull))
		Expect(m.send(e).Replayed).To(BeTrue())
		claim := ClaimCall{Workspace: "savannah", Key: "a", Holder: "entry-1"}
		m.must(claim)
		claim.Key = "b"
		Expect(m.do(claim).Verdict).To(Equal(VerdictFull))
		for _, name := range []string{"title@v1", "title@v2"} {
			m.must(put(KindVersion, name, VersionSpec{Source: name}))
		}
		m.must(remove(KindVersion, "title@v1"))
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

	It("has one holder, until that one proves that the call did not run", func() {
		m := newMachine(Retention{})
		m.must(claim)
		m.must(claim)
		held := m.do(second)
		Expect(held.Verdict).To(Equal(VerdictHeld))
		Expect(held.Claim.Holder).To(Equal("entry-1"))
		Expect(m.do(settle("entry-2", ClaimStateReleased)).Verdict).To(Equal(VerdictHeld))
		m.must(settle("entry-1", ClaimStateReleased))
		m = m.restarted()
		m.must(second)
		Expect(m.do(claim).Verdict).To(Equal(VerdictHeld))
		other := second
		other.Digest = []byte("two")
		Expect(m.do(other).Verdict).To(Equal(VerdictKeyReused))
	})

	// Symptom: a key answers "in progress" until it expires, though nobody runs its
	// call. Sequence: an entry proposes a claim and gives up; it releases the key; a
	// copy of its proposal arrives late. Cause: the holder's own proposal was
	// accepted after the holder had released.
	It("does not go back to a holder that has given it up", func() {
		m := newMachine(Retention{})
		m.must(claim)
		m.must(settle("entry-1", ClaimStateReleased))
		Expect(m.do(claim).Verdict).To(Equal(VerdictHeld))
		m.must(second)
	})

	// Symptom: a booking is made twice. Sequence: the holder's call ends as
	// unknown, a late message of the holder says that it did not run. Cause: an
	// outcome was taken back.
	It("moves forward only", func() {
		m := newMachine(Retention{})
		m.must(claim)
		m.must(settle("entry-1", ClaimStateUnknown))
		Expect(m.do(settle("entry-1", ClaimStateReleased)).Verdict).To(Equal(VerdictConflict))
		Expect(m.do(claim).Verdict).To(Equal(VerdictHeld))
		m.must(settle("entry-1", ClaimStateDone))
		Expect(m.do(settle("entry-1", ClaimStateUnknown)).Verdict).To(Equal(VerdictConflict))
		c, _ := m.Claim("savannah", "review")
		Expect(c.State).To(Equal(ClaimStateDone))
		Expect(c.Backend).To(Equal("engine-1"))
	})
})

var _ = Describe("Members", func() {
	join := JoinMember{Name: "engine-1", Member: MemberSpec{Address: "127.0.0.1:1", Incarnation: "a"}}
	epoch := func(r Result) uint64 { return r.Resource.Spec.(MemberSpec).Epoch }

	It("keeps the epoch for the same incarnation and gives a later one a higher", func() {
		m := newMachine(Retention{})
		Expect(epoch(m.must(join))).To(BeEquivalentTo(1))
		Expect(epoch(m.must(join))).To(BeEquivalentTo(1))
		Expect(m.Revision()).To(BeEquivalentTo(1))
		later := join
		later.Member.Incarnation = "b"
		Expect(epoch(m.must(later))).To(BeEquivalentTo(3))
		Expect(m.do(LeaveMember{Name: "engine-1", Epoch: 1, Ended: true}).Verdict).To(Equal(VerdictStale))
		m.must(LeaveMember{Name: "engine-1", Epoch: 3})
		Expect(m.do(ExpireMembers{Members: []MemberEpoch{{Name: "engine-1", Epoch: 1}}}).Verdict).To(Equal(VerdictStale))
		m.must(ExpireMembers{Members: []MemberEpoch{{Name: "engine-1", Epoch: 3}, {Name: "none", Epoch: 1}}})
		rs, _ := m.List(KindMember, "")
		Expect(rs).To(BeEmpty())
	})

	// Symptom: requests go to an engine that is gone. Sequence: an engine
	// restarts and joins as a new incarnation; the join of the old one, which
	// was on its way, arrives after it. Cause: the last join to arrive won.
	It("refuses the late join of an incarnation that was replaced", func() {
		m := newMachine(Retention{})
		m.must(join)
		later := join
		later.Member.Incarnation = "b"
		m.must(later)
		m = m.restarted()
		Expect(m.do(join).Verdict).To(Equal(VerdictStale))
	})
})

var _ = Describe("Watchers", func() {
	// Symptom: a watcher shows a resource that was deleted while it was away.
	// Sequence: it sleeps through more changes than are kept. Cause: a gap was
	// passed over in silence.
	It("says when the history no longer reaches back, also after a restart", func() {
		m := declared(Retention{HistoryChanges: 2})
		m.must(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
		m.must(remove(KindVersion, "title@v1"))
		m = m.restarted()
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

	It("gives the changes of one revision together", func() {
		m := declared(Retention{})
		changes, upTo, ok := m.Since(0, 1)
		Expect(ok).To(BeTrue())
		Expect(changes).To(HaveExactElements(HaveField("Resource.Kind", KindWorkspace), HaveField("Resource.Kind", KindAdapter)))
		Expect(upTo).To(BeEquivalentTo(1))
	})

	It("wakes those who wait", func() {
		m := newMachine(Retention{})
		woken := make(chan error, 1)
		go func() { woken <- m.Wait(context.Background(), 0) }()
		m.must(put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}))
		Eventually(woken).Should(Receive(BeNil()))
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(m.Wait(ended, 1)).To(MatchError(context.Canceled))
	})
})

var _ = Describe("Snapshots", func() {
	It("leaves the state as it was when one is damaged", func() {
		m := declared(Retention{})
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
