package pacer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/pacer"
)

var start = time.Unix(0, 0)

const loadTime = 288 * time.Millisecond

// store models a weight store that serves atOnce loads at full speed and slows all
// loads down beyond that.
type store struct {
	atOnce int
	left   map[string]float64
}

// step advances the time and returns the loads that have completed.
func (s *store) step(d time.Duration) []string {
	speed := 1.0
	if n := len(s.left); n > s.atOnce {
		speed = float64(s.atOnce) / float64(n)
	}
	var done []string
	for name := range s.left {
		if s.left[name] -= speed * float64(d) / float64(loadTime); s.left[name] <= 0 {
			done = append(done, name)
			delete(s.left, name)
		}
	}
	return done
}

// engine is a slot table with the pacer of its loads.
type engine struct {
	name  string
	table *loader.Table
	pacer *pacer.Pacer
	began map[string]time.Time
	fence map[string]uint64
}

type request struct {
	id, version string
	engine      *engine
	arrived     time.Time
	// began is the time at which the request pinned its adapter.
	began time.Time
}

const (
	// streamTime is how long a request uses its adapter, and callerTimeout how long its
	// caller waits for it.
	streamTime    = 700 * time.Millisecond
	callerTimeout = 2400 * time.Millisecond
)

// workload describes the requests and engines after a loss of power.
type workload struct {
	// engines is the number of engines, each with the given slots and at most maxLoads
	// concurrent loads.
	engines, slots, maxLoads int
	// atOnce is the number of loads that the store serves at full speed.
	atOnce int
	// perSecond is the rate of requests, and heldSeconds the seconds of them that
	// accumulated during the outage.
	perSecond, heldSeconds int
	// unpaced reports that loads are only limited by maxLoads.
	unpaced bool
}

// simulatePowerLoss simulates the seconds after a loss of power: engines that have lost
// all adapters, a continuous stream of requests, and those accumulated during the
// outage. It returns the shares of requests that get their adapter within the target,
// for the first three seconds and for the rest.
func simulatePowerLoss(p workload) (first, next float64) {
	paced, engines, atOnce, perSecond := !p.unpaced, p.engines, p.atOnce, p.perSecond
	const tick, target, length = 5 * time.Millisecond, 700 * time.Millisecond, 6 * time.Second
	random := rand.New(rand.NewPCG(11, 12))
	zipf := rand.NewZipf(random, 1.2, 1, 9999)
	s := &store{atOnce: atOnce, left: map[string]float64{}}
	var all []*engine
	for i := range engines {
		all = append(all, &engine{
			name: fmt.Sprint(i),
			table: loader.NewTable(loader.Settings{
				Slots: p.slots, HalfLife: 8 * time.Second, SlotWaitTimeout: 1500 * time.Millisecond, AssumedLoadTime: pacer.DefaultLoad, MaxPermits: p.maxLoads,
			}, 1, rand.New(rand.NewPCG(1, uint64(i)))),
			pacer: pacer.NewPacer(pacer.Settings{MaxLoads: float64(p.maxLoads), Random: rand.New(rand.NewPCG(2, uint64(i)))}),
			began: map[string]time.Time{}, fence: map[string]uint64{},
		})
	}
	var waiting, streams []request
	apply := func(now time.Time, e *engine, actions []loader.Action) {
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			switch a := a.(type) {
			case loader.PermitAction:
				actions = append(actions, e.table.Permitted(now, a.Version)...)
			case loader.UnloadAction:
				actions = append(actions, e.table.Unloaded(now, a.Version, a.Fence, loader.OutcomeDone)...)
			case loader.LoadAction:
				s.left[e.name+" "+a.Version] = 1
				e.began[a.Version], e.fence[a.Version] = now, a.Fence
			}
		}
	}
	counted, inTime := [2]float64{}, [2]float64{}
	count, arrivals := 0, 0.0
	arrive := func(now, arrived time.Time) {
		version := fmt.Sprint("a", zipf.Uint64())
		e := all[int(homeHash(version))%engines]
		r := request{id: fmt.Sprint(count), version: version, engine: e, arrived: arrived}
		count++
		waiting = append(waiting, r)
		w := loader.Want{Request: r.id, Workspace: "m", Version: version, Source: version}
		if paced {
			w.Due = arrived.Add(target)
		}
		apply(now, e, e.table.Want(now, w))
	}
	for _, e := range all {
		if paced {
			e.table.SetPermits(e.pacer.Limit(start))
		}
	}
	for now := start; now.Sub(start) < length; now = now.Add(tick) {
		if now.Equal(start) {
			for range p.heldSeconds * perSecond {
				arrive(now, now.Add(-time.Duration(random.Int64N(int64(p.heldSeconds)*int64(time.Second)))))
			}
		}
		for arrivals += float64(perSecond) * tick.Seconds(); arrivals >= 1; arrivals-- {
			arrive(now, now)
		}
		for _, done := range s.step(tick) {
			var name, version string
			_, err := fmt.Sscan(done, &name, &version)
			Expect(err).NotTo(HaveOccurred())
			for _, e := range all {
				if e.name == name {
					e.pacer.Loaded(now, e.began[version])
					apply(now, e, e.table.Loaded(now, version, e.fence[version], loader.OutcomeDone, ""))
				}
			}
		}
		for _, e := range all {
			if paced {
				e.table.SetPermits(e.pacer.Limit(now))
			}
			apply(now, e, e.table.Tick(now))
		}
		streams = slices.DeleteFunc(streams, func(r request) bool {
			over := now.Sub(r.began) >= streamTime
			if over {
				apply(now, r.engine, r.engine.table.Release(now, r.id))
			}
			return over
		})
		kept := waiting[:0]
		for _, r := range waiting {
			began := r.engine.table.Pin(r.id)
			if !began && now.Sub(r.arrived) < callerTimeout {
				kept = append(kept, r)
				continue
			}
			if began {
				r.began = now
				streams = append(streams, r)
			} else {
				apply(now, r.engine, r.engine.table.Release(now, r.id))
			}
			if r.arrived.Before(start) {
				continue
			}
			part := 0
			if r.arrived.Sub(start) >= 3*time.Second {
				part = 1
			}
			counted[part]++
			if now.Sub(r.arrived) < target {
				inTime[part]++
			}
		}
		waiting = kept
	}
	return inTime[0] / counted[0], inTime[1] / counted[1]
}

// homeHash returns the hash that assigns a version to its engine.
func homeHash(version string) uint32 {
	h := uint32(2166136261)
	for _, c := range []byte(version) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}

var _ = Describe("A pacer", func() {
	It("reduces the limit while loads are slowed down by others, and raises it again", func() {
		p := pacer.NewPacer(pacer.Settings{Random: rand.New(rand.NewPCG(1, 2))})
		now := start
		load := func(took time.Duration) {
			began := now
			now = now.Add(took)
			p.Loaded(now, began)
		}
		Expect(p.Limit(now)).To(Equal(1))
		load(300 * time.Millisecond)
		load(300 * time.Millisecond)
		Expect(p.Limit(now)).To(Equal(2))
		load(time.Second)
		Expect(p.Limit(now)).To(BeZero())
		Expect(p.Pause(now)).To(BeNumerically("~", 300*time.Millisecond, 300*time.Millisecond))
		now = now.Add(p.Pause(now))
		Expect(p.Limit(now)).To(Equal(1))
		for range 5 {
			load(300 * time.Millisecond)
		}
		Expect(p.Limit(now)).To(Equal(3))
		load(300 * time.Millisecond)
		load(300 * time.Millisecond)
		Expect(p.Limit(now)).To(Equal(4))
	})

	It("ignores loads from an engine's own memory", func() {
		p := pacer.NewPacer(pacer.Settings{Random: rand.New(rand.NewPCG(1, 2))})
		for range 10 {
			p.Loaded(start.Add(30*time.Millisecond), start)
		}
		Expect(p.Limit(start)).To(Equal(1))
	})

	It("adapts to a store that is slow even for a single load", func() {
		p := pacer.NewPacer(pacer.Settings{Random: rand.New(rand.NewPCG(1, 2))})
		now := start
		for range 40 {
			now = now.Add(p.Pause(now))
			began := now
			now = now.Add(time.Second)
			p.Loaded(now, began)
		}
		Expect(p.Limit(now.Add(p.Pause(now)))).To(Equal(4))
	})

	// 46 engines on a store that serves 24 loads at once; 180 requests per second with
	// Zipf-distributed popularity of adapters, exponent 1.2; nothing loaded.
	It("improves the share of requests served in time after a loss of power", func() {
		p := workload{engines: 46, slots: 40, maxLoads: 4, atOnce: 24, perSecond: 180, heldSeconds: 3}
		pacedFirst, pacedLater := simulatePowerLoss(p)
		p.unpaced, p.maxLoads = true, 2
		first, later := simulatePowerLoss(p)
		GinkgoWriter.Printf("in time in the first three seconds and later: %.2f %.2f, paced %.2f %.2f\n", first, later, pacedFirst, pacedLater)
		Expect(pacedFirst).To(BeNumerically(">", first+0.08))
		Expect(pacedLater).To(BeNumerically(">", later-0.05))
	})

	// 12 engines with 18 slots on a store that serves 24 loads at once, and 39 with 15
	// slots on one that serves 96, with the requests of a busy day. Guards against
	// loads queueing behind loads while half of the store is idle: in the first
	// workload eight out of ten late requests waited for a load, with a median of
	// 0.56 s where a load takes 0.25 s.
	DescribeTable("uses the capacity of the store",
		func(p workload, gain float64) {
			four, fourLater := simulatePowerLoss(p)
			p.maxLoads = 2
			two, twoLater := simulatePowerLoss(p)
			GinkgoWriter.Printf("in time in the first three seconds and later: two at once %.2f %.2f, four %.2f %.2f\n", two, twoLater, four, fourLater)
			Expect(four).To(BeNumerically(">", two+gain))
			Expect(fourLater).To(BeNumerically(">=", twoLater-0.01))
		},
		Entry("12 engines", workload{engines: 12, slots: 18, maxLoads: 4, atOnce: 24, perSecond: 205, heldSeconds: 1}, 0.01),
		Entry("39 engines", workload{engines: 39, slots: 15, maxLoads: 4, atOnce: 96, perSecond: 733, heldSeconds: 1}, 0.02),
	)
})
