package storer

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func announce(incarnation string, state MemberState) AnnounceMember {
	return AnnounceMember{Name: "10.0.0.1-80", Member: MemberSpec{
		Address: "10.0.0.1:80", Service: "s", Incarnation: incarnation, State: state,
	}}
}

var _ = Describe("The routing configuration", func() {
	It("keeps the highest number, in any order of arrival", func() {
		// Guards against an earlier configuration that takes effect again hours later. It
		// occurs if two operators send 5 and 7 at the same time, and 5 is delayed and arrives
		// after 7, or is resent after its answer was lost.
		a := newMachine(Retention{})
		Expect(a.do(PutRouting{Number: 7, Document: []byte("seven")}).Verdict).To(Equal(VerdictAccepted))
		late := a.do(PutRouting{Number: 5, Document: []byte("five")})
		Expect(late.Verdict).To(Equal(VerdictAccepted), "the sender of an outdated number must not retry")
		Expect(a.do(PutRouting{Number: 7, Document: []byte("another")}).Verdict).To(Equal(VerdictAccepted))
		r, ok := a.Get(Key{Kind: KindRouting, Name: RoutingName})
		Expect(ok).To(BeTrue())
		Expect(r.Spec).To(Equal(RoutingSpec{Number: 7, Document: []byte("seven")}))
		Expect(a.Revision()).To(Equal(uint64(1)), "a command without effect is not published")
	})

	It("keeps the newest version of an adapter", func() {
		a := newMachine(Retention{})
		a.do(NameNewest{Name: "m/a7", Version: 3})
		a.do(NameNewest{Name: "m/a7", Version: 2})
		r, _ := a.Get(Key{Kind: KindNewest, Name: "m/a7"})
		Expect(r.Spec).To(Equal(NewestSpec{Version: 3}))
	})

	It("can't be written as a resource", func() {
		a := newMachine(Retention{})
		r := Resource{Kind: KindRouting, Metadata: Metadata{Name: RoutingName}, Spec: RoutingSpec{Number: 1}}
		Expect(a.do(PutResource{Resource: r}).Verdict).To(Equal(VerdictInvalid))
		Expect(a.do(DeleteResource{Key: r.Key()}).Verdict).To(Equal(VerdictInvalid))
	})

	It("is restored from a snapshot, together with ended incarnations", func() {
		a := newMachine(Retention{})
		a.do(PutRouting{Number: 7, Document: []byte("seven")})
		a.do(announce("i-1", MemberStateServing))
		a.do(RetireMember{Name: "10.0.0.1-80", Incarnation: "i-1"})
		b := a.restoreFromSnapshot()
		r, ok := b.Get(Key{Kind: KindRouting, Name: RoutingName})
		Expect(ok).To(BeTrue())
		Expect(r.Spec).To(Equal(RoutingSpec{Number: 7, Document: []byte("seven")}))
		Expect(b.do(announce("i-1", MemberStateServing)).Verdict).To(Equal(VerdictStale))
	})
})

var _ = Describe("An announcement", func() {
	It("does not revert its sender's leave", func() {
		// Guards against requests to a backend server that is being drained. They occur if an
		// announcement as serving is delayed and arrives after a leave that was acknowledged.
		a := newMachine(Retention{})
		a.do(announce("i-1", MemberStateServing))
		a.do(announce("i-1", MemberStateLeaving))
		late := a.do(announce("i-1", MemberStateServing))
		Expect(late.Resource.Spec.(MemberSpec).State).To(Equal(MemberStateLeaving))
	})

	It("of a replaced incarnation is ignored", func() {
		// Guards against requests for a crashed backend server, which are refused by its
		// successor at the same address. They occur if a heartbeat is delayed by a partition,
		// its sender crashes, another incarnation announces itself at the address, and the
		// heartbeat arrives and looks like that of a new incarnation.
		a := newMachine(Retention{})
		first := a.do(announce("i-1", MemberStateServing)).Resource.Spec.(MemberSpec)
		second := a.do(announce("i-2", MemberStateServing)).Resource.Spec.(MemberSpec)
		Expect(second.Epoch).To(BeNumerically(">", first.Epoch))
		Expect(a.do(announce("i-1", MemberStateServing)).Verdict).To(Equal(VerdictStale))
		r, _ := a.Get(Key{Kind: KindMember, Name: "10.0.0.1-80"})
		Expect(r.Spec.(MemberSpec).Incarnation).To(Equal("i-2"))
	})

	It("of a retired incarnation is ignored, but one of an expired membership is accepted", func() {
		a := newMachine(Retention{})
		m := a.do(announce("i-1", MemberStateServing)).Resource.Spec.(MemberSpec)
		a.do(ExpireMembers{Members: []MemberEpoch{{Name: "10.0.0.1-80", Epoch: m.Epoch}}})
		Expect(a.do(announce("i-1", MemberStateServing)).Verdict).To(Equal(VerdictAccepted))
		a.do(RetireMember{Name: "10.0.0.1-80", Incarnation: "i-1"})
		Expect(a.do(announce("i-1", MemberStateServing)).Verdict).To(Equal(VerdictStale))
	})

	It("of a later incarnation is not affected by the end of an earlier one", func() {
		a := newMachine(Retention{})
		a.do(announce("i-2", MemberStateServing))
		Expect(a.do(RetireMember{Name: "10.0.0.1-80", Incarnation: "i-1"}).Verdict).To(Equal(VerdictStale))
		_, ok := a.Get(Key{Kind: KindMember, Name: "10.0.0.1-80"})
		Expect(ok).To(BeTrue())
	})

	It("keeps its epoch while nothing changes", func() {
		a := newMachine(Retention{})
		m := a.do(announce("i-1", MemberStateServing))
		again := a.do(announce("i-1", MemberStateServing))
		Expect(again.Revision).To(Equal(m.Revision))
	})
})
