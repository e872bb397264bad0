package placer_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
)

var _ = Describe("A standby engine", func() {
	// Guards against a KV cache that is used with other weights than it was made with.
	DescribeTable("has the same version of the weights as the first",
		func(first, second uint64, requested string, want bool) {
			d := newDeployment(2)
			d.members[0].Spec.Weights, d.members[1].Spec.Weights = first, second
			d.publish()
			for i := range d.members {
				d.report(start, i, placer.EngineState{})
			}
			c := adapterCall("a1", 100)
			c.Model = requested
			var choice, standby placer.Choice
			Expect(d.placer.ChooseNamed(start, c, d.members[0].Name, &choice)).To(Succeed())
			Expect(d.placer.Second(start, c, &choice, &standby)).To(Equal(want))
			if want {
				Expect(choice.Weights).To(Equal(first))
				Expect(standby.Weights).To(Equal(first))
			}
		},
		Entry("the same", uint64(2), uint64(2), model, true),
		Entry("another", uint64(1), uint64(2), model, false),
		Entry("unknown at the first", uint64(0), uint64(2), model, false),
		Entry("unknown at the second", uint64(1), uint64(0), model, false),
		Entry("unknown at both", uint64(0), uint64(0), model, false),
		Entry("of another model", uint64(1), uint64(1), "other", false),
		Entry("of the only model", uint64(1), uint64(1), "", true),
	)
})
