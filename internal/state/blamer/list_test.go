package blamer_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/state/blamer"
	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

func suspectChange(id identifier.Identity, placeHash uint64, deleted bool) storer.Change {
	return storer.Change{Deleted: deleted, Resource: storer.Resource{
		Kind: storer.KindSuspect, Metadata: storer.Metadata{Name: id.String(), Revision: 7}, Spec: storer.SuspectSpec{Place: placeHash},
	}}
}

func TestList(t *testing.T) {
	g := NewWithT(t)
	a, b := identifier.Identity{1}, identifier.Identity{2}
	var none *blamer.List
	g.Expect(none.Suspects()).To(BeZero())
	g.Expect(none.SuspectAt(3)).To(BeFalse())
	_, known := none.Suspect(a)
	g.Expect(known).To(BeFalse())
	none.EachSuspect(func(identifier.Identity, blamer.Suspect) { t.Error("a suspect in an empty list") })

	two, err := none.With(suspectChange(a, 3, false), suspectChange(b, 3, false), storer.Change{Resource: storer.Resource{Spec: storer.KeySpec{}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(two.Suspects()).To(Equal(2))
	moved, err := two.With(suspectChange(a, 4, false))
	g.Expect(err).NotTo(HaveOccurred())
	one, err := moved.With(suspectChange(b, 3, true))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(one.SuspectAt(3)).To(BeFalse())
	g.Expect(one.SuspectAt(4)).To(BeTrue())
	s, known := one.Suspect(a)
	g.Expect(known).To(BeTrue())
	g.Expect(s.Revision).To(BeEquivalentTo(7))
	g.Expect(two.SuspectAt(4)).To(BeFalse(), "an earlier list must not change")
	count := 0
	one.EachSuspect(func(identifier.Identity, blamer.Suspect) { count++ })
	g.Expect(count).To(Equal(1))
	_, err = one.With(storer.Change{Resource: storer.Resource{Metadata: storer.Metadata{Name: "none"}, Spec: storer.SuspectSpec{}}})
	g.Expect(err).To(HaveOccurred())
}
