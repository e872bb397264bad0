package storer

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// announceIncarnation returns an announcement of the incarnation of a backend server that
// started at the given time; 0 means that it reports no start time.
func announceIncarnation(address string, started, sequence uint64) AnnounceMember {
	incarnation := "i"
	if started > 0 {
		incarnation += " " + string(rune('0'+started))
	}
	return AnnounceMember{Name: address, Member: MemberSpec{
		Address: address, Service: "s", Instance: "i", Born: started, Incarnation: incarnation, Sequence: sequence,
	}}
}

var _ = Describe("A backend server that restarts under its name", func() {
	member := func(m *machine, name string) (MemberSpec, bool) {
		r, ok := m.Get(Key{Kind: KindMember, Name: name})
		if !ok {
			return MemberSpec{}, false
		}
		return r.Spec.(MemberSpec), true
	}

	It("begins another membership", func() {
		// Guards against calls to an engine for adapters that it lost in a restart. They
		// occur if an engine that restarts with the same ID keeps its membership.
		m := newMachine(Retention{})
		m.do(announceIncarnation("a", 1, 9))
		first, _ := member(m, "a")
		Expect(m.do(announceIncarnation("a", 2, 1)).Verdict).To(Equal(VerdictAccepted))
		second, _ := member(m, "a")
		Expect(second.Epoch).To(BeNumerically(">", first.Epoch))
		Expect(second.Incarnation).NotTo(Equal(first.Incarnation))
	})

	It("is not replaced by a late message of its previous incarnation", func() {
		// Guards against calls to an incarnation that has ended. They occur if a heartbeat
		// is delayed, and its sender crashes and restarts at the same or another address
		// before the heartbeat arrives.
		for _, at := range []string{"a", "b"} {
			m := newMachine(Retention{})
			m.do(announceIncarnation("a", 1, 1))
			m.do(announceIncarnation(at, 2, 1))
			Expect(m.do(announceIncarnation("a", 1, 2)).Verdict).To(Equal(VerdictStale))
			Expect(m.do(announceIncarnation("a", 0, 3)).Verdict).To(Equal(VerdictStale), "without a start time")
			held, ok := member(m, at)
			Expect(ok).To(BeTrue())
			Expect(held.Born).To(BeEquivalentTo(2))
		}
	})

	It("ends its previous membership at another address immediately", func() {
		m := newMachine(Retention{})
		m.do(announceIncarnation("a", 1, 1))
		m.do(announceIncarnation("b", 2, 1))
		_, ok := member(m, "a")
		Expect(ok).To(BeFalse())
		_, ok = member(m, "b")
		Expect(ok).To(BeTrue())
	})

	It("keeps its membership if no start time is announced", func() {
		m := newMachine(Retention{})
		first := m.do(announceIncarnation("a", 0, 1))
		Expect(m.do(announceIncarnation("a", 0, 2)).Revision).To(Equal(first.Revision), "another message with the same content")
	})

	It("ignores a message that arrives after a later one with other content", func() {
		m := newMachine(Retention{})
		m.do(announceIncarnation("a", 1, 1))
		later := announceIncarnation("a", 1, 5)
		later.Member.Slots = 8
		m.do(later)
		Expect(m.do(announceIncarnation("a", 1, 3)).Verdict).To(Equal(VerdictStale))
		held, _ := member(m, "a")
		Expect(held.Slots).To(Equal(8))
	})
})
