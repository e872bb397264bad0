package router_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/router"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

func newRouter(s router.Settings, members []indexer.Member) *router.Router {
	s.Seed = 1
	r := router.NewRouter(s)
	Expect(r.SetMembers(members)).To(Succeed())
	return r
}

// pick makes one choice and leaves the call in flight.
func pick(r *router.Router, now time.Time, c router.Call) *router.Decision {
	c.Pool = enginePool
	d := &router.Decision{}
	Expect(r.Choose(now, &c, d)).To(Succeed())
	return d
}

func served(r *router.Router, now time.Time, d *router.Decision) {
	r.Finish(now, d, router.CallResult{Served: true, Ran: time.Second})
}

var _ = Describe("Router", func() {
	hot := router.Call{Version: "town/hot@1"}

	It("chooses a backend server with the version, by answers and by hints", func() {
		r := newRouter(router.Settings{}, engines(100, 4, 8))
		first := pick(r, start, hot)
		Expect(first.Cold).To(BeTrue())
		served(r, start, first)
		again := pick(r, start, hot)
		Expect(again.Backend).To(Equal(first.Backend))
		Expect(again.Cold).To(BeFalse())

		r.Digest(start, "engine-042", 1, []string{"town/told@1"})
		Expect(pick(r, start, router.Call{Version: "town/told@1"}).Backend).To(Equal("engine-042"))
		r.Digest(start, "engine-042", 1, nil)
		Expect(pick(r, start, router.Call{Version: "town/other@1"}).Cold).To(BeTrue())
	})

	It("agrees with other entries on where a cold version is loaded", func() {
		one, two := newRouter(router.Settings{}, engines(100, 4, 8)), newRouter(router.Settings{}, engines(100, 4, 8))
		pick(two, start, router.Call{Version: "town/another@1"})
		same := 0
		for i := range 100 {
			c := router.Call{Version: fmt.Sprintf("town/cold-%d@1", i)}
			a, b := pick(one, start, c), pick(two, start, c)
			if a.Backend == b.Backend {
				same++
			}
			served(one, start, a)
			served(two, start, b)
		}
		Expect(same).To(BeNumerically(">", 80))
	})

	// Guards against a burst of calls to one backend server while the others get none.
	// The reports are 5 s old, and one of them shows an idle backend server that has
	// filled since. The fault would be to use a lagging report undiscounted and not to
	// count the calls sent since.
	It("sends no burst of calls to one backend server on a report that is 5 s old", func() {
		r := newRouter(router.Settings{}, engines(20, 4, 8))
		for i := range 20 {
			running := 6
			if i == 7 {
				running = 0
			}
			r.Report(start, fmt.Sprintf("engine-%03d", i), router.Report{Running: running, MaxBatch: 8, Age: 5 * time.Second})
		}
		got := map[string]int{}
		for i := range 100 {
			got[pick(r, start, router.Call{Version: fmt.Sprintf("town/a-%d@1", i)}).Backend]++
		}
		Expect(got["engine-007"]).To(BeNumerically("<=", 10))
		for name, n := range got {
			Expect(n).To(BeNumerically("<=", 10), name)
		}
	})

	It("subtracts its own calls from a report that includes them", func() {
		r := newRouter(router.Settings{LoadTime: time.Minute}, engines(2, 4, 8))
		now := start
		for range 4 {
			pick(r, now, hot)
		}
		d := pick(r, now, hot)
		r.Report(now.Add(time.Second), d.Backend, router.Report{Running: 5, MaxBatch: 8})
		wait := pick(r, now.Add(time.Second), hot).Candidates()[0].Wait
		Expect(wait).To(BeZero(), "5 own calls and none of other entries")
	})

	// Guards against requests sent to a backend server that is leaving, or that has
	// died while its lease is still valid.
	It("immediately avoids backend servers that are leaving, suspect or tried", func() {
		members := engines(3, 4, 8)
		r := newRouter(router.Settings{}, members)
		d := pick(r, start, hot)
		served(r, start, d)
		r.Suspect(start, d.Backend, 0)
		Expect(pick(r, start, hot).Backend).NotTo(Equal(d.Backend))
		later := start.Add(router.DefaultSuspectFor)
		Expect(pick(r, later, hot).Backend).To(Equal(d.Backend), "the evidence expires")
		for i := range members {
			if members[i].Name == d.Backend {
				members[i].Spec.State = storer.MemberStateLeaving
			}
		}
		Expect(r.SetMembers(members)).To(Succeed())
		Expect(pick(r, later, hot).Backend).NotTo(Equal(d.Backend))

		c := router.Call{Pool: enginePool, Version: "town/x@1", Avoid: []string{"engine-000", "engine-001", "engine-002"}}
		Expect(r.Choose(later, &c, &router.Decision{})).To(MatchError(router.ErrNoneAvailable))
		c.Pool.Name = "another"
		Expect(r.Choose(later, &c, &router.Decision{})).To(MatchError(router.ErrNoBackend))
	})

	// Guards against calls stalling on a backend server that is wrongly believed to
	// have their version, after its engine restarted empty under a new incarnation.
	It("discards the residency of a previous incarnation", func() {
		members := engines(2, 4, 8)
		r := newRouter(router.Settings{}, members)
		d := pick(r, start, hot)
		served(r, start, d)
		for i := range members {
			members[i].Spec.Incarnation, members[i].Spec.Epoch = "second", 2
		}
		Expect(r.SetMembers(members)).To(Succeed())
		Expect(pick(r, start, hot).Cold).To(BeTrue())
		r.Digest(start, "engine-000", 1, []string{"town/late@1"})
		Expect(pick(r, start, router.Call{Version: "town/late@1"}).Cold).To(BeTrue(), "a digest of the previous epoch")
	})

	// Guards against calls for one version queueing on one backend server while others
	// idle, and against repeated loads and evictions of a version when demand
	// fluctuates.
	It("spreads a hot version by demand, and shrinks with hysteresis", func() {
		s := router.Settings{LoadTime: 100 * time.Millisecond}
		r := newRouter(s, engines(20, 4, 8))
		now, homes, running := start, map[string]bool{}, []*router.Decision{}
		call := func(every time.Duration, n int) int {
			spread := 0
			for range n {
				now = now.Add(every)
				for len(running) > int(time.Second/every) {
					served(r, now, running[0])
					running = running[1:]
				}
				d := pick(r, now, hot)
				r.RecordAnswerStart(now, d)
				homes[d.Backend], spread = true, d.Spread
				running = append(running, d)
			}
			return spread
		}
		Expect(call(time.Second, 30)).To(Equal(1))
		Expect(homes).To(HaveLen(1))
		most := call(40*time.Millisecond, 2000)
		Expect(most).To(BeNumerically("~", 4, 1), "25 calls per second of 1 s each, 6.4 per backend server")
		Expect(len(homes)).To(BeNumerically(">=", 3))
		Expect(call(50*time.Millisecond, 400)).To(Equal(most), "a small fluctuation has no effect")
		Expect(call(time.Second, 30)).To(BeNumerically(">=", most-1), "no immediate shrinking")
		Expect(call(time.Second, 400)).To(Equal(1))
	})

	It("packs to the target fill when the batch weight is high, and spreads when the stall weight is", func() {
		used := func(s router.Settings) int {
			r := newRouter(s, engines(2, 8, 10))
			got := map[string]int{}
			for i := range 10 {
				for e := range 2 {
					r.Resident(start, fmt.Sprintf("engine-%03d", e), fmt.Sprintf("town/a-%d@1", i), true)
				}
			}
			for i := range 8 {
				got[pick(r, start, router.Call{Version: fmt.Sprintf("town/a-%d@1", i)}).Backend]++
			}
			return max(got["engine-000"], got["engine-001"])
		}
		Expect(used(router.Settings{BatchWeight: 4})).To(Equal(8))
		Expect(used(router.Settings{BatchWeight: 4, TargetFill: 0.5})).To(BeNumerically("<", 8))
	})

	It("discards its knowledge of a prefix cache after a gap in the events", func() {
		r := newRouter(router.Settings{}, engines(2, 4, 8))
		c := router.Call{Version: "town/a@1", Prefix: 99, PromptTokens: 50000}
		for e := range 2 {
			r.Resident(start, fmt.Sprintf("engine-%03d", e), c.Version, true)
		}
		packed := pick(r, start, router.Call{Version: c.Version})
		other := map[string]string{"engine-000": "engine-001", "engine-001": "engine-000"}[packed.Backend]
		r.CachedPrefix(other, c.Version, 99, true)
		d := pick(r, start, c)
		Expect(d.Backend).To(Equal(other), "a long cached prompt outweighs packing")
		r.Finish(start, d, router.CallResult{})
		r.CacheGap(other)
		Expect(pick(r, start, c).Backend).To(Equal(packed.Backend))
	})

	// Guards against calls queueing at a backend server for a prefix that is not cached
	// there: a small cache drops prefixes long before its events report it.
	It("weighs cached prefixes by their measured hit rate", func() {
		r := newRouter(router.Settings{PrefillRate: 1000}, engines(2, 4, 8))
		c := router.Call{Version: "town/a@1", Prefix: 99, PromptTokens: 1000}
		score := func(cached int64) float64 {
			d := pick(r, start, c)
			defer r.Finish(start, d, router.CallResult{Served: true, CachedTokens: cached})
			for _, k := range d.Candidates() {
				if k.Taken {
					return k.Score
				}
			}
			return 0
		}
		score(0)
		first := score(0)
		for range 50 {
			score(0)
		}
		Expect(score(0)).To(BeNumerically(">", first+0.4))
		for range 100 {
			score(500)
		}
		Expect(score(500)).To(BeNumerically("<", first-0.4))
	})

	// Guards against minutes of stalls after a sudden shift of popularity: every call
	// is for a version not called before, while the previously hot versions fill the
	// slots. The fault would be to queue all loads at one backend server.
	It("spreads the loads after a sudden shift of popularity", func() {
		r := newRouter(router.Settings{}, engines(20, 4, 8))
		for i := range 20 {
			for s := range 4 {
				r.Resident(start, fmt.Sprintf("engine-%03d", i), fmt.Sprintf("town/old-%d@1", 4*i+s), true)
			}
		}
		lanes := map[string]int{}
		for i := range 60 {
			d := pick(r, start, router.Call{Version: fmt.Sprintf("town/new-%d@1", i)})
			Expect(d.Cold).To(BeTrue())
			lanes[d.Backend]++
		}
		Expect(lanes).To(HaveLen(20))
		for name, n := range lanes {
			Expect(n).To(BeNumerically("<=", 5), name)
		}
		again := pick(r, start, router.Call{Version: "town/new-0@1"})
		Expect(again.Candidates()[0].Reason).To(Equal(router.ReasonLoading), "joins the load in progress")
	})
})

// TestPropertyChoose checks for any schedule of calls, ends, member changes and hints
// that a choice is a serving member that is neither suspect nor tried, that it is one
// of the candidates, that no candidate occurs twice, and that no call counts as in
// flight when all have ended.
func TestPropertyChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := router.Policy(rapid.IntRange(0, int(router.PolicyConsistentHash)).Draw(t, "policy"))
		r := router.NewRouter(router.Settings{Policy: policy, MaxVersions: 64, Seed: 1})
		members := engines(rapid.IntRange(1, 30).Draw(t, "members"), 2, 4)
		if err := r.SetMembers(members); err != nil {
			t.Fatal(err)
		}
		now, open, suspects := start, []*router.Decision{}, map[string]time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "passed")) * time.Millisecond)
			m := rapid.IntRange(0, len(members)-1).Draw(t, "member")
			name := members[m].Name
			version := fmt.Sprintf("town/a-%d@1", rapid.IntRange(0, 99).Draw(t, "version"))
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				members[m].Spec.State = storer.MemberState(rapid.IntRange(0, 1).Draw(t, "state"))
				members[m].Spec.Epoch += uint64(rapid.IntRange(0, 1).Draw(t, "epoch"))
				if err := r.SetMembers(members); err != nil {
					t.Fatal(err)
				}
				delete(suspects, name)
			case 1:
				r.Suspect(now, name, 0)
				suspects[name] = now.Add(router.DefaultSuspectFor)
			case 2:
				r.Resident(now, name, version, rapid.Bool().Draw(t, "resident"))
			case 3:
				if len(open) > 0 {
					r.Finish(now, open[0], router.CallResult{Served: rapid.Bool().Draw(t, "served"), LoadFailed: rapid.Bool().Draw(t, "failed")})
					open = open[1:]
				}
			default:
				c := router.Call{Pool: enginePool, Version: version, Avoid: []string{name}, Prefix: 7}
				d := &router.Decision{}
				if r.Choose(now, &c, d) == nil {
					open = append(open, d)
					checkChoice(t, d, members, suspects, now, name)
				}
			}
		}
		for _, d := range open {
			r.Finish(now, d, router.CallResult{})
		}
		if n := r.InFlight(); n != 0 {
			t.Fatalf("%d in flight at the end", n)
		}
	})
}

func checkChoice(t *rapid.T, d *router.Decision, members []indexer.Member, suspects map[string]time.Time, now time.Time, tried string) {
	for _, m := range members {
		if m.Name == d.Backend && (m.Spec.State != storer.MemberStateServing || m.Spec.Epoch != d.Epoch) {
			t.Fatalf("chose %s, which is leaving or of another epoch", d.Backend)
		}
	}
	if until, ok := suspects[d.Backend]; ok && now.Before(until) || d.Backend == tried {
		t.Fatalf("chose %s, which is suspect or tried", d.Backend)
	}
	seen, taken := map[string]bool{}, 0
	for _, c := range d.Candidates() {
		if seen[c.Backend] {
			t.Fatalf("candidate %s twice", c.Backend)
		}
		seen[c.Backend] = true
		if c.Taken {
			taken++
			if c.Backend != d.Backend {
				t.Fatalf("took %s, chose %s", c.Backend, d.Backend)
			}
		}
	}
	if taken != 1 {
		t.Fatalf("%d candidates taken", taken)
	}
}
