package tracker_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// decode returns a routing with one route to the service whose name is the document.
// An empty document is an error.
func decode(document []byte) (*tracker.Routing, error) {
	name := string(document)
	r := &tracker.Routing{
		Number:   uint64(len(name)),
		Services: []tracker.Service{{Name: name}},
		Routes:   []tracker.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Shares: []tracker.Share{{Service: name, Weight: 1}}}},
	}
	err := r.Compile()
	return r, err
}

func newTracker() *tracker.Tracker { return tracker.NewTracker(tracker.Settings{Decode: decode}) }

func routing(revision, number uint64, document string) storer.Change {
	return storer.Change{Revision: revision, Resource: storer.Resource{
		Kind: storer.KindRouting, Metadata: storer.Metadata{Name: storer.RoutingName, Revision: revision},
		Spec: storer.RoutingSpec{Number: number, Document: []byte(document)},
	}}
}

func member(revision uint64, name, incarnation string, deleted bool) storer.Change {
	return storer.Change{Revision: revision, Deleted: deleted, Resource: storer.Resource{
		Kind: storer.KindMember, Metadata: storer.Metadata{Name: name, Revision: revision},
		Spec: storer.MemberSpec{Service: "s", Incarnation: incarnation, Address: name},
	}}
}

func resources(changes ...storer.Change) []storer.Resource {
	var rs []storer.Resource
	for _, c := range changes {
		rs = append(rs, c.Resource)
	}
	return rs
}

var _ = Describe("A tracker", func() {
	It("does not return to an older configuration while the process runs", func() {
		// Guards against requests that follow a route which has been replaced. They occur if a
		// node subscribes to a control host that was formed again or restored to an old state,
		// and replaces its configuration by one with a lower number.
		t := newTracker()
		Expect(t.Apply([]storer.Change{routing(5, 3, "new")}, 5)).To(Succeed())
		Expect(t.Reset(resources(routing(6, 2, "ol")), 6)).To(Succeed())
		Expect(t.View().Routing.Service("new")).NotTo(BeNil())
	})

	It("skips changes that were applied before", func() {
		t := newTracker()
		Expect(t.Apply([]storer.Change{member(2, "a", "i-1", false), member(3, "a", "i-1", true)}, 3)).To(Succeed())
		Expect(t.Apply([]storer.Change{member(2, "a", "i-1", false)}, 3)).To(Succeed())
		Expect(t.View().Members("s")).To(BeEmpty())
	})

	It("does not modify views that were returned before", func() {
		t := newTracker()
		Expect(t.Apply([]storer.Change{member(2, "a", "i-1", false)}, 2)).To(Succeed())
		before := t.View()
		Expect(t.Apply([]storer.Change{member(3, "a", "i-2", false), member(4, "b", "i-3", false)}, 4)).To(Succeed())
		Expect(before.Members("s")).To(HaveLen(1))
		Expect(before.Members("s")[0].Spec.Incarnation).To(Equal("i-1"))
		Expect(t.View().Members("s")).To(HaveLen(2))
	})

	It("moves a backend server whose service has changed", func() {
		t := newTracker()
		Expect(t.Apply([]storer.Change{member(2, "a", "i-1", false)}, 2)).To(Succeed())
		other := member(3, "a", "i-2", false)
		other.Resource.Spec = storer.MemberSpec{Service: "other", Incarnation: "i-2", Address: "a"}
		Expect(t.Apply([]storer.Change{other}, 3)).To(Succeed())
		Expect(t.View().Members("s")).To(BeEmpty())
		Expect(t.View().Members("other")).To(HaveLen(1))
	})

	It("names the backend servers that a view has changed", func() {
		t := newTracker()
		Expect(t.Reset(resources(member(2, "a", "i-1", false), member(2, "b", "i-2", false)), 2)).To(Succeed())
		_, known := t.View().Changed()
		Expect(known).To(BeFalse())
		Expect(t.Apply([]storer.Change{member(3, "c", "i-3", false), member(4, "a", "i-1", true)}, 4)).To(Succeed())
		names, known := t.View().Changed()
		Expect(known).To(BeTrue())
		Expect(names).To(ConsistOf("a", "c"))
	})

	It("refuses a configuration that can't be decoded, and keeps the one in force", func() {
		t := newTracker()
		Expect(t.Apply([]storer.Change{routing(2, 1, "a")}, 2)).To(Succeed())
		Expect(t.Apply([]storer.Change{routing(3, 2, "")}, 3)).NotTo(Succeed())
		Expect(t.View().Routing.Service("a")).NotTo(BeNil())
		Expect(t.Revision()).To(Equal(uint64(2)))
	})

	It("returns the newest version, or the first one if none was set", func() {
		t := newTracker()
		Expect(t.View().Newest("m/a1")).To(Equal(uint64(tracker.FirstVersion)))
		Expect(t.Apply([]storer.Change{{Revision: 2, Resource: storer.Resource{
			Kind: storer.KindNewest, Metadata: storer.Metadata{Name: "m/a1", Revision: 2}, Spec: storer.NewestSpec{Version: 4},
		}}}, 2)).To(Succeed())
		Expect(t.View().Newest("m/a1")).To(Equal(uint64(4)))
	})
})

var _ = Describe("A routing configuration", func() {
	good := func() tracker.Routing {
		return tracker.Routing{
			Number:   1,
			Services: []tracker.Service{{Name: "s"}},
			Routes:   []tracker.Route{{Name: "r", Host: "h", Prefix: "/a/", Timeout: time.Second, Shares: []tracker.Share{{Service: "s", Weight: 1}}}},
		}
	}

	DescribeTable("is refused",
		func(spoil func(*tracker.Routing)) {
			r := good()
			Expect(r.Compile()).To(Succeed())
			spoil(&r)
			Expect(r.Compile()).NotTo(Succeed())
		},
		Entry("with an unknown service", func(r *tracker.Routing) { r.Routes[0].Shares[0].Service = "x" }),
		Entry("with two routes of the same host and prefix", func(r *tracker.Routing) { r.Routes = append(r.Routes, r.Routes[0]) }),
		Entry("with weights that add up to 0", func(r *tracker.Routing) { r.Routes[0].Shares[0].Weight = 0 }),
		Entry("with a negative weight", func(r *tracker.Routing) {
			r.Routes[0].Shares = append(r.Routes[0].Shares, tracker.Share{Service: "s", Weight: -1})
		}),
		Entry("without a timeout", func(r *tracker.Routing) { r.Routes[0].Timeout = 0 }),
		Entry("with a prefix that does not end with a slash", func(r *tracker.Routing) { r.Routes[0].Prefix = "/a" }),
		Entry("without a host", func(r *tracker.Routing) { r.Routes[0].Host = "" }),
		Entry("with two services of the same name", func(r *tracker.Routing) { r.Services = append(r.Services, r.Services[0]) }),
	)

	It("distributes calls by the weights of the services", func() {
		r := tracker.Route{Shares: []tracker.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
		routing := tracker.Routing{Services: []tracker.Service{{Name: "a"}, {Name: "b"}}, Routes: []tracker.Route{r}}
		routing.Routes[0].Host, routing.Routes[0].Prefix, routing.Routes[0].Timeout = "h", "/", time.Second
		Expect(routing.Compile()).To(Succeed())
		count := map[string]int{}
		for i := range 1000 {
			count[routing.Routes[0].Pick(float64(i)/1000)]++
		}
		Expect(count).To(Equal(map[string]int{"a": 900, "b": 100}))
	})
})

// TestPropertyMatch compares Match with a linear search over all routes.
func TestPropertyMatch(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "ab"})
	path := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(segment, 0, 3).Draw(t, "segments"), "/")
	})
	host := rapid.SampledFrom([]string{"h", "i"})
	rapid.Check(t, func(t *rapid.T) {
		r := tracker.Routing{Services: []tracker.Service{{Name: "s"}}}
		taken := map[string]bool{}
		for _, p := range rapid.SliceOfN(path, 0, 8).Draw(t, "prefixes") {
			route := tracker.Route{
				Name: p, Host: host.Draw(t, "host"), Prefix: strings.TrimSuffix(p, "/") + "/", Timeout: 1,
				Shares: []tracker.Share{{Service: "s", Weight: 1}},
			}
			if place := route.Host + route.Prefix; !taken[place] {
				taken[place] = true
				r.Routes = append(r.Routes, route)
			}
		}
		if err := r.Compile(); err != nil {
			t.Fatal(err)
		}
		h, asked := host.Draw(t, "asked host"), path.Draw(t, "asked path")
		want := ""
		for _, route := range r.Routes {
			if route.Host == h && strings.HasPrefix(asked, route.Prefix) && len(route.Prefix) > len(want) {
				want = route.Prefix
			}
		}
		got := ""
		if route := r.Match(h, asked); route != nil {
			got = route.Prefix
		}
		if got != want {
			t.Fatalf("%s%s: got %q, want %q", h, asked, got, want)
		}
	})
}

var _ = Describe("Workspaces", func() {
	workspace := func(name string, keys ...string) tracker.Workspace {
		w := tracker.Workspace{Name: name}
		for _, k := range keys {
			w.Keys = append(w.Keys, tracker.DigestKey(k))
		}
		return w
	}

	It("are found by their keys", func() {
		r := tracker.Routing{Workspaces: []tracker.Workspace{workspace("a", "1", "2", "2"), workspace("b", "3")}}
		Expect(r.Compile()).To(Succeed())
		Expect(r.Workspace(tracker.DigestKey("2")).Name).To(Equal("a"))
		Expect(r.Workspace(tracker.DigestKey("3")).Name).To(Equal("b"))
		Expect(r.Workspace(tracker.DigestKey("4"))).To(BeNil())
		Expect(r.Workspace(tracker.DigestKey(""))).To(BeNil())
	})

	DescribeTable("are refused",
		func(ws ...tracker.Workspace) {
			r := tracker.Routing{Workspaces: ws}
			Expect(r.Compile()).NotTo(Succeed())
		},
		Entry("with the same key", workspace("a", "1"), workspace("b", "2", "1")),
		Entry("with an empty key", workspace("a", "")),
		Entry("without a name", workspace("")),
		Entry("with the same name", workspace("a", "1"), workspace("a", "2")),
		Entry("with a negative rate", tracker.Workspace{Name: "a", Quota: tracker.Quota{Rate: -1}}),
		Entry("with a negative burst", tracker.Workspace{Name: "a", Quota: tracker.Quota{Burst: -1}}),
	)

	It("are charged by tokens or by calls", func() {
		tokens := tracker.Quota{Tokens: true, PlainCost: 200}
		Expect(tokens.Cost(12)).To(BeEquivalentTo(12))
		Expect(tokens.Cost(-1)).To(BeEquivalentTo(200))
		calls := tracker.Quota{}
		Expect(calls.Cost(12)).To(BeEquivalentTo(1))
	})
})

// TestPropertyMembers checks the members of each view against a plain map, and that earlier
// views keep theirs.
func TestPropertyMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTracker()
		expected := make(map[string]storer.MemberSpec)
		revision := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "views") {
			before := tr.View()
			kept := namesOf(before)
			var changes []storer.Change
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				revision++
				c := member(revision, string(rune('a'+rapid.IntRange(0, 9).Draw(t, "name"))), strconv.FormatUint(revision, 10), rapid.Bool().Draw(t, "deleted"))
				spec := c.Resource.Spec.(storer.MemberSpec)
				spec.Service = rapid.SampledFrom([]string{"s", "other"}).Draw(t, "service")
				c.Resource.Spec = spec
				changes = append(changes, c)
				if expected[c.Resource.Metadata.Name] = spec; c.Deleted {
					delete(expected, c.Resource.Metadata.Name)
				}
			}
			if err := tr.Apply(changes, revision); err != nil {
				t.Fatal(err)
			}
			v := tr.View()
			for name, spec := range expected {
				if m, ok := v.Member(name); !ok || m.Spec.Incarnation != spec.Incarnation || m.Spec.Service != spec.Service {
					t.Fatalf("%s is %v, expected %v", name, m.Spec, spec)
				}
			}
			if v.Len() != len(expected) {
				t.Fatalf("%d members, expected %d", v.Len(), len(expected))
			}
			for _, service := range []string{"s", "other"} {
				if !slices.IsSortedFunc(v.Members(service), func(a, b *tracker.Member) int { return strings.Compare(a.Name, b.Name) }) {
					t.Fatalf("the members of %s are not sorted", service)
				}
			}
			if !slices.Equal(namesOf(before), kept) {
				t.Fatal("an earlier view has changed")
			}
		}
	})
}

// namesOf returns the names and incarnations of a view's members in order.
func namesOf(v *tracker.View) []string {
	var names []string
	v.Each(func(m tracker.Member) { names = append(names, m.Name+" "+m.Spec.Incarnation) })
	slices.Sort(names)
	return names
}
