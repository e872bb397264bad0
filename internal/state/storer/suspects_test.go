package storer

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suspectName = strings.Repeat("0f", 16)

func endUnder(life uint64, progressed bool) CountEnds {
	return CountEnds{Service: "s", Life: life, Requests: []EndedRequest{{Name: suspectName, Place: 7, Progressed: progressed}}}
}

func suspectOf(m *machine) (SuspectSpec, bool) {
	r, ok := m.Get(Key{Kind: KindSuspect, Name: suspectName})
	if !ok {
		return SuspectSpec{}, false
	}
	return r.Spec.(SuspectSpec), true
}

var _ = Describe("A suspect", func() {
	It("counts each life once, as it was seen worst", func() {
		m := newMachine(Retention{})
		m.must(endUnder(1, true))
		Expect(m.do(endUnder(1, true)).Verdict).To(Equal(VerdictStale), "told by another entry")
		m.must(endUnder(1, false))
		Expect(m.do(endUnder(1, true)).Verdict).To(Equal(VerdictStale))
		spec, _ := suspectOf(m)
		Expect(spec).To(Equal(SuspectSpec{Service: "s", Place: 7, Lives: []IncarnationEnd{{Life: 1}}}))
	})

	It("survives a snapshot, in quarantine and with what it has proved before", func() {
		m := newMachine(Retention{})
		for life := range uint64(3) {
			m.must(endUnder(life, false))
		}
		next := m.restarted()
		spec, _ := suspectOf(next)
		Expect(spec.Quarantined).To(BeTrue())
		r, _ := next.Get(Key{Kind: KindSuspect, Name: suspectName})
		next.must(ReviewSuspects{Suspects: []SuspectRevision{{Name: suspectName, Revision: r.Metadata.Revision}}})
		next = next.restarted()
		spec, _ = suspectOf(next)
		Expect(spec).To(Equal(SuspectSpec{Service: "s", Place: 7, Times: 1}))
		next.must(endUnder(9, false))
		spec, _ = suspectOf(next)
		Expect(spec.Quarantined).To(BeTrue())
		Expect(spec.Times).To(Equal(2))
	})

	It("is told to watchers when it comes, changes and goes", func() {
		m := newMachine(Retention{})
		m.must(endUnder(1, false))
		m.must(endUnder(2, false))
		m.must(ClearSuspects{Names: []string{"unknown", suspectName}})
		Expect(m.do(ClearSuspects{Names: []string{suspectName}}).Verdict).To(Equal(VerdictStale))
		changes, _, ok := m.Since(0, 0)
		Expect(ok).To(BeTrue())
		Expect(changes).To(HaveLen(3))
		Expect(changes[2].Deleted).To(BeTrue())
		_, known := suspectOf(m)
		Expect(known).To(BeFalse())
	})

	It("can't be declared, and remembers a bounded number of lives", func() {
		m := newMachine(Retention{})
		r := Resource{Kind: KindSuspect, Metadata: Metadata{Name: suspectName}, Spec: SuspectSpec{Quarantined: true}}
		Expect(m.do(PutResource{Resource: r}).Verdict).To(Equal(VerdictInvalid))
		Expect(m.do(DeleteResource{Key: r.Key()}).Verdict).To(Equal(VerdictNotFound))
		m.must(endUnder(1, false))
		m.must(DeleteResource{Key: r.Key()})
		_, known := suspectOf(m)
		Expect(known).To(BeFalse(), "an operator lets it go")
		for life := range uint64(100) {
			m.do(endUnder(life, true))
		}
		spec, _ := suspectOf(m)
		Expect(spec.Lives).To(HaveLen(maxSuspectLives))
	})
})
