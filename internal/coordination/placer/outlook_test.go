package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
)

var _ = Describe("What an entry expects over all engines", func() {
	const age = 100 * time.Millisecond
	call := &placer.Call{Service: engines, Model: model, Adapter: "x", Tokens: 1000}
	// full returns a state in which all slots are used by other adapters.
	full := func(backlog time.Duration) placer.EngineState {
		s := placer.EngineState{Models: []string{model}, MaxAdapters: 2, BacklogMillis: int(backlog.Milliseconds())}
		for _, name := range []string{"a", "b"} {
			s.Adapters = append(s.Adapters, placer.AdapterState{Name: model + "/" + name, Pins: 4})
		}
		return s
	}
	report := func(d *deployment, i int, s placer.EngineState) {
		d.sequence++
		s.Name, s.Incarnation, s.Life, s.Sequence, s.Whole = d.members[i].Name, d.members[i].Spec.Incarnation, 1, d.sequence, true
		Expect(d.placer.Report(start, engines, s)).To(BeTrue())
	}
	outlook := func(d *deployment, c *placer.Call) placer.Outlook { return d.placer.LeastWait(start.Add(age), c) }

	It("is the least expected time, and the age of what it rests on", func() {
		d := newDeployment(2)
		report(d, 0, full(9*time.Second))
		report(d, 1, full(5*time.Second))
		o := outlook(d, call)
		Expect(o.Servers).To(Equal(2))
		Expect(o.Least).To(BeNumerically("~", 5200*time.Millisecond, 200*time.Millisecond))
		Expect(o.Age).To(Equal(age))
		Expect(o.Hopeless(4 * time.Second)).To(BeTrue())
		Expect(o.Hopeless(6 * time.Second)).To(BeFalse())
	})

	// Guards against callers that are refused while an engine could take their call.
	It("is never hopeless while an engine has a free slot, the adapter, or no fresh report", func() {
		d := newDeployment(3)
		report(d, 0, full(9*time.Second))
		report(d, 1, full(9*time.Second))
		Expect(outlook(d, call).Unknown).To(BeTrue(), "one has not reported")
		free := full(9 * time.Second)
		free.Adapters = free.Adapters[:1]
		report(d, 2, free)
		Expect(outlook(d, call).Free).To(BeTrue(), "one has a free slot")
		Expect(outlook(d, call).Hopeless(0)).To(BeFalse())
		report(d, 2, full(9*time.Second))
		Expect(outlook(d, call).Hopeless(time.Second)).To(BeTrue())
		having := &placer.Call{Service: engines, Model: model, Adapter: "a", Tokens: 1000}
		Expect(outlook(d, having).Free).To(BeTrue(), "one has the adapter")
		Expect(d.placer.LeastWait(start.Add(2*time.Second), call).Unknown).To(BeTrue(), "the reports are old")
	})
})
