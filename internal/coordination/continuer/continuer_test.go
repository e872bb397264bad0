package continuer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/continuer"
)

var start = time.Unix(1000, 0)

func origin(service, software, request string) continuer.Origin {
	return continuer.Origin{Service: service, Software: software, Request: request, Expires: start.Add(time.Minute)}
}

var _ = Describe("A store", func() {
	software := func(s *continuer.Store, now time.Time) string {
		found, known := s.Get(now, "a")
		if !known {
			return "unknown"
		}
		return found.Software
	}

	// Guards against continuing a stream with the version of another request that has the same
	// attempt id.
	It("knows no origin of an attempt for which two requests report different ones", func() {
		for _, other := range []continuer.Origin{origin("s", "v2", "three"), origin("t", "v1", "three")} {
			s := continuer.NewStore(continuer.Settings{})
			s.Put(start, "a", origin("s", "v1", "one"))
			s.Put(start, "a", origin("s", "v1", "two"))
			Expect(software(s, start)).To(Equal("v1"))
			s.Put(start, "a", other)
			Expect(software(s, start)).To(Equal("unknown"))
			s.Put(start, "a", other)
			Expect(software(s, start)).To(Equal("unknown"))
		}
	})

	It("drops an origin when its caller stops waiting, and at the maximum age", func() {
		s := continuer.NewStore(continuer.Settings{MaxAge: 30 * time.Second})
		s.Put(start, "a", origin("s", "v1", "one"))
		Expect(software(s, start.Add(29*time.Second))).To(Equal("v1"))
		Expect(software(s, start.Add(30*time.Second))).To(Equal("unknown"))
	})

	It("rejects malformed origins, and further ones when it is full", func() {
		s := continuer.NewStore(continuer.Settings{MaxOrigins: 100})
		for i := range 100 {
			Expect(s.Put(start, fmt.Sprint(i), origin("s", "v1", "one"))).To(BeTrue())
		}
		Expect(s.Put(start, "a", origin("s", "v1", "one"))).To(BeFalse())
		later := start.Add(time.Minute)
		fresh := continuer.Origin{Software: "v1", Request: "one", Expires: later.Add(time.Second)}
		Expect(s.Put(later, "a", fresh)).To(BeTrue(), "the others have expired")
		Expect(s.Len()).To(Equal(1))
		for _, o := range []continuer.Origin{{Request: "one", Expires: later.Add(1)}, {Software: "v1", Expires: later}, {Software: string(make([]byte, 1000)), Expires: later.Add(1)}} {
			Expect(s.Put(later, "b", o)).To(BeFalse())
		}
		Expect(s.Put(later, "", fresh)).To(BeFalse())
	})
})

// companions returns n companions spread over the given number of failure domains.
func companions(n, domains int) []continuer.Companion {
	var all []continuer.Companion
	for i := range n {
		all = append(all, continuer.Companion{Name: fmt.Sprint("engine-", i), FailureDomain: domain(i % domains)})
	}
	return all
}

func domain(i int) string { return fmt.Sprint("domain-", i) }

func names(replicas []continuer.Companion) []string {
	var all []string
	for _, r := range replicas {
		all = append(all, r.Name)
	}
	return all
}

// Guards against entries that look up an origin only at companions that don't store it, because
// the entries are in different failure domains and their views differ by one companion.
func TestReplicasOfDifferentViews(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := rapid.IntRange(1, 19).Draw(rt, "domains")
		all := companions(rapid.IntRange(2, 300).Draw(rt, "companions"), domains)
		attempt := rapid.String().Draw(rt, "attempt")
		recording, querying := domain(rapid.IntRange(0, domains-1).Draw(rt, "recording")), domain(rapid.IntRange(0, domains-1).Draw(rt, "querying"))
		recorded := names(continuer.NewDirectory(all, recording).Replicas(attempt))
		recorded = recorded[:min(len(recorded), continuer.Copies)]
		lost := rapid.IntRange(0, len(all)-1).Draw(rt, "lost")
		remaining := slices.Delete(slices.Clone(all), lost, lost+1)
		queried := names(continuer.NewDirectory(remaining, querying).Replicas(attempt))
		if !slices.ContainsFunc(recorded, func(r string) bool { return r != all[lost].Name && slices.Contains(queried, r) }) {
			rt.Fatalf("recorded at %v, queried without %s: %v", recorded, all[lost].Name, queried)
		}
	})
}

var _ = Describe("The replicas of an attempt", func() {
	It("are in the own failure domain and in others, spread over the companions", func() {
		all := companions(300, 19)
		counts := map[string]int{}
		const attempts = 20_000
		for i := range attempts {
			own := domain(i % 19)
			replicas := continuer.NewDirectory(all[:19*2], own).Replicas(fmt.Sprint("attempt-", i))
			Expect(replicas[0].FailureDomain).To(Equal(own))
			Expect(len(replicas)).To(BeNumerically(">=", 2))
			for _, r := range replicas[:min(len(replicas), continuer.Copies)] {
				counts[r.Name]++
			}
		}
		Expect(counts).To(HaveLen(38))
		for _, n := range counts {
			Expect(n).To(BeNumerically("<", 2*continuer.Copies*attempts/38))
		}
	})

	It("are all companions if there are few", func() {
		Expect(continuer.NewDirectory(companions(1, 1), domain(0)).Replicas("a")).To(HaveLen(1))
		Expect(continuer.NewDirectory(companions(2, 2), domain(0)).Replicas("a")).To(HaveLen(2))
		Expect(continuer.NewDirectory(nil, domain(0)).Replicas("a")).To(BeEmpty())
	})
})

// BenchmarkReplicas measures the selection of replicas, which is done for each stream.
func BenchmarkReplicas(b *testing.B) {
	d := continuer.NewDirectory(companions(625, 19), domain(0))
	for b.Loop() {
		d.Replicas("419d0bf96099cf43")
	}
}
