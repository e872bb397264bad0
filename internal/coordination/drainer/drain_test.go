package drainer

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDrainer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Drainer")
}

var _ = Describe("A drain", func() {
	start := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	settings := Settings{Role: RoleEntry, BalancerDelay: 5 * time.Second, GracePeriod: time.Minute, HandOverLimit: 10 * time.Second}

	It("enters its phases in order, each under its conditions", func() {
		d := NewDrain(settings)
		Expect(d.Advance(at(0), Facts{Announced: true})).To(Equal(PhaseServing))
		Expect(d.Signal(at(0))).To(Equal(PhaseUnready))
		Expect(d.Advance(at(1), Facts{})).To(Equal(PhaseUnready))
		f := Facts{Announced: true, InProgress: 2}
		Expect(d.Advance(at(2), f)).To(Equal(PhaseBalancerDelay))
		Expect(d.Advance(at(8), f)).To(Equal(PhaseBalancerDelay), "preceding roles still run")
		f.PrecedingStopped = true
		Expect(d.Advance(at(8), f)).To(Equal(PhaseFinishing))
		Expect(d.Advance(at(60), f)).To(Equal(PhaseFinishing))
		f.InProgress = 0
		Expect(d.Advance(at(61), f)).To(Equal(PhaseHandingOver))
		f.HandedOver = true
		Expect(d.Advance(at(62), f)).To(Equal(PhaseStopped))
		Expect(d.Interrupted()).To(BeFalse())
	})

	It("bounds the waits, and reports that it interrupted requests", func() {
		d := NewDrain(settings)
		d.Signal(at(0))
		f := Facts{Announced: true, PrecedingStopped: true, InProgress: 1}
		d.Advance(at(0), f)
		Expect(d.Advance(at(5), f)).To(Equal(PhaseFinishing))
		Expect(d.Advance(at(65), f)).To(Equal(PhaseHandingOver))
		Expect(d.Interrupted()).To(BeTrue())
		Expect(d.Advance(at(75), f)).To(Equal(PhaseStopped))
	})

	It("ends at once on a second signal", func() {
		d := NewDrain(settings)
		d.Signal(at(0))
		Expect(d.Signal(at(1))).To(Equal(PhaseStopped))
		Expect(d.Interrupted()).To(BeTrue())
	})
})
