package placer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

const (
	engines = "engines"
	model   = "m"
)

var start = time.Unix(0, 0)

// deployment is a placer with a set of engines and the reports they send.
type deployment struct {
	placer  *placer.Placer
	members []tracker.Member
	service tracker.Service
	// gap is the limit of event gaps of the route to the service; 0 means that there is no route.
	gap      time.Duration
	sequence uint64
	revision uint64
}

func newDeployment(count int) *deployment { return newDeploymentAt("a", count) }

// newDeploymentAt returns a deployment whose entry is in the given failure domain.
func newDeploymentAt(domain string, count int) *deployment {
	return newDeploymentWith(placer.Settings{FailureDomain: domain, Random: rand.New(rand.NewPCG(1, 2))}, count)
}

func newDeploymentWith(s placer.Settings, count int) *deployment {
	d := &deployment{
		placer:  placer.NewPlacer(s),
		service: tracker.Service{Name: engines, Engine: &tracker.Engine{Slots: 64, MaxAdapters: 8, Models: []tracker.Model{{Name: model}}}},
	}
	for i := range count {
		d.members = append(d.members, tracker.Member{Name: fmt.Sprintf("e%02d", i), Spec: storer.MemberSpec{
			Service: engines, Incarnation: fmt.Sprint("i-", i), Address: fmt.Sprint("10.0.0.", i, ":80"), BaseModel: model, Weights: 1, Slots: 64,
			FailureDomain: []string{"a", "b", "c"}[i%3],
		}})
	}
	d.publish()
	return d
}

// publish updates the placer with the current members.
func (d *deployment) publish() {
	GinkgoHelper()
	t := tracker.NewTracker(tracker.Settings{Decode: func([]byte) (*tracker.Routing, error) {
		r := &tracker.Routing{Number: 1, Services: []tracker.Service{d.service}}
		if d.gap > 0 {
			r.Routes = []tracker.Route{{Host: "h", Prefix: "/", Timeout: time.Minute, Stream: true, MaxEventGap: d.gap, Shares: []tracker.Share{{Service: engines, Weight: 1}}}}
		}
		err := r.Compile()
		return r, err
	}})
	resources := []storer.Resource{{Kind: storer.KindRouting, Spec: storer.RoutingSpec{Number: 1}}}
	for _, m := range d.members {
		resources = append(resources, storer.Resource{Kind: storer.KindMember, Metadata: storer.Metadata{Name: m.Name}, Spec: m.Spec})
	}
	d.revision++
	Expect(t.Reset(resources, d.revision)).To(Succeed())
	d.placer.SetView(t.View())
}

// report sends a complete state of engine i to the placer.
func (d *deployment) report(now time.Time, i int, s placer.EngineState) {
	d.sequence++
	s.Name, s.Incarnation, s.Life, s.Sequence = d.members[i].Name, d.members[i].Spec.Incarnation, 1, d.sequence
	s.Models, s.MaxAdapters, s.Whole = []string{model}, 8, true
	d.placer.Report(now, engines, s)
}

func held(names ...string) []placer.AdapterState {
	var all []placer.AdapterState
	for _, n := range names {
		all = append(all, placer.AdapterState{Name: model + "/" + n, Version: 1, Pins: 1})
	}
	return all
}

func adapterCall(adapter string, tokens int) *placer.Call {
	return &placer.Call{Service: engines, Model: model, Adapter: adapter, Version: 1, Tokens: tokens}
}

func (d *deployment) choose(now time.Time, c *placer.Call) placer.Choice {
	GinkgoHelper()
	var choice placer.Choice
	Expect(d.placer.Choose(now, c, &choice)).To(Succeed())
	return choice
}

var _ = Describe("A placer of engines", func() {
	It("chooses the engine that holds the adapter", func() {
		d := newDeployment(6)
		for i := range 6 {
			d.report(start, i, placer.EngineState{})
		}
		d.report(start, 4, placer.EngineState{Adapters: held("a1")})
		Expect(d.choose(start, adapterCall("a1", 1000)).Name).To(Equal("e04"))
	})

	It("chooses the engine with the cached prompt, all else being equal", func() {
		d := newDeployment(3)
		hash := placer.PartHash(model, "a1", 1, 0, 7)
		d.report(start, 0, placer.EngineState{Adapters: held("a1")})
		d.report(start, 1, placer.EngineState{Adapters: held("a1"), Cached: []uint32{hash}})
		d.report(start, 2, placer.EngineState{Adapters: held("a1")})
		c := adapterCall("a1", 9000)
		c.Parts, c.PartTokens = []uint32{hash}, []int{6300}
		Expect(d.choose(start, c).Name).To(Equal("e01"))
	})

	It("avoids an engine with a long prompt backlog", func() {
		d := newDeployment(2)
		d.report(start, 0, placer.EngineState{Adapters: held("a1"), BacklogMillis: 2500})
		d.report(start, 1, placer.EngineState{})
		Expect(d.choose(start, adapterCall("a1", 1000)).Name).To(Equal("e01"))
		later := start.Add(2 * time.Second)
		Expect(d.choose(later, adapterCall("a1", 1000)).Name).To(Equal("e00"), "the backlog decreases over time")
	})

	It("prefers an engine with the adapter in memory to a load from the store", func() {
		d := newDeployment(4)
		for i := range 4 {
			d.report(start, i, placer.EngineState{})
		}
		d.report(start, 3, placer.EngineState{Recent: []string{model + "/a1"}, BacklogMillis: 100})
		Expect(d.choose(start, adapterCall("a1", 100)).Name).To(Equal("e03"))
	})

	It("avoids an engine whose slots are all in use", func() {
		d := newDeployment(2)
		d.report(start, 0, placer.EngineState{Adapters: held("b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8")})
		d.report(start, 1, placer.EngineState{Adapters: held("b1", "b2", "b3"), BacklogMillis: 300})
		Expect(d.choose(start, adapterCall("a1", 100)).Name).To(Equal("e01"))
	})

	It("avoids an engine that still serves an earlier version", func() {
		d := newDeployment(2)
		d.report(start, 0, placer.EngineState{Adapters: held("a1")})
		d.report(start, 1, placer.EngineState{})
		c := adapterCall("a1", 100)
		c.Version = 2
		Expect(d.choose(start, c).Name).To(Equal("e01"))
	})

	It("avoids an engine without its model", func() {
		d := newDeployment(2)
		d.members[0].Spec.BaseModel, d.members[0].Spec.Incarnation = "", "i-new"
		d.publish()
		for range 20 {
			Expect(d.choose(start, adapterCall("a1", 100)).Name).To(Equal("e01"))
		}
	})

	It("never chooses a leaving engine", func() {
		d := newDeployment(2)
		d.members[0].Spec.State = storer.MemberStateLeaving
		d.publish()
		for range 20 {
			Expect(d.choose(start, adapterCall("a1", 100)).Name).To(Equal("e01"))
		}
	})

	It("ignores reports of another incarnation and outdated reports", func() {
		d := newDeployment(1)
		d.report(start, 0, placer.EngineState{BacklogMillis: 1000})
		d.placer.Report(start, engines, placer.EngineState{Name: "e00", Incarnation: "i-0", Life: 1, Sequence: 0, BacklogMillis: 9000})
		d.placer.Report(start, engines, placer.EngineState{Name: "e00", Incarnation: "i-former", Life: 2, Sequence: 1, BacklogMillis: 9000})
		Expect(d.choose(start, adapterCall("a1", 0)).Backlog).To(Equal(time.Second))
	})

	// Guards against treating a delta as a complete state. A companion sends its
	// complete state before the entry knows the engine or its new incarnation, so the
	// entry drops it; the next report is a delta. If it is accepted, the entry sends
	// requests to an engine whose slots it does not know until the next change there.
	It("requests the complete state if the base of a delta is unknown", func() {
		d := newDeployment(2)
		part := placer.EngineState{Name: "e00", Incarnation: "i-0", Life: 1, Sequence: 2, BacklogMillis: 9000}
		Expect(d.placer.Report(start, engines, part)).To(BeFalse())
		Expect(d.placer.HasReport(engines, "e00")).To(BeFalse())
		whole := placer.EngineState{Name: "e00", Incarnation: "i-0", Life: 1, Sequence: 3, Whole: true, Models: []string{model}, MaxAdapters: 8}
		Expect(d.placer.Report(start, engines, whole)).To(BeTrue())
		Expect(d.placer.HasReport(engines, "e00")).To(BeTrue())
		part.Sequence = 5
		Expect(d.placer.Report(start, engines, part)).To(BeFalse(), "a report in between was lost")
		d.members[0].Spec.Incarnation = "i-new"
		d.publish()
		part.Sequence, part.Incarnation = 4, "i-new"
		Expect(d.placer.Report(start, engines, part)).To(BeFalse(), "another incarnation of the engine")
		whole.Incarnation = "i-gone"
		Expect(d.placer.Report(start, engines, whole)).To(BeFalse(), "an incarnation that is not known yet")
	})

	It("applies a delta to the known state", func() {
		d := newDeployment(1)
		d.report(start, 0, placer.EngineState{Adapters: held("a1", "a2")})
		part := placer.EngineState{
			Name: "e00", Incarnation: "i-0", Life: 1, Sequence: d.sequence + 1, Running: 3,
			Adapters: []placer.AdapterState{{Name: model + "/a3", Version: 1}}, Gone: []string{model + "/a1"}, Recent: []string{model + "/a1"},
		}
		Expect(d.placer.Report(start, engines, part)).To(BeTrue())
		Expect(d.choose(start, adapterCall("a2", 0)).Load).To(BeZero())
		Expect(d.choose(start, adapterCall("a3", 0)).Load).To(BeZero())
		Expect(d.choose(start, adapterCall("a1", 0)).Load).To(Equal(placer.DefaultWarmLoad))
	})

	It("avoids an unreachable engine for a while, unless it is the only one", func() {
		d := newDeployment(2)
		choice := d.choose(start, adapterCall("a1", 100))
		d.placer.Finish(start, &choice, placer.OutcomeUnreachable)
		for range 10 {
			Expect(d.choose(start, adapterCall("a1", 100)).Name).NotTo(Equal(choice.Name))
		}
		c := adapterCall("a1", 100)
		other := d.choose(start, c)
		c.Avoid = []string{other.Name}
		Expect(d.choose(start, c).Name).To(Equal(choice.Name))
		c.Avoid = append(c.Avoid, choice.Name)
		var none placer.Choice
		Expect(d.placer.Choose(start, c, &none)).To(MatchError(placer.ErrNoBackend))
	})

	It("finds a standby engine other than the first", func() {
		d := newDeployment(3)
		for i := range 3 {
			d.report(start, i, placer.EngineState{Adapters: held("a1")})
		}
		first := d.choose(start, adapterCall("a1", 100))
		var second placer.Choice
		Expect(d.placer.Second(start, adapterCall("a1", 100), &first, &second)).To(BeTrue())
		Expect(second.Name).NotTo(Equal(first.Name))
		alone := newDeployment(1)
		first = alone.choose(start, adapterCall("a1", 100))
		Expect(alone.placer.Second(start, adapterCall("a1", 100), &first, &second)).To(BeFalse())
	})
})

// store models the weight store and the adapters that each engine holds.
type store struct {
	loads int
	// held lists the adapters of each engine, most recently used last.
	held map[string][]string
}

// use loads the adapter if the engine does not hold it, and evicts the least recently
// used one.
func (s *store) use(engine, adapter string) {
	kept := s.held[engine][:0:0]
	found := false
	for _, a := range s.held[engine] {
		if a == adapter {
			found = true
			continue
		}
		kept = append(kept, a)
	}
	if !found {
		s.loads++
	}
	if kept = append(kept, adapter); len(kept) > 8 {
		kept = kept[1:]
	}
	s.held[engine] = kept
}

var _ = Describe("Under a skewed load of many adapters", func() {
	// Workload: 3,000 adapters with Zipf-distributed popularity, exponent 1.2, on 18
	// engines with 8 slots each, as in production. A store that delivers about thirty
	// adapters per second is the bottleneck, so the number of loads determines which
	// calls are late. Entries in three failure domains choose independently.
	run := func(choose func(d *deployment, now time.Time, adapter string) string) int {
		var entries []*deployment
		for _, domain := range []string{"a", "b", "c"} {
			entries = append(entries, newDeploymentAt(domain, 18))
		}
		s := &store{held: map[string][]string{}}
		zipf := rand.NewZipf(rand.New(rand.NewPCG(3, 4)), 1.2, 1, 2999)
		now := start
		for call := range 3000 {
			now = now.Add(15 * time.Millisecond)
			adapter := fmt.Sprint("a", zipf.Uint64())
			name := choose(entries[call%3], now, adapter)
			s.use(name, adapter)
			state := held(s.held[name]...)
			for j := range state {
				state[j].Pins = 0
			}
			for _, d := range entries {
				for i, m := range d.members {
					if m.Name == name {
						d.report(now, i, placer.EngineState{Adapters: state})
					}
				}
			}
		}
		return s.loads
	}

	It("needs fewer than half as many loads as round robin", func() {
		placed := run(func(d *deployment, now time.Time, adapter string) string {
			choice := d.choose(now, adapterCall(adapter, 1000))
			d.placer.Finish(now, &choice, placer.OutcomeSuccess)
			return choice.Name
		})
		turn := 0
		byTurn := run(func(d *deployment, _ time.Time, _ string) string {
			turn++
			return d.members[turn%len(d.members)].Name
		})
		GinkgoWriter.Printf("loads: placed %d, in turn %d\n", placed, byTurn)
		Expect(placed).To(BeNumerically("<", byTurn/2))
	})
})

var _ = Describe("A placer of plain services", func() {
	newService := func() *deployment {
		d := newDeployment(3)
		d.service.Engine = nil
		for i := range d.members {
			d.members[i].Spec.Slots, d.members[i].Spec.FailureDomain = 6, "a"
		}
		d.publish()
		return d
	}
	call := &placer.Call{Service: engines}

	It("spreads calls evenly", func() {
		d := newService()
		count := map[string]int{}
		for range 18 {
			count[d.choose(start, call).Name]++
		}
		Expect(count).To(HaveLen(3))
		for _, n := range count {
			Expect(n).To(BeNumerically("~", 6, 1))
		}
	})

	It("uses the load reported by a backend server for a limited time", func() {
		d := newService()
		first := d.choose(start, call)
		d.placer.ReportLoad(start, &first, 30)
		d.placer.Finish(start, &first, placer.OutcomeSuccess)
		for range 6 {
			Expect(d.choose(start, call).Name).NotTo(Equal(first.Name))
		}
	})

	It("sends fewer calls to overloaded backend servers, and no late calls", func() {
		d := newService()
		now := start
		crowd := func(calls int) {
			for i := range d.members {
				var choice placer.Choice
				Expect(d.placer.ChooseNamed(now, call, d.members[i].Name, &choice)).To(Succeed())
				now = now.Add(30 * time.Millisecond)
				d.placer.ReportLoad(now, &choice, calls)
				d.placer.Finish(now, &choice, placer.OutcomeSuccess)
			}
		}
		for range 10 {
			crowd(20)
		}
		count := 0
		var choice placer.Choice
		for d.placer.Choose(now.Add(time.Second), call, &choice) == nil {
			count++
		}
		Expect(count).To(Equal(len(d.members)), "one call each")
		late := &placer.Call{Service: engines, Late: true}
		Expect(d.placer.Choose(now.Add(time.Second), late, &choice)).To(MatchError(placer.ErrBusy))
		for range 40 {
			crowd(2)
		}
		Expect(d.placer.Choose(now.Add(time.Second), late, &choice)).To(Succeed())
	})

	It("avoids a backend server that fails some of its calls", func() {
		// A backend server fails two of five calls immediately and therefore appears to
		// be idle.
		d := newService()
		count := map[string]int{}
		random := rand.New(rand.NewPCG(5, 6))
		now := start
		for range 600 {
			now = now.Add(10 * time.Millisecond)
			choice := d.choose(now, call)
			count[choice.Name]++
			outcome := placer.OutcomeSuccess
			if choice.Name == "e00" && random.Float64() < 0.4 {
				outcome = placer.OutcomeServerError
			}
			d.placer.Finish(now.Add(20*time.Millisecond), &choice, outcome)
		}
		Expect(count["e00"]).To(BeNumerically("<", 100))
	})
})

var _ = Describe("Long prompts and long streams", func() {
	It("are placed on different engines", func() {
		// A third of the calls have long prompts and short answers, the others short
		// prompts and long streams. An engine reads prompts between the tokens of its
		// streams, so one long prompt delays all of them.
		d := newDeployment(4)
		for i := range 4 {
			running := 0
			if i%2 == 0 {
				running = 30
			}
			d.report(start, i, placer.EngineState{Adapters: held("a1"), Running: running})
		}
		quiet := 0
		for range 10 {
			choice := d.choose(start, adapterCall("a1", 3000))
			if choice.Name == "e01" || choice.Name == "e03" {
				quiet++
			}
			d.placer.RecordFirstByte(start, &choice)
			d.placer.Finish(start, &choice, placer.OutcomeSuccess)
		}
		Expect(quiet).To(Equal(10))
	})
})
