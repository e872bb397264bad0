package storer

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func announced(incarnation string, state MemberState) AnnounceMember {
	return AnnounceMember{Name: "10.0.0.1-80", Member: MemberSpec{
		Address: "10.0.0.1:80", Service: "s", Incarnation: incarnation, State: state,
	}}
}

var _ = Describe("The routing configuration", func() {
	It("keeps the highest number, whatever comes later", func() {
		// Symptom: a configuration that was in force comes back hours later.
		// Events: two operators send 5 and 7 at once; 5 was delayed and arrives
		// after 7, or is sent again by one who missed its answer.
		// Cause: the last writer won.
		a := newMachine(Retention{})
		Expect(a.do(PutRouting{Number: 7, Document: []byte("seven")}).Verdict).To(Equal(VerdictAccepted))
		late := a.do(PutRouting{Number: 5, Document: []byte("five")})
		Expect(late.Verdict).To(Equal(VerdictAccepted), "who was overtaken is not to try again")
		Expect(a.do(PutRouting{Number: 7, Document: []byte("another")}).Verdict).To(Equal(VerdictAccepted))
		r, ok := a.Get(Key{Kind: KindRouting, Name: RoutingName})
		Expect(ok).To(BeTrue())
		Expect(r.Spec).To(Equal(RoutingSpec{Number: 7, Document: []byte("seven")}))
		Expect(a.Revision()).To(Equal(uint64(1)), "what changes nothing is told to nobody")
	})

	It("keeps the newest version of an adapter", func() {
		a := newMachine(Retention{})
		a.do(NameNewest{Name: "m/a7", Version: 3})
		a.do(NameNewest{Name: "m/a7", Version: 2})
		r, _ := a.Get(Key{Kind: KindNewest, Name: "m/a7"})
		Expect(r.Spec).To(Equal(NewestSpec{Version: 3}))
	})

	It("can't be written one by one", func() {
		a := newMachine(Retention{})
		r := Resource{Kind: KindRouting, Metadata: Metadata{Name: RoutingName}, Spec: RoutingSpec{Number: 1}}
		Expect(a.do(PutResource{Resource: r}).Verdict).To(Equal(VerdictInvalid))
		Expect(a.do(DeleteResource{Key: r.Key()}).Verdict).To(Equal(VerdictInvalid))
	})

	It("survives a snapshot, and so does who has ended", func() {
		a := newMachine(Retention{})
		a.do(PutRouting{Number: 7, Document: []byte("seven")})
		a.do(announced("i-1", MemberStateServing))
		a.do(RetireMember{Name: "10.0.0.1-80", Incarnation: "i-1"})
		b := a.restarted()
		r, ok := b.Get(Key{Kind: KindRouting, Name: RoutingName})
		Expect(ok).To(BeTrue())
		Expect(r.Spec).To(Equal(RoutingSpec{Number: 7, Document: []byte("seven")}))
		Expect(b.do(announced("i-1", MemberStateServing)).Verdict).To(Equal(VerdictStale))
	})
})

var _ = Describe("An announcement", func() {
	It("doesn't take back that its sender leaves", func() {
		// Symptom: a backend server that was to be emptied gets requests again.
		// Events: it says that it serves; the message is held up; it says that it
		// leaves, which is acknowledged; the first message arrives.
		// Cause: the last message to arrive won.
		a := newMachine(Retention{})
		a.do(announced("i-1", MemberStateServing))
		a.do(announced("i-1", MemberStateLeaving))
		late := a.do(announced("i-1", MemberStateServing))
		Expect(late.Resource.Spec.(MemberSpec).State).To(Equal(MemberStateLeaving))
	})

	It("of a life that was replaced is passed over", func() {
		// Symptom: requests go to an address under the name of a backend server
		// that crashed; each is refused there.
		// Events: a heartbeat is held up by a cut; its sender crashes; another life
		// announces itself at the address; the cut heals.
		// Cause: an incarnation that was not the present one looked like a new one.
		a := newMachine(Retention{})
		first := a.do(announced("i-1", MemberStateServing)).Resource.Spec.(MemberSpec)
		second := a.do(announced("i-2", MemberStateServing)).Resource.Spec.(MemberSpec)
		Expect(second.Epoch).To(BeNumerically(">", first.Epoch))
		Expect(a.do(announced("i-1", MemberStateServing)).Verdict).To(Equal(VerdictStale))
		r, _ := a.Get(Key{Kind: KindMember, Name: "10.0.0.1-80"})
		Expect(r.Spec.(MemberSpec).Incarnation).To(Equal("i-2"))
	})

	It("of a life that was retired is passed over, but one that only fell silent may come back", func() {
		a := newMachine(Retention{})
		m := a.do(announced("i-1", MemberStateServing)).Resource.Spec.(MemberSpec)
		a.do(ExpireMembers{Members: []MemberEpoch{{Name: "10.0.0.1-80", Epoch: m.Epoch}}})
		Expect(a.do(announced("i-1", MemberStateServing)).Verdict).To(Equal(VerdictAccepted))
		a.do(RetireMember{Name: "10.0.0.1-80", Incarnation: "i-1"})
		Expect(a.do(announced("i-1", MemberStateServing)).Verdict).To(Equal(VerdictStale))
	})

	It("retires no later life", func() {
		a := newMachine(Retention{})
		a.do(announced("i-2", MemberStateServing))
		Expect(a.do(RetireMember{Name: "10.0.0.1-80", Incarnation: "i-1"}).Verdict).To(Equal(VerdictStale))
		_, ok := a.Get(Key{Kind: KindMember, Name: "10.0.0.1-80"})
		Expect(ok).To(BeTrue())
	})

	It("keeps its epoch while nothing changes", func() {
		a := newMachine(Retention{})
		m := a.do(announced("i-1", MemberStateServing))
		again := a.do(announced("i-1", MemberStateServing))
		Expect(again.Revision).To(Equal(m.Revision))
	})
})
