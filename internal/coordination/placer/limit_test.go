package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
)

// limit reports the state of engine i's limit.
func (d *deployment) limit(now time.Time, i int, rate float64, wait time.Duration) {
	d.placer.ReportLimit(now, engines, placer.LimitState{
		Name: d.members[i].Name, Incarnation: d.members[i].Spec.Incarnation, Named: true, Rate: rate, WaitMillis: int(wait.Milliseconds()),
	})
}

var _ = Describe("A limit of requests", func() {
	var d *deployment
	BeforeEach(func() {
		d = newDeployment(3)
		for i := range 3 {
			d.report(start, i, placer.EngineState{})
		}
	})
	inTime := func(c *placer.Call) *placer.Call {
		c.Slack, c.MaxWait = 2*time.Second, 3*time.Second
		return c
	}
	limitAll := func(wait time.Duration) {
		for i := range 3 {
			d.limit(start, i, 1, wait)
		}
	}

	It("sends calls to engines without one, also for an adapter that only a limited engine holds", func() {
		d.report(start, 1, placer.EngineState{Adapters: held("a1")})
		Expect(d.choose(start, adapterCall("a1", 1000)).Name).To(Equal("e01"))
		d.limit(start, 1, 1, 3*time.Second)
		Expect(d.choose(start, inTime(adapterCall("a1", 1000))).Name).NotTo(Equal("e01"))
	})

	It("leaves calls at the engine that holds their adapter while it has a turn for them", func() {
		d.report(start, 1, placer.EngineState{Adapters: held("a1")})
		d.limit(start, 1, 1, 0)
		Expect(d.choose(start, inTime(adapterCall("a1", 1000))).Name).To(Equal("e01"))
		second := d.choose(start, inTime(adapterCall("a1", 1000)))
		Expect(second.Name).NotTo(Equal("e01"), "the turn is taken")
		Expect(d.choose(start.Add(1100*time.Millisecond), inTime(adapterCall("a1", 1000))).Name).To(Equal("e01"))
	})

	It("of all engines spreads the calls by their turns, and refuses what none can take in time", func() {
		limitAll(0)
		placed := map[string]int{}
		var choice placer.Choice
		for d.placer.Choose(start, inTime(adapterCall("", 1000)), &choice) == nil {
			placed[choice.Name]++
		}
		Expect(placed).To(Equal(map[string]int{"e00": 3, "e01": 3, "e02": 3}), "at 0, 1 and 2 s each")
		Expect(d.placer.Choose(start, inTime(adapterCall("", 1000)), &choice)).To(MatchError(placer.ErrLimited))
		Expect(d.placer.NextTurn(start, engines)).To(Equal(3 * time.Second))
		Expect(d.placer.Choose(start.Add(time.Second), inTime(adapterCall("", 1000)), &choice)).To(Succeed())
	})

	It("keeps a call that can't be on time from queues, and lets it wait for the next turn", func() {
		limitAll(0)
		var choice placer.Choice
		for range 3 {
			Expect(d.placer.Choose(start, &placer.Call{Service: engines, Model: model, MaxWait: 3 * time.Second}, &choice)).To(Succeed())
		}
		Expect(d.placer.Choose(start, &placer.Call{Service: engines, Model: model, MaxWait: 3 * time.Second}, &choice)).To(Succeed())
		Expect(choice.Turn).To(Equal(time.Second), "the interval")
		for range 2 {
			Expect(d.placer.Choose(start, &placer.Call{Service: engines, Model: model, MaxWait: 3 * time.Second}, &choice)).To(Succeed())
		}
		Expect(d.placer.Choose(start, &placer.Call{Service: engines, Model: model, MaxWait: 3 * time.Second}, &choice)).To(MatchError(placer.ErrLimited))
	})

	It("is avoided by a call that was refused because of others", func() {
		limitAll(0)
		c := inTime(adapterCall("", 1000))
		c.AvoidLimited = true
		var choice placer.Choice
		Expect(d.placer.Choose(start, c, &choice)).To(MatchError(placer.ErrLimited))
		d.placer.ReportLimit(start, engines, placer.LimitState{Name: "e00", Incarnation: "i-0"})
		Expect(d.choose(start, c).Name).To(Equal("e00"))
	})

	It("is no reason to refuse a call that an engine without one can take later", func() {
		limitAll(time.Minute)
		d.placer.ReportLimit(start, engines, placer.LimitState{Name: "e00", Incarnation: "i-0"})
		c := inTime(adapterCall("", 1000))
		c.Avoid = []string{"e00"}
		var choice placer.Choice
		Expect(d.placer.Choose(start, c, &choice)).To(MatchError(placer.ErrNoBackend))
	})

	It("is that of one incarnation", func() {
		d.limit(start, 0, 1, time.Minute)
		d.members[0].Spec.Incarnation = "i-new"
		d.publish()
		d.report(start, 0, placer.EngineState{Adapters: held("a1")})
		d.placer.ReportLimit(start, engines, placer.LimitState{Name: "e00", Incarnation: "i-0", Named: true, Rate: 1, WaitMillis: 60_000})
		Expect(d.choose(start, inTime(adapterCall("a1", 1000))).Name).To(Equal("e00"))
	})

	// Guards against calls that are held back for a limit that has ended, since the report of
	// its end was lost with the companion or its connection.
	It("ends with the companion's report, and with a whole state that no limit follows", func() {
		c := d.choose(start, adapterCall("", 1000))
		i := map[string]int{"e00": 0, "e01": 1, "e02": 2}[c.Name]
		limited := func() bool { return d.placer.NextTurn(start, engines) > 0 }
		limitAll(time.Minute)
		d.placer.RecordLimit(start, start, &c, regulator.Notice{Kind: regulator.NoticeLimited, Rate: 1})
		Expect(limited()).To(BeTrue())
		d.placer.ReportLimit(start, engines, placer.LimitState{Name: c.Name, Incarnation: c.Incarnation})
		Expect(limited()).To(BeFalse())
		limitAll(time.Minute)
		Expect(limited()).To(BeTrue())
		d.report(start, i, placer.EngineState{})
		Expect(limited()).To(BeFalse())
	})

	It("that an answer names is known at once, and reported as new until the companion reports it", func() {
		c := d.choose(start, adapterCall("", 1000))
		change, changed := d.placer.RecordLimit(start, start, &c, regulator.Notice{Kind: regulator.NoticeLimited, Rate: 4})
		Expect(changed).To(BeTrue())
		Expect(change.After.Rate).To(BeEquivalentTo(4))
		Expect(change.Reported).To(BeFalse())
		i := map[string]int{"e00": 0, "e01": 1, "e02": 2}[c.Name]
		d.limit(start, i, 4, 0)
		change, changed = d.placer.RecordLimit(start, start, &c, regulator.Notice{Kind: regulator.NoticeLimited, Rate: 4})
		Expect(changed).To(BeFalse())
		Expect(change.Reported).To(BeTrue())
	})
})
