package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
)

const (
	longTokens  = 12_000
	shortTokens = 800
)

// separated is a deployment of six engines in three failure domains, of which two are designated for
// long prompts.
type separated struct {
	*deployment
	long, short []int
}

func newSeparatedSix(mode separator.Mode) *separated {
	d := &separated{deployment: newSeparated(mode, "a", 6)}
	var all []separator.Engine
	for i, m := range d.members {
		all = append(all, separator.Engine{Name: m.Name, FailureDomain: m.Spec.FailureDomain})
		d.report(start, i, placer.EngineState{Running: 3})
		d.placer.ReportLongPrompts(start, engines, placer.LongPromptState{Name: m.Name, Incarnation: m.Spec.Incarnation, SharePercent: 10})
	}
	for i, e := range separator.Order(engines, all) {
		for at := range d.members {
			switch {
			case d.members[at].Name != e.Name:
			case i < 2:
				d.long = append(d.long, at)
			default:
				d.short = append(d.short, at)
			}
		}
	}
	return d
}

// hold reports an engine with adapter a1 loaded and the given backlog.
func (d *separated) hold(i, backlogMillis int) {
	d.report(start, i, placer.EngineState{Running: 3, BacklogMillis: backlogMillis, Adapters: held("a1")})
}

func (d *separated) place(c *placer.Call) placer.GroupChoice { return d.choose(start, c).Group }

var _ = Describe("Separated calls", func() {
	It("go to their own group, with a load from the store if the harm is certain", func() {
		d := newSeparatedSix(separator.ModeSeparate)
		for _, i := range d.short {
			d.hold(i, 0)
		}
		Expect(d.place(adapterCall("a1", longTokens))).To(Equal(placer.GroupChoice{Separated: true, Long: true, Own: true, Designated: 2}))
		d = newSeparatedSix(separator.ModeSeparate)
		for _, i := range d.long {
			d.hold(i, 0)
		}
		Expect(d.place(adapterCall("a1", shortTokens))).To(Equal(placer.GroupChoice{Separated: true, Own: true, Designated: 2}))
		state, separates := d.placer.SeparationState(start, engines)
		Expect(separates).To(BeTrue())
		Expect(state.Sum).To(BeNumerically("~", 0.6))
	})

	// Guards against calls that miss their target, or wait long, only to stay in their group.
	It("go to the other group where they would else be late, or wait for more than the harm is worth", func() {
		d := newSeparatedSix(separator.ModeSeparate)
		for _, i := range d.long {
			d.hold(i, 300)
		}
		for _, i := range d.short {
			d.hold(i, 0)
		}
		c := adapterCall("a1", longTokens)
		c.Slack = 650 * time.Millisecond
		e := d.placer.Explain(start, c)
		Expect(e.Candidates[0].Name).To(Equal(e.Choice))
		Expect(e.Candidates[0].Terms.Separation).To(BeZero())
		Expect(d.place(c)).To(Equal(placer.GroupChoice{Separated: true, Long: true, Waived: true, Designated: 2}))
		c.Slack = 900 * time.Millisecond
		Expect(d.place(c).Own).To(BeTrue())
		for _, i := range d.long {
			d.hold(i, 1200)
		}
		c.Slack = 0
		Expect(d.place(c)).To(Equal(placer.GroupChoice{Separated: true, Long: true, Designated: 2}))
	})

	// Guards against long prompts that all interrupt the streams of the same designated engine.
	It("with long prompts go to the designated engine with fewer streams", func() {
		d := newSeparatedSix(separator.ModeSeparate)
		for i := range d.members {
			d.report(start, i, placer.EngineState{Running: 3, BacklogMillis: 20})
		}
		d.report(start, d.long[1], placer.EngineState{BacklogMillis: 60})
		Expect(d.choose(start, adapterCall("", longTokens)).Name).To(Equal(d.members[d.long[1]].Name))
	})

	// Guards against a prompt that counts as long although an engine has cached most of it.
	It("are long by what is cached where most is cached", func() {
		d := newSeparatedSix(separator.ModeSeparate)
		hash := placer.PartHash(model, "a1", 1, 0, 7)
		d.report(start, d.short[0], placer.EngineState{Running: 3, Adapters: held("a1"), Cached: []uint32{hash}})
		c := adapterCall("a1", longTokens)
		c.Parts, c.PartTokens = []uint32{hash}, []int{longTokens - 500}
		choice := d.choose(start, c)
		Expect(choice.Name).To(Equal(d.members[d.short[0]].Name))
		Expect(choice.Group.Long).To(BeFalse())
	})

	// Guards against a change for deployments that don't ask for it, against
	// refusals of calls that the other group can take, and against shares of ended incarnations.
	It("are none if the mode, a former refusal or the shares say so", func() {
		Expect(newSeparatedSix(separator.ModeMixed).place(adapterCall("", longTokens))).To(Equal(placer.GroupChoice{}))
		slowed := newSeparatedSix(separator.ModeMixed)
		slowed.slowed(start, 0, 100, 0)
		Expect(slowed.place(adapterCall("", longTokens))).To(Equal(placer.GroupChoice{}))
		d := newSeparatedSix(separator.ModeSeparate)
		Expect(d.place(adapterCall("", longTokens)).Separated).To(BeTrue())
		c := adapterCall("", longTokens)
		c.Mixed = true
		Expect(d.place(c)).To(Equal(placer.GroupChoice{}))
		d = newSeparatedSix(separator.ModeSeparate)
		for i := range d.members {
			d.members[i].Spec.Incarnation = "next"
		}
		d.publish()
		Expect(d.place(adapterCall("", longTokens))).To(Equal(placer.GroupChoice{}))
	})
})
