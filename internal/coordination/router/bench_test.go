package router_test

import (
	"fmt"
	"math/rand/v2"
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

// BenchmarkChoose measures one choice and its end, over all adapters of the
// letter's size with one in eight resident somewhere.
func BenchmarkChoose(b *testing.B) {
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
			c := router.Call{Pool: enginePool, PromptTokens: 100}
			now := start
			for i := range names {
				c.Version = names[i]
				choose(b, r, now, &c, &d)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				c.Version = names[(i*7919)%len(names)]
				choose(b, r, now, &c, &d)
			}
		})
	}
}

func choose(b *testing.B, r *router.Router, now time.Time, c *router.Call, d *router.Decision) {
	b.Helper()
	if err := r.Choose(now, c, d); err != nil {
		b.Fatal(err)
	}
	r.Finish(now, d, router.Ending{Served: true, Ran: time.Second})
}

// BenchmarkMembers measures a change of membership, after which each version
// finds its homes anew at its next call.
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
