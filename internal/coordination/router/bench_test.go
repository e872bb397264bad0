package router_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/router"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const base = "base"

func engines(n, slots, batch int) []indexer.Member {
	members := make([]indexer.Member, n)
	for i := range members {
		members[i] = indexer.Member{
			Name: fmt.Sprintf("engine-%03d", i),
			Spec: storer.MemberSpec{
				Kind: storer.MemberKindEngine, BaseModel: base, Slots: slots, MaxBatch: batch, Epoch: 1,
				Address: fmt.Sprintf("127.0.0.1:%d", 10000+i), Incarnation: "first",
			},
		}
	}
	return members
}

var enginePool = router.Pool{Kind: storer.MemberKindEngine, Name: base}

// BenchmarkChoose measures one choice, cycling over all adapters, with about one in
// eight resident somewhere and a few hundred calls in flight. Finish is not measured
// here; see BenchmarkChooseAndFinish.
func BenchmarkChoose(b *testing.B) {
	forSizes(b, func(b *testing.B, r *router.Router, names []string) {
		b.Helper()
		decisions := make([]router.Decision, 512)
		c, now := router.Call{Pool: enginePool, PromptTokens: 100}, start
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			if i > 0 && i%len(decisions) == 0 {
				b.StopTimer()
				for k := range decisions {
					r.Finish(now, &decisions[k], router.CallResult{Served: true, Ran: time.Second})
				}
				b.StartTimer()
			}
			now = now.Add(time.Millisecond)
			c.Version = names[(i*7919)%len(names)]
			if err := r.Choose(now, &c, &decisions[i%len(decisions)]); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkChooseAndFinish measures Choose and Finish together.
func BenchmarkChooseAndFinish(b *testing.B) {
	forSizes(b, func(b *testing.B, r *router.Router, names []string) {
		b.Helper()
		var d router.Decision
		c, now := router.Call{Pool: enginePool, PromptTokens: 100}, start
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			now = now.Add(time.Millisecond)
			c.Version = names[(i*7919)%len(names)]
			choose(b, r, now, &c, &d)
		}
	})
}

// forSizes runs f with a router that has had a call for each adapter.
func forSizes(b *testing.B, f func(b *testing.B, r *router.Router, names []string)) {
	b.Helper()
	for _, size := range []struct{ adapters, backends int }{{3000, 20}, {15000, 160}, {61000, 630}} {
		b.Run(fmt.Sprintf("Adapters=%d/Backends=%d", size.adapters, size.backends), func(b *testing.B) {
			r := router.NewRouter(router.Settings{Seed: 1, MaxVersions: 2 * size.adapters})
			if err := r.SetMembers(engines(size.backends, 16, 32)); err != nil {
				b.Fatal(err)
			}
			random := rand.New(rand.NewPCG(1, 2))
			names := make([]string, size.adapters)
			for i := range names {
				names[i] = fmt.Sprintf("workspace-%d/adapter-%d@3", i%50, i)
			}
			for i := range size.backends {
				for range 12 {
					r.Resident(start, fmt.Sprintf("engine-%03d", i), names[random.IntN(len(names))], true)
				}
			}
			var d router.Decision
			for i := range names {
				c := router.Call{Pool: enginePool, Version: names[i]}
				choose(b, r, start, &c, &d)
			}
			f(b, r, names)
		})
	}
}

func choose(b *testing.B, r *router.Router, now time.Time, c *router.Call, d *router.Decision) {
	b.Helper()
	if err := r.Choose(now, c, d); err != nil {
		b.Fatal(err)
	}
	r.Finish(now, d, router.CallResult{Served: true, Ran: time.Second})
}

// BenchmarkMembers measures a change of membership, after which each version recomputes
// its homes at its next call.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{20, 160, 630} {
		b.Run(fmt.Sprintf("Backends=%d", n), func(b *testing.B) {
			r := router.NewRouter(router.Settings{Seed: 1})
			members := engines(n, 16, 32)
			var d router.Decision
			c := router.Call{Pool: enginePool, Version: "w/a@1"}
			b.ReportAllocs()
			for i := range b.N {
				members[i%n].Spec.Epoch++
				if err := r.SetMembers(members); err != nil {
					b.Fatal(err)
				}
				choose(b, r, start, &c, &d)
			}
		})
	}
}

// BenchmarkVersionState measures the memory that the router uses for each version that
// has been called.
func BenchmarkVersionState(b *testing.B) {
	for _, n := range []int{3000, 15000, 61000} {
		b.Run(fmt.Sprintf("Versions=%d", n), func(b *testing.B) {
			for range b.N {
				r := router.NewRouter(router.Settings{Seed: 1, MaxVersions: 2 * n})
				if err := r.SetMembers(engines(20, 16, 32)); err != nil {
					b.Fatal(err)
				}
				names := make([]string, n)
				for i := range names {
					names[i] = fmt.Sprintf("workspace-%d/adapter-%d@3", i%50, i)
				}
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				var d router.Decision
				for i := range names {
					c := router.Call{Pool: enginePool, Version: names[i]}
					choose(b, r, start, &c, &d)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/version")
				runtime.KeepAlive(r)
				runtime.KeepAlive(names)
			}
		})
	}
}
