package separator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

func init() { _ = flag.Set("rapid.seed", "1") }

const service = "s"

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// engines returns n engines in the given number of failure domains.
func engines(n, domains int) []separator.Engine {
	all := make([]separator.Engine, n)
	for i := range all {
		all[i] = separator.Engine{Name: fmt.Sprint("e", i), Incarnation: "1", FailureDomain: fmt.Sprint("d", i%domains)}
	}
	return all
}

// newSet returns a set of n engines, each of which spends the given share on long prefills.
func newSet(n int, share float64) *separator.Set {
	s := &separator.Set{}
	s.SetEngines(service, engines(n, 3))
	for _, e := range engines(n, 3) {
		s.Report(start, e.Name, e.Incarnation, share)
	}
	s.Update(start)
	return s
}

func designated(s *separator.Set, all []separator.Engine) (names []string) {
	for _, e := range all {
		if s.Has(e.Name) {
			names = append(names, e.Name)
		}
	}
	return names
}

var _ = Describe("The limits of a service", func() {
	route := func(stream bool, gap time.Duration, to string) tracker.Route {
		return tracker.Route{Stream: stream, MaxEventGap: gap, Shares: []tracker.Share{{Service: to, Weight: 1}}}
	}
	// Guards against a separation by the limit of another service or of a route without streams, and
	// of deployments that limit no gap.
	It("follow from the shortest gap of its streaming routes", func() {
		r := &tracker.Routing{Routes: []tracker.Route{
			route(true, 800*time.Millisecond, service), route(true, 400*time.Millisecond, service),
			route(true, 100*time.Millisecond, "other"), route(false, 100*time.Millisecond, service), route(true, 0, service),
		}}
		l := separator.NewLimits(r, service)
		Expect(l.Long).To(Equal(120 * time.Millisecond))
		Expect(l.IsLong(119 * time.Millisecond)).To(BeFalse())
		Expect(l.IsLong(120 * time.Millisecond)).To(BeTrue())
		Expect(separator.NewLimits(r, "none").IsLong(time.Hour)).To(BeFalse())
	})
})

var _ = Describe("The share of long prefills", func() {
	It("is that of a steady load, and decays", func() {
		var s separator.Share
		for i := range 60 {
			s.Add(at(float64(i)), 300*time.Millisecond)
		}
		Expect(s.At(at(59.5))).To(BeNumerically("~", 0.3, 0.02))
		Expect(s.Percent(at(90))).To(BeZero())
		s.Add(at(90), time.Minute)
		Expect(s.At(at(90))).To(Equal(1.0))
	})

	// Guards against companions that fill the links between failure domains with reports, and against
	// entries to which a lasting share looks like one that has expired.
	It("is reported at most once a second, on changes, and again after 5 s", func() {
		var r separator.Reported
		due := func(seconds float64, percent int) bool { return r.Due(at(seconds), "1", percent) }
		Expect(due(0, 0)).To(BeFalse())
		Expect(due(0.1, 10)).To(BeTrue())
		Expect(due(0.9, 90)).To(BeFalse())
		Expect(due(1.2, 14)).To(BeFalse())
		Expect(due(1.3, 15)).To(BeTrue())
		Expect(due(6.2, 15)).To(BeFalse())
		Expect(due(6.4, 15)).To(BeTrue())
		Expect(due(7.5, 0)).To(BeTrue())
		Expect(due(20, 0)).To(BeFalse())
		Expect(r.Due(at(20.1), "2", 1)).To(BeTrue())
	})
})

var _ = Describe("The number of designated engines", func() {
	DescribeTable("follows from the sum of shares",
		func(n int, share float64, want int) {
			Expect(newSet(n, share).State().Designated).To(Equal(want))
		},
		Entry("none without long prompts", 10, 0.0, 0), Entry("one for few", 10, 0.01, 1), Entry("two for a sum of 0.6", 10, 0.06, 2),
		Entry("three for more", 10, 0.061, 3), Entry("at most half", 11, 0.9, 5), Entry("none of a single engine", 1, 0.9, 0),
	)

	// Guards against engines that change groups with each fluctuation of the load, under the streams
	// that run there.
	It("rises at once and falls by one every 2 s", func() {
		s := newSet(10, 0.25)
		Expect(s.State().Designated).To(Equal(5))
		for _, e := range engines(10, 3)[1:] {
			s.Report(at(1), e.Name, "1", 0)
		}
		var sizes []int
		for i := range 10 {
			s.Update(at(1.5 + float64(i)))
			sizes = append(sizes, s.State().Designated)
		}
		Expect(sizes).To(Equal([]int{5, 4, 4, 3, 3, 2, 2, 1, 1, 0}))
		s.Report(at(12), "e1", "1", 1)
		s.Update(at(12))
		Expect(s.State().Designated).To(Equal(4))
	})

	// Guards against a lost companion, or an ended incarnation, whose share keeps engines designated.
	It("counts no share that is old or of another incarnation", func() {
		s := newSet(10, 0.1)
		Expect(s.Update(at(9.9))).To(BeFalse())
		Expect(s.Update(at(10))).To(BeTrue())
		Expect(s.State().Sum).To(BeZero())
		again := engines(10, 3)
		s = newSet(10, 0.1)
		again[0].Incarnation = "2"
		s.SetEngines(service, again)
		s.Report(at(1), "e1", "0", 1)
		s.Update(at(1))
		Expect(s.State().Reports).To(Equal(8))
	})
})

// TestPropertyOrder guards against entries that designate different engines, against a failure domain
// that has all of them, and against a member whose change moves many engines to the other group, where
// their streams meet long prefills.
func TestPropertyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := engines(rapid.IntRange(2, 60).Draw(t, "engines"), rapid.IntRange(1, 5).Draw(t, "domains"))
		shuffled := slices.Clone(all)
		rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))).Shuffle(len(all), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		order := separator.Order(service, all)
		if !slices.Equal(order, separator.Order(service, shuffled)) {
			t.Fatal("the order depends on that of the engines")
		}
		count := rapid.IntRange(0, len(all)-1).Draw(t, "designated")
		left := slices.DeleteFunc(slices.Clone(all), func(e separator.Engine) bool { return e == shuffled[0] })
		changed := make(map[string]int)
		before, after := order[:count], separator.Order(service, left)[:count]
		for _, e := range all {
			if e != shuffled[0] && slices.Contains(before, e) != slices.Contains(after, e) {
				changed[e.FailureDomain]++
			}
		}
		for domain, n := range changed {
			if n > 1 {
				t.Fatalf("%d further engines of %s change groups", n, domain)
			}
		}
	})
}

// TestPropertySet guards against a set that is larger than half of the engines or than the shares ask
// for at its growth, whatever the order of reports, restarts and losses.
func TestPropertySet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s separator.Set
		now, count := start, 0
		for range 40 {
			i := rapid.IntRange(0, 9).Draw(t, "engine")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				count = i
				s.SetEngines(service, engines(count, 2))
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
			default:
				s.Report(now, fmt.Sprint("e", i), "1", rapid.Float64Range(-1, 2).Draw(t, "share"))
			}
			before := s.State().Designated
			changed := s.Update(now)
			state := s.State()
			switch n := len(designated(&s, engines(10, 2))); {
			case n != state.Designated, n > count/2, n < state.Target, state.Serving != count:
				t.Fatalf("%d designated of %d: %+v", n, count, state)
			case n > before && n != state.Target, n != before && !changed, state.Target == 0 && state.Sum > 0 && count > 1:
				t.Fatalf("%d designated after %d: %+v", n, before, state)
			}
		}
	})
}
