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

	It("goes where the version is, by answers and by hints", func() {
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

	// Symptom: one backend server gets a burst of calls and the others none.
	// Sequence: reports are 5 s old; one shows an idle backend server, which has
	// filled since. Cause to prevent: believing a lagging report as it stands, and
	// not counting what was sent since.
	It("draws no herd to a report that is 5 s old", func() {
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

	It("takes its own calls off a report that counts them", func() {
		r := newRouter(router.Settings{LoadTime: time.Minute}, engines(2, 4, 8))
		now := start
		for range 4 {
			pick(r, now, hot)
		}
		d := pick(r, now, hot)
		r.Report(now.Add(time.Second), d.Backend, router.Report{Running: 5, MaxBatch: 8})
		wait := pick(r, now.Add(time.Second), hot).Candidates()[0].Wait
		Expect(wait).To(BeZero(), "5 of its own and none of others")
	})

	// Symptom: a request is sent to a backend server that is leaving, or has died
	// and whose lease still runs.
	It("avoids at once what is leaving, suspect or tried", func() {
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

	// Symptom: calls stall on a backend server that should have their version.
	// Sequence: the engine restarts empty under a new incarnation.
	It("forgets what a former life had", func() {
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
		Expect(pick(r, start, router.Call{Version: "town/late@1"}).Cold).To(BeTrue(), "a digest of the former epoch")
	})

	// Symptom: one version's calls queue on one backend server while others idle;
	// or a version is loaded and evicted again and again as demand swings.
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
		Expect(most).To(BeNumerically("~", 4, 1), "25 calls a second of 1 s, 6.4 to a backend server")
		Expect(len(homes)).To(BeNumerically(">=", 3))
		Expect(call(50*time.Millisecond, 400)).To(Equal(most), "a small swing changes nothing")
		Expect(call(time.Second, 30)).To(BeNumerically(">=", most-1), "not at once")
		Expect(call(time.Second, 400)).To(Equal(1))
	})

	It("packs to the target fill when batches weigh more, and spreads when stalls do", func() {
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

	It("drops what it knows of a prefix cache whose events had a gap", func() {
		r := newRouter(router.Settings{}, engines(2, 4, 8))
		c := router.Call{Version: "town/a@1", Prefix: 99, PromptTokens: 50000}
		for e := range 2 {
			r.Resident(start, fmt.Sprintf("engine-%03d", e), c.Version, true)
		}
		packed := pick(r, start, router.Call{Version: c.Version})
		other := map[string]string{"engine-000": "engine-001", "engine-001": "engine-000"}[packed.Backend]
		r.CachedPrefix(other, c.Version, 99, true)
		d := pick(r, start, c)
		Expect(d.Backend).To(Equal(other), "a long prompt is worth more than packing")
		r.Finish(start, d, router.CallResult{})
		r.CacheGap(other)
		Expect(pick(r, start, c).Backend).To(Equal(packed.Backend))
	})

	// Symptom: calls queue at a backend server for a prefix that isn't cached there.
	// Sequence: the cache is small, and drops prefixes long before events tell.
	It("believes in prefixes as far as they were found", func() {
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

	// Symptom: minutes of stalls after popularity shifts. Sequence: every call is
	// for a version that nobody called before, all at once, while the old hot
	// versions fill the slots. Cause to prevent: all loads in one lane.
	It("spreads the loads of a hot set that shifts at once", func() {
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
		Expect(again.Candidates()[0].Reason).To(Equal(router.ReasonLoading), "waits with the load under way")
	})
})

// For any schedule of calls, ends, members and hints: a choice is a serving
// member that is neither suspect nor tried, it is one of the candidates, none of
// which stands twice, and when all calls have ended nothing counts as in flight.
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
