package storer

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The end of a backend server", func() {
	const name = "10.0.0.1-80"
	serving := func(m *machine) bool {
		r, ok := m.Get(Key{Kind: KindMember, Name: name})
		return ok && r.Spec.(MemberSpec).State == MemberStateServing
	}
	expire := func(m *machine) {
		r, ok := m.Get(Key{Kind: KindMember, Name: name})
		Expect(ok).To(BeTrue())
		m.do(ExpireMembers{Members: []MemberEpoch{{Name: name, Epoch: r.Spec.(MemberSpec).Epoch}}})
	}

	It("is recorded after its lease has expired", func() {
		// Guards against requests to a backend server that ended while it had no membership.
		m := newMachine(Retention{})
		m.do(announce("i-1", MemberStateServing))
		expire(m)
		m.do(RetireMember{Incarnation: "i-1", Instance: "i-1"})
		for _, state := range []MemberState{MemberStateServing, MemberStateLeaving} {
			Expect(m.do(announce("i-1", state)).Verdict).To(Equal(VerdictStale))
			Expect(m.restoreFromSnapshot().do(announce("i-1", state)).Verdict).To(Equal(VerdictStale), "after a snapshot")
		}
		Expect(serving(m)).To(BeFalse())
	})

	It("is recorded if it was never announced", func() {
		// Guards against requests to a backend server whose announcement arrives after its end.
		m := newMachine(Retention{})
		m.do(RetireMember{Incarnation: "i-1"})
		Expect(m.do(announce("i-1", MemberStateServing)).Verdict).To(Equal(VerdictStale))
		Expect(m.do(announce("i-2", MemberStateServing)).Verdict).To(Equal(VerdictAccepted), "another incarnation at its address")
	})

	It("stays recorded when the next one at its address has ended too", func() {
		// Guards against a departure that is lost when the membership of another incarnation ends.
		m := newMachine(Retention{})
		m.do(announce("i-1", MemberStateServing))
		m.do(RetireMember{Name: name, Incarnation: "i-1"})
		m.do(announce("i-2", MemberStateServing))
		expire(m)
		Expect(m.do(announce("i-1", MemberStateServing)).Verdict).To(Equal(VerdictStale))
	})

	It("is not reverted by a late heartbeat when the lease expires after a leave", func() {
		// Guards against requests to a backend server whose leave was acknowledged before its lease expired.
		m := newMachine(Retention{})
		m.do(announce("i-1", MemberStateServing))
		m.do(announce("i-1", MemberStateLeaving))
		expire(m)
		for _, replica := range []*machine{m, m.restoreFromSnapshot()} {
			Expect(replica.do(announce("i-1", MemberStateServing)).Verdict).To(Equal(VerdictStale))
			Expect(serving(replica)).To(BeFalse())
			Expect(replica.do(announce("i-1", MemberStateLeaving)).Verdict).To(Equal(VerdictAccepted))
			Expect(replica.do(announce("i-1", MemberStateServing)).Verdict).To(Equal(VerdictAccepted))
			Expect(serving(replica)).To(BeFalse())
			replica.do(RetireMember{Incarnation: "i-1"})
			Expect(replica.do(announce("i-1", MemberStateLeaving)).Verdict).To(Equal(VerdictStale))
			Expect(replica.departures.count).To(Equal(1))
		}
	})

	It("does not replace another incarnation's membership when a leave arrives late", func() {
		// Guards against a late leave that ends the membership of another incarnation at the same address.
		m := newMachine(Retention{})
		m.do(announce("i-1", MemberStateServing))
		m.do(announce("i-1", MemberStateLeaving))
		expire(m)
		m.do(announce("i-2", MemberStateServing))
		Expect(m.do(announce("i-1", MemberStateLeaving)).Verdict).To(Equal(VerdictStale))
		Expect(m.do(announce("i-2", MemberStateServing)).Verdict).To(Equal(VerdictAccepted))
		Expect(serving(m)).To(BeTrue())
	})

	It("is announced by a leave that arrives after a message with a higher sequence number", func() {
		// Guards against a leave that is acknowledged but does not take effect.
		m := newMachine(Retention{})
		m.do(announceIncarnation("a", 1, 5))
		leaving := announceIncarnation("a", 1, 3)
		leaving.Member.State = MemberStateLeaving
		for _, c := range []AnnounceMember{leaving, announceIncarnation("a", 1, 4), announceIncarnation("a", 1, 6)} {
			m.do(c)
			r, _ := m.Get(Key{Kind: KindMember, Name: "a"})
			Expect(r.Spec.(MemberSpec).State).To(Equal(MemberStateLeaving))
		}
	})

	It("applies to the given incarnation, or to all incarnations of the given backend server", func() {
		// Guards against a delayed end of one incarnation that ends the membership of a later one.
		m := newMachine(Retention{})
		m.do(announceIncarnation("a", 2, 1))
		m.do(RetireMember{Incarnation: "i 1"})
		_, ok := m.Get(Key{Kind: KindMember, Name: "a"})
		Expect(ok).To(BeTrue(), "a later incarnation")
		Expect(m.do(RetireMember{Incarnation: "i", Instance: "i"}).Verdict).To(Equal(VerdictAccepted))
		_, ok = m.Get(Key{Kind: KindMember, Name: "a"})
		Expect(ok).To(BeFalse())
		Expect(m.do(announceIncarnation("a", 2, 2)).Verdict).To(Equal(VerdictStale))
		Expect(m.do(announceIncarnation("a", 3, 1)).Verdict).To(Equal(VerdictAccepted))
	})

	It("applies to the incarnation whose lease has expired if the end names only the backend server", func() {
		// Guards against requests to a backend server that left while its lease had run out: the
		// end names no incarnation, and a heartbeat that was delayed until then arrives after it.
		m := newMachine(Retention{})
		m.do(announceIncarnation("a", 1, 5))
		r, _ := m.Get(Key{Kind: KindMember, Name: "a"})
		m.do(ExpireMembers{Members: []MemberEpoch{{Name: "a", Epoch: r.Spec.(MemberSpec).Epoch}}})
		for _, replica := range []*machine{m, m.restoreFromSnapshot()} {
			Expect(replica.do(RetireMember{Incarnation: "i", Instance: "i"}).Verdict).To(Equal(VerdictStale))
			Expect(replica.do(announceIncarnation("a", 1, 6)).Verdict).To(Equal(VerdictStale))
			Expect(replica.restoreFromSnapshot().do(announceIncarnation("a", 1, 6)).Verdict).To(Equal(VerdictStale), "after a snapshot")
			Expect(replica.do(announceIncarnation("a", 2, 1)).Verdict).To(Equal(VerdictAccepted), "a later incarnation")
		}
	})

	It("does not apply to an incarnation whose lease has only expired", func() {
		// Guards against a backend server that gets no requests after a partition has healed.
		m := newMachine(Retention{})
		m.do(announceIncarnation("a", 1, 5))
		r, _ := m.Get(Key{Kind: KindMember, Name: "a"})
		m.do(ExpireMembers{Members: []MemberEpoch{{Name: "a", Epoch: r.Spec.(MemberSpec).Epoch}}})
		Expect(m.do(announceIncarnation("a", 1, 6)).Verdict).To(Equal(VerdictAccepted))
	})

	It("applies for a while to a backend server that has not been announced yet", func() {
		// Guards against requests to a backend server whose only announcement is delivered after
		// an end that names no incarnation, and against one that is excluded after a restart.
		m := newMachine(Retention{})
		m.do(RetireMember{Incarnation: "i", Instance: "i"})
		Expect(m.do(announceIncarnation("a", 1, 1)).Verdict).To(Equal(VerdictStale))
		m.now += Instant(unknownIncarnationPeriod)
		Expect(m.do(announceIncarnation("a", 2, 1)).Verdict).To(Equal(VerdictAccepted))
	})

	It("is dropped after departureAge, and not sooner", func() {
		// Guards against departures that are dropped early, and against ones that are never dropped.
		m := newMachine(Retention{MinEntries: 1})
		m.do(RetireMember{Incarnation: "i-1"})
		for range int(Instant(departureAge) / maxTimeStep) {
			m.now += maxTimeStep
			Expect(m.do(announce("i-1", MemberStateServing)).Verdict).To(Equal(VerdictStale))
		}
		m.now += maxTimeStep
		Expect(m.do(announce("i-1", MemberStateServing)).Verdict).To(Equal(VerdictAccepted))
		Expect(m.departures.count).To(BeZero())
		Expect(m.departures.entries).To(BeEmpty())
	})

	It("replaces the oldest one beyond maxDepartures", func() {
		// Guards against unbounded growth of the replicated state.
		m := newMachine(Retention{})
		for i := range maxDepartures + 1 {
			m.do(RetireMember{Incarnation: fmt.Sprint("i-", i)})
		}
		Expect(m.departures.count).To(Equal(maxDepartures))
		Expect(m.do(announce("i-1", MemberStateServing)).Verdict).To(Equal(VerdictStale))
		Expect(m.do(announce("i-0", MemberStateServing)).Verdict).To(Equal(VerdictAccepted))
	})
})
