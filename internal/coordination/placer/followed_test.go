package placer_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// fleet is a number of engines in five failure domains, and a tracker of them.
type fleet struct {
	tracker  *tracker.Tracker
	revision uint64
}

func newFleet(count int) *fleet {
	f := &fleet{tracker: tracker.NewTracker(tracker.Settings{Decode: func([]byte) (*tracker.Routing, error) {
		r := &tracker.Routing{Number: 1, Services: []tracker.Service{{Name: engines, Engine: &tracker.Engine{Slots: 64, MaxAdapters: 8, Models: []tracker.Model{{Name: model}}}}}}
		err := r.Compile()
		return r, err
	}})}
	resources := []storer.Resource{{Kind: storer.KindRouting, Spec: storer.RoutingSpec{Number: 1}}}
	for i := range count {
		resources = append(resources, fleetMember(i, 0))
	}
	f.revision++
	if err := f.tracker.Reset(resources, f.revision); err != nil {
		panic(err)
	}
	return f
}

func fleetName(i int) string { return fmt.Sprintf("e%05d", i) }

func fleetMember(i, incarnation int) storer.Resource {
	return storer.Resource{Kind: storer.KindMember, Metadata: storer.Metadata{Name: fleetName(i)}, Spec: storer.MemberSpec{
		Service: engines, Incarnation: strconv.Itoa(incarnation), Address: fleetName(i), BaseModel: model, Slots: 64, FailureDomain: "d" + strconv.Itoa(i%5),
	}}
}

// change updates or deletes a member.
func (f *fleet) change(i, incarnation int, deleted bool) {
	f.revision++
	c := storer.Change{Revision: f.revision, Resource: fleetMember(i, incarnation), Deleted: deleted}
	if err := f.tracker.Apply([]storer.Change{c}, f.revision); err != nil {
		panic(err)
	}
}

func (f *fleet) placer(node, domain string) *placer.Placer {
	p := placer.NewPlacer(placer.Settings{Node: node, FailureDomain: domain, Random: rand.New(rand.NewPCG(1, 2))})
	p.SetView(f.tracker.View())
	return p
}

// followed returns the names of the followed engines, with their failure domains.
func followed(p *placer.Placer) map[string]string {
	all := make(map[string]string)
	p.EachKnown(func(m tracker.Member) { all[m.Name] = m.Spec.FailureDomain })
	return all
}

// reportAll reports the engines that the placer follows.
func reportAll(p *placer.Placer, s placer.EngineState) {
	s.Models, s.MaxAdapters, s.Whole, s.Life, s.Sequence = []string{model}, 8, true, 1, 1
	for name := range followed(p) {
		s.Name = name
		p.Report(start, engines, s)
	}
}

func chooseIn(p *placer.Placer, adapter string) placer.Choice {
	GinkgoHelper()
	var c placer.Choice
	Expect(p.Choose(start, adapterCall(adapter, 1000), &c)).To(Succeed())
	return c
}

var _ = Describe("A placer of a large fleet", func() {
	// Guards against entries whose connections and reports grow with the fleet: each entry
	// followed each engine, although it sent a call to the same one every ten minutes.
	DescribeTable("follows the engines of its own failure domain and few others",
		func(count, expected int) {
			all := followed(newFleet(count).placer("n", "d1"))
			Expect(all).To(HaveLen(expected))
			own := 0
			for _, domain := range all {
				if domain == "d1" {
					own++
				}
			}
			Expect(own).To(Equal(count/5), "the whole failure domain")
		},
		Entry("30 hosts", 20, 20),
		Entry("190 hosts", 115, 115),
		Entry("300 hosts", 190, 128),
		Entry("994 hosts", 625, 128),
		Entry("930 entries and 12,000 engines", 12000, 2400),
	)

	It("follows others where its failure domain has no engines, not the same as its neighbours", func() {
		f := newFleet(625)
		a, b := followed(f.placer("a", "other")), followed(f.placer("b", "other"))
		Expect(a).To(HaveLen(128))
		Expect(b).To(HaveLen(128))
		both := 0
		for name := range a {
			if _, is := b[name]; is {
				both++
			}
		}
		Expect(both).To(BeNumerically("<", 64))
	})

	It("sends calls to a followed engine while one can take them", func() {
		p := newFleet(625).placer("n", "d1")
		reportAll(p, placer.EngineState{BacklogMillis: 100})
		for i := range 20 {
			Expect(chooseIn(p, fmt.Sprint("a", i)).Domain).To(Equal("d1"))
		}
	})

	// Guards against the loss of a failure domain's engines, or of their capacity, to its
	// callers: entries know the state of few others.
	It("sends calls to the adapter's home elsewhere if all followed engines are overloaded", func() {
		f := newFleet(625)
		first, second := f.placer("a", "d1"), f.placer("b", "d1")
		for _, p := range []*placer.Placer{first, second} {
			reportAll(p, placer.EngineState{BacklogMillis: 5000})
		}
		homes := make(map[string]struct{})
		for i := range 20 {
			c := chooseIn(first, fmt.Sprint("a", i))
			Expect(first.Knows(engines, c.Name)).To(BeFalse())
			Expect(chooseIn(second, fmt.Sprint("a", i)).Name).To(Equal(c.Name), "another entry chooses the same")
			Expect(c.Load).To(BeNumerically(">", 0), "the adapter is expected to be loaded")
			homes[c.Name] = struct{}{}
		}
		Expect(len(homes)).To(BeNumerically(">", 10))
	})

	It("sends calls elsewhere if all followed engines are suspect", func() {
		p := newFleet(625).placer("n", "d1")
		reportAll(p, placer.EngineState{})
		for name := range followed(p) {
			p.Suspect(engines, name, start.Add(time.Second))
		}
		Expect(chooseIn(p, "a1").Domain).NotTo(Equal("d1"))
	})

	It("uses the reports of an engine elsewhere while it has calls there, and forgets them afterwards", func() {
		p := newFleet(625).placer("n", "d1")
		reportAll(p, placer.EngineState{BacklogMillis: 5000})
		home := chooseIn(p, "a1").Name
		Expect(p.Use(engines, home)).To(BeTrue())
		Expect(p.Use(engines, home)).To(BeFalse(), "it is used already")
		Expect(followed(p)).To(HaveKey(home))
		p.Report(start, engines, placer.EngineState{Name: home, Models: []string{model}, MaxAdapters: 8, Whole: true, Life: 1, Sequence: 1, BacklogMillis: 9000})
		Expect(chooseIn(p, "a1").Name).NotTo(Equal(home), "it is overloaded, too")
		p.Unuse(engines, home)
		Expect(p.HasReport(engines, home)).To(BeFalse())
		Expect(chooseIn(p, "a1").Name).To(Equal(home))
	})
})

// TestViewChangeCost guards against work at each entry that grows with the fleet whenever one
// backend server changes: 640 joins at a start were 640 walks over all members.
func TestViewChangeCost(t *testing.T) {
	cost := func(count int) float64 {
		f := newFleet(count)
		p := f.placer("n", "d1")
		incarnation := 0
		return testing.AllocsPerRun(50, func() {
			incarnation++
			f.change(7, incarnation, false)
			p.SetView(f.tracker.View())
		})
	}
	least := cost(30)
	for _, count := range []int{300, 994, 12930} {
		if c := cost(count); c > least+1 {
			t.Errorf("a change costs %.0f allocations with %d engines, %.0f with 30", c, count, least)
		}
	}
}

// TestPropertyViews compares a placer that is set to each view with one that is set to the
// last only.
func TestPropertyViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(0, 12).Draw(t, "engines"))
		settings := func() placer.Settings {
			return placer.Settings{Node: "n", FailureDomain: "d1", MinFollowed: 3, Random: rand.New(rand.NewPCG(1, 2))}
		}
		each, last := placer.NewPlacer(settings()), placer.NewPlacer(settings())
		each.SetView(f.tracker.View())
		for range rapid.IntRange(0, 20).Draw(t, "changes") {
			f.change(rapid.IntRange(0, 14).Draw(t, "engine"), rapid.IntRange(0, 3).Draw(t, "incarnation"), rapid.Bool().Draw(t, "deleted"))
			each.SetView(f.tracker.View())
		}
		last.SetView(f.tracker.View())
		a, b := followed(each), followed(last)
		if fmt.Sprint(a) != fmt.Sprint(b) {
			t.Fatalf("follows %v, expected %v", a, b)
		}
		for i := range 5 {
			c := adapterCall(fmt.Sprint("a", i), 1000)
			var x, y placer.Choice
			if errX, errY := each.Choose(start, c, &x), last.Choose(start, c, &y); (errX == nil) != (errY == nil) || x.Name != y.Name || x.Incarnation != y.Incarnation {
				t.Fatalf("chose %s %s (%v), expected %s %s (%v)", x.Name, x.Incarnation, errX, y.Name, y.Incarnation, errY)
			}
		}
	})
}
