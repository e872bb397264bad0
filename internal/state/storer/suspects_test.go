package storer

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suspectName = strings.Repeat("0f", 16)

func countEnd(incarnation uint64, progressed bool) CountEnds {
	return CountEnds{Service: "s", Life: incarnation, Requests: []EndedRequest{{Name: suspectName, Place: 7, Progressed: progressed}}}
}

func suspectOf(m *machine) (SuspectSpec, bool) {
	r, ok := m.Get(Key{Kind: KindSuspect, Name: suspectName})
	if !ok {
		return SuspectSpec{}, false
	}
	return r.Spec.(SuspectSpec), true
}

var _ = Describe("A suspect", func() {
	It("counts each incarnation once, with its highest weight", func() {
		m := newMachine(Retention{})
		m.mustDo(countEnd(1, true))
		Expect(m.do(countEnd(1, true)).Verdict).To(Equal(VerdictStale), "reported by another entry")
		m.mustDo(countEnd(1, false))
		Expect(m.do(countEnd(1, true)).Verdict).To(Equal(VerdictStale))
		spec, _ := suspectOf(m)
		Expect(spec).To(Equal(SuspectSpec{Service: "s", Place: 7, Lives: []IncarnationEnd{{Life: 1}}}))
	})

	It("is restored from a snapshot, with its quarantine and the number of earlier ones", func() {
		m := newMachine(Retention{})
		for incarnation := range uint64(3) {
			m.mustDo(countEnd(incarnation, false))
		}
		next := m.restoreFromSnapshot()
		spec, _ := suspectOf(next)
		Expect(spec.Quarantined).To(BeTrue())
		r, _ := next.Get(Key{Kind: KindSuspect, Name: suspectName})
		next.mustDo(ReviewSuspects{Suspects: []SuspectRevision{{Name: suspectName, Revision: r.Metadata.Revision}}})
		next = next.restoreFromSnapshot()
		spec, _ = suspectOf(next)
		Expect(spec).To(Equal(SuspectSpec{Service: "s", Place: 7, Times: 1}))
		next.mustDo(countEnd(9, false))
		spec, _ = suspectOf(next)
		Expect(spec.Quarantined).To(BeTrue())
		Expect(spec.Times).To(Equal(2))
	})

	It("is published to watchers when it is added, changed and removed", func() {
		m := newMachine(Retention{})
		m.mustDo(countEnd(1, false))
		m.mustDo(countEnd(2, false))
		m.mustDo(ClearSuspects{Names: []string{"unknown", suspectName}})
		Expect(m.do(ClearSuspects{Names: []string{suspectName}}).Verdict).To(Equal(VerdictStale))
		changes, _, ok := m.Since(0, 0)
		Expect(ok).To(BeTrue())
		Expect(changes).To(HaveLen(3))
		Expect(changes[2].Deleted).To(BeTrue())
		_, known := suspectOf(m)
		Expect(known).To(BeFalse())
	})

	It("can't be declared, and records a limited number of ends", func() {
		m := newMachine(Retention{})
		r := Resource{Kind: KindSuspect, Metadata: Metadata{Name: suspectName}, Spec: SuspectSpec{Quarantined: true}}
		Expect(m.do(PutResource{Resource: r}).Verdict).To(Equal(VerdictInvalid))
		Expect(m.do(DeleteResource{Key: r.Key()}).Verdict).To(Equal(VerdictNotFound))
		m.mustDo(countEnd(1, false))
		m.mustDo(DeleteResource{Key: r.Key()})
		_, known := suspectOf(m)
		Expect(known).To(BeFalse(), "an operator releases it")
		for incarnation := range uint64(100) {
			m.do(countEnd(incarnation, true))
		}
		spec, _ := suspectOf(m)
		Expect(spec.Lives).To(HaveLen(maxIncarnationEnds))
	})
})
