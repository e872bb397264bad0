package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
)

var _ = Describe("A rest that a backend server asks for", func() {
	const rest = 3 * time.Second
	var d *deployment
	BeforeEach(func() {
		d = newDeployment(2)
		for i := range 2 {
			d.report(start, i, placer.EngineState{})
		}
	})
	// chooseAndRest lets the engine that is chosen ask for rest.
	chooseAndRest := func(rest time.Duration) placer.Choice {
		GinkgoHelper()
		choice := d.choose(start, adapterCall("", 100))
		d.placer.RecordRest(start, &choice, rest)
		return choice
	}

	// Guards against engines that are chosen because they have nothing to do, since they reject
	// all requests.
	It("leaves the engine out until its end, also for copies, second engines and waiting calls", func() {
		first := chooseAndRest(rest)
		Expect(d.placer.Accepts(start, &first)).To(BeFalse())
		var other placer.Choice
		for range 10 {
			other = d.choose(start, adapterCall("", 100))
			Expect(other.Name).NotTo(Equal(first.Name))
		}
		var named, second placer.Choice
		Expect(d.placer.ChooseNamed(start, adapterCall("", 100), first.Name, &named)).To(MatchError(placer.ErrNoBackend))
		Expect(d.placer.Second(start, adapterCall("", 100), &other, &second)).To(BeFalse())
		Expect(d.placer.RestEnd(start, adapterCall("", 100))).To(Equal(rest))
		Expect(d.placer.Accepts(start.Add(rest), &first)).To(BeTrue())
	})

	It("of all engines ends calls at once, with the end of the first rest", func() {
		first, second := chooseAndRest(rest), chooseAndRest(2*rest)
		Expect(second.Name).NotTo(Equal(first.Name))
		var none placer.Choice
		Expect(d.placer.Choose(start, adapterCall("", 100), &none)).To(MatchError(placer.ErrResting))
		Expect(d.placer.RestEnd(start, adapterCall("", 100))).To(Equal(rest))
		tried := adapterCall("", 100)
		tried.Avoid = []string{first.Name}
		Expect(d.placer.RestEnd(start, tried)).To(Equal(2*rest), "of the one that was not tried")
		Expect(d.choose(start.Add(rest), adapterCall("", 100)).Name).To(Equal(first.Name))
	})

	It("is bounded, and not ended by a shorter one", func() {
		first := chooseAndRest(time.Hour)
		d.placer.RecordRest(start, &first, time.Second)
		Expect(d.placer.Accepts(start.Add(placer.MaxRest-time.Millisecond), &first)).To(BeFalse())
		Expect(d.placer.Accepts(start.Add(placer.MaxRest), &first)).To(BeTrue())
	})

	It("survives the membership, but not the incarnation", func() {
		first := chooseAndRest(rest)
		members := d.members
		d.members = nil
		d.publish()
		d.members = members
		d.publish()
		for range 4 {
			Expect(d.choose(start, adapterCall("", 100)).Name).NotTo(Equal(first.Name))
		}
		for i := range d.members {
			if d.members[i].Name == first.Name {
				d.members[i].Spec.Incarnation = "i-next"
			}
		}
		d.publish()
		chosen := map[string]bool{}
		for range 4 {
			chosen[d.choose(start, adapterCall("", 100)).Name] = true
		}
		Expect(chosen).To(HaveKey(first.Name))
	})
})

var _ = Describe("A backend server that says that it leaves", func() {
	// Guards against requests to a server that control believes to be serving.
	It("is left out until its next incarnation", func() {
		d := newDeployment(2)
		for i := range 2 {
			d.report(start, i, placer.EngineState{})
		}
		first := d.choose(start, adapterCall("", 100))
		Expect(d.placer.RecordLeaving(start, &first)).To(BeTrue())
		Expect(d.placer.RecordLeaving(start, &first)).To(BeFalse())
		later := start.Add(time.Hour)
		Expect(d.placer.Accepts(later, &first)).To(BeFalse())
		d.publish()
		for range 10 {
			Expect(d.choose(later, adapterCall("", 100)).Name).NotTo(Equal(first.Name))
		}
		var named placer.Choice
		Expect(d.placer.ChooseNamed(later, adapterCall("", 100), first.Name, &named)).To(MatchError(placer.ErrNoBackend))
		other := d.choose(later, adapterCall("", 100))
		d.placer.RecordLeaving(later, &other)
		Expect(d.placer.Choose(later, adapterCall("", 100), &named)).To(MatchError(placer.ErrNoBackend))
		for i := range d.members {
			d.members[i].Spec.Incarnation += "-next"
		}
		d.publish()
		Expect(d.placer.Choose(later, adapterCall("", 100), &named)).To(Succeed())
	})
})
