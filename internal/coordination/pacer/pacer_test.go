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

const alone = 288 * time.Millisecond

// store serves some loads at full speed at once, and all more slowly beyond.
type store struct {
	atOnce int
	left   map[string]float64
}

// step lets time pass and returns what has been brought.
func (s *store) step(d time.Duration) []string {
	speed := 1.0
	if n := len(s.left); n > s.atOnce {
		speed = float64(s.atOnce) / float64(n)
	}
	var done []string
	for name := range s.left {
		if s.left[name] -= speed * float64(d) / float64(alone); s.left[name] <= 0 {
			done = append(done, name)
			delete(s.left, name)
		}
	}
	return done
}

// engine is a slot table and the pacer of its loads.
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
	// began is when it got its adapter.
	began time.Time
}

const (
	// streamTime is for how long a request uses its adapter, and patience for how long
	// its caller waits for it.
	streamTime = 700 * time.Millisecond
	patience   = 2400 * time.Millisecond
)

// pattern is a load after a loss of power.
type pattern struct {
	// engines have slots each, and load at most most adapters at once.
	engines, slots, most int
	// atOnce is the number of loads that the store serves at full speed.
	atOnce int
	// perSecond is the number of requests, and held the seconds of them that were held
	// up meanwhile.
	perSecond, held int
	// unpaced tells that loads are bounded by most alone.
	unpaced bool
}

// afterLoss plays the seconds after a loss of power: engines that have lost all
// adapters, requests that come on and those that were held up. It returns the shares of
// the requests of the first three seconds and of the next that have their adapter in
// time for a target.
func afterLoss(p pattern) (first, then float64) {
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
				Slots: p.slots, HalfLife: 8 * time.Second, Patience: 1500 * time.Millisecond, AssumedLoadTime: pacer.DefaultLoad, MaxPermits: p.most,
			}, 1, rand.New(rand.NewPCG(1, uint64(i)))),
			pacer: pacer.NewPacer(pacer.Settings{MaxLoads: float64(p.most), Random: rand.New(rand.NewPCG(2, uint64(i)))}),
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
	count, owed := 0, 0.0
	arrive := func(now, arrived time.Time) {
		version := fmt.Sprint("a", zipf.Uint64())
		e := all[int(zipfHome(version))%engines]
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
			for range p.held * perSecond {
				arrive(now, now.Add(-time.Duration(random.Int64N(int64(p.held)*int64(time.Second)))))
			}
		}
		for owed += float64(perSecond) * tick.Seconds(); owed >= 1; owed-- {
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
			if !began && now.Sub(r.arrived) < patience {
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

// zipfHome gives each version its engine.
func zipfHome(version string) uint32 {
	h := uint32(2166136261)
	for _, c := range []byte(version) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}

var _ = Describe("A pacer", func() {
	It("narrows while loads are slowed by others, and widens again", func() {
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

	It("learns nothing from loads out of an engine's own memory", func() {
		p := pacer.NewPacer(pacer.Settings{Random: rand.New(rand.NewPCG(1, 2))})
		for range 10 {
			p.Loaded(start.Add(30*time.Millisecond), start)
		}
		Expect(p.Limit(start)).To(Equal(1))
	})

	It("takes a store for slow that is slow for one load alone", func() {
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

	// The pattern: 46 engines before a store that serves 24 loads at once, 180 requests
	// a second whose adapters' popularity falls off as the rank to the power of 1.2, and
	// nothing loaded.
	It("has requests served in time after a loss of power", func() {
		p := pattern{engines: 46, slots: 40, most: 4, atOnce: 24, perSecond: 180, held: 3}
		firstPaced, thenPaced := afterLoss(p)
		p.unpaced, p.most = true, 2
		first, then := afterLoss(p)
		GinkgoWriter.Printf("in time in the first three seconds and the next: %.2f %.2f, paced %.2f %.2f\n", first, then, firstPaced, thenPaced)
		Expect(firstPaced).To(BeNumerically(">", first+0.08))
		Expect(thenPaced).To(BeNumerically(">", then-0.05))
	})

	// The patterns: 12 engines of 18 slots before a store that serves 24 loads at once,
	// and 39 of 15 before one that serves 96, with the requests of a busy day. Loads
	// queued behind loads while half of the store stood idle: eight in ten late requests
	// of the first pattern waited for a load, 0.56 s in the middle, where one takes 0.25.
	DescribeTable("uses what the store serves",
		func(p pattern, gain float64) {
			wide, wideThen := afterLoss(p)
			p.most = 2
			narrow, narrowThen := afterLoss(p)
			GinkgoWriter.Printf("in time in the first three seconds and the next: two at once %.2f %.2f, four %.2f %.2f\n", narrow, narrowThen, wide, wideThen)
			Expect(wide).To(BeNumerically(">", narrow+gain))
			Expect(wideThen).To(BeNumerically(">=", narrowThen-0.01))
		},
		Entry("12 engines", pattern{engines: 12, slots: 18, most: 4, atOnce: 24, perSecond: 205, held: 1}, 0.01),
		Entry("39 engines", pattern{engines: 39, slots: 15, most: 4, atOnce: 96, perSecond: 733, held: 1}, 0.02),
	)
})
