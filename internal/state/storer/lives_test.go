package storer

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// life is the word of a backend server on a life that began at a time.
func life(address string, born, sequence uint64) AnnounceMember {
	incarnation := "i"
	if born > 0 {
		incarnation += " " + string(rune('0'+born))
	}
	return AnnounceMember{Name: address, Member: MemberSpec{
		Address: address, Service: "s", Instance: "i", Born: born, Incarnation: incarnation, Sequence: sequence,
	}}
}

var _ = Describe("A backend server that starts again under its name", func() {
	member := func(m *machine, name string) (MemberSpec, bool) {
		r, ok := m.Get(Key{Kind: KindMember, Name: name})
		if !ok {
			return MemberSpec{}, false
		}
		return r.Spec.(MemberSpec), true
	}

	It("begins another membership", func() {
		// Symptom: calls go to an engine for adapters that it lost with its former life.
		// Events: it crashes and starts again under the same id.
		// Cause: the id alone told a life.
		m := newMachine(Retention{})
		m.do(life("a", 1, 9))
		first, _ := member(m, "a")
		Expect(m.do(life("a", 2, 1)).Verdict).To(Equal(VerdictAccepted))
		second, _ := member(m, "a")
		Expect(second.Epoch).To(BeNumerically(">", first.Epoch))
		Expect(second.Incarnation).NotTo(Equal(first.Incarnation))
	})

	It("is not taken back by a late word of its former life", func() {
		// Symptom: calls go to a life that has ended.
		// Events: a heartbeat is held up; its sender crashes and starts again, here or
		// elsewhere; the heartbeat arrives.
		for _, at := range []string{"a", "b"} {
			m := newMachine(Retention{})
			m.do(life("a", 1, 1))
			m.do(life(at, 2, 1))
			Expect(m.do(life("a", 1, 2)).Verdict).To(Equal(VerdictStale))
			Expect(m.do(life("a", 0, 3)).Verdict).To(Equal(VerdictStale), "one that does not tell its birth")
			held, ok := member(m, at)
			Expect(ok).To(BeTrue())
			Expect(held.Born).To(BeEquivalentTo(2))
		}
	})

	It("ends its former life at another address at once", func() {
		m := newMachine(Retention{})
		m.do(life("a", 1, 1))
		m.do(life("b", 2, 1))
		_, ok := member(m, "a")
		Expect(ok).To(BeFalse())
		_, ok = member(m, "b")
		Expect(ok).To(BeTrue())
	})

	It("is known by its name alone where no birth is told", func() {
		m := newMachine(Retention{})
		first := m.do(life("a", 0, 1))
		Expect(m.do(life("a", 0, 2)).Revision).To(Equal(first.Revision), "another message with the same content")
	})

	It("passes over a message that was overtaken by one with other content", func() {
		m := newMachine(Retention{})
		m.do(life("a", 1, 1))
		later := life("a", 1, 5)
		later.Member.Slots = 8
		m.do(later)
		Expect(m.do(life("a", 1, 3)).Verdict).To(Equal(VerdictStale))
		held, _ := member(m, "a")
		Expect(held.Slots).To(Equal(8))
	})
})
