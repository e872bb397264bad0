package indexer

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// hash returns the key hash that consists of one repeated hexadecimal digit.
func hash(digit string) string { return strings.Repeat(digit, 64) }

func resource(revision uint64, kind storer.Kind, workspace, name string, spec storer.Spec) storer.Resource {
	return storer.Resource{
		Kind:     kind,
		Metadata: storer.Metadata{Workspace: workspace, Name: name, Revision: revision},
		Spec:     spec,
	}
}

// sample returns a whole state at revision 9.
func sample() []storer.Resource {
	return []storer.Resource{
		resource(1, storer.KindWorkspace, "savannah", "savannah", storer.WorkspaceSpec{Share: 2}),
		resource(4, storer.KindAdapter, "savannah", "title", storer.AdapterSpec{BaseModel: "clearance", Current: "v2"}),
		resource(2, storer.KindAdapter, "savannah", "bare", storer.AdapterSpec{BaseModel: "clearance"}),
		resource(3, storer.KindVersion, "savannah", "title@v1", storer.VersionSpec{Source: "title/1"}),
		resource(3, storer.KindVersion, "savannah", "title@v2", storer.VersionSpec{Source: "title/2"}),
		resource(5, storer.KindPriorityRule, "savannah", "b", storer.PriorityRuleSpec{Adapter: "title", Priority: 5}),
		resource(5, storer.KindPriorityRule, "savannah", "a", storer.PriorityRuleSpec{Adapter: "title", Priority: 4}),
		resource(6, storer.KindPriorityRule, "savannah", "c", storer.PriorityRuleSpec{Key: "rush", Priority: 9, DeadlineMillis: 70}),
		resource(7, storer.KindService, "savannah", "lookup", storer.ServiceSpec{IdempotentMethods: []string{"GET"}}),
		resource(8, storer.KindKey, "savannah", "rush", storer.KeySpec{Hash: hash("a")}),
		resource(9, storer.KindMember, "", "engine-1", storer.MemberSpec{Address: "127.0.0.1:1", Epoch: 9}),
	}
}

func sampleIndex() *Index {
	x := NewIndex(Settings{})
	Expect(x.Reset(sample(), 9)).To(Succeed())
	return x
}

var _ = Describe("Index", func() {
	It("resolves calls with and without a version", func() {
		x := sampleIndex()
		Expect(x.Resolve("savannah", "title", "")).To(Equal(Target{
			Workspace: "savannah",
			Adapter:   "title",
			Version:   "v2",
			Name:      "savannah/title@v2",
			Source:    "title/2",
			BaseModel: "clearance",
		}))
		Expect(x.Resolve("savannah", "title", "v1")).To(HaveField("Source", "title/1"))
		_, err := x.Resolve("savannah", "title", "v3")
		Expect(err).To(MatchError(ErrUnknownVersion))
		_, err = x.Resolve("savannah", "bare", "")
		Expect(err).To(MatchError(ErrNoCurrent))
		_, err = x.Resolve("savanna", "htitle", "v1")
		Expect(err).To(MatchError(ErrUnknownAdapter))
		Expect(x.Models("savannah")).To(HaveExactElements(
			HaveField("Name", "savannah/title@v1"),
			HaveField("Current", true),
		))
	})

	It("finds rules by the most specific match, then the smaller name", func() {
		x := sampleIndex()
		rule, ok := x.Rule("savannah", "title", "rush")
		Expect(ok).To(BeTrue())
		Expect(rule.Priority).To(Equal(4))
		rule, _ = x.Rule("savannah", "bare", "rush")
		Expect(rule).To(Equal(storer.PriorityRuleSpec{Key: "rush", Priority: 9, DeadlineMillis: 70}))
		_, ok = x.Rule("savannah", "bare", "other")
		Expect(ok).To(BeFalse())
		change := storer.Change{Revision: 10, Deleted: true, Resource: sample()[6]}
		Expect(x.Apply([]storer.Change{change}, 10)).To(Succeed())
		rule, _ = x.Rule("savannah", "title", "rush")
		Expect(rule.Priority).To(Equal(5))
	})

	It("finds a key by its new hash after the hash changes", func() {
		x := sampleIndex()
		old, err := storer.ParseHash(hash("a"))
		Expect(err).NotTo(HaveOccurred())
		holder, ok := x.KeyByHash(old)
		Expect(ok).To(BeTrue())
		Expect(holder).To(Equal(KeyHolder{Workspace: "savannah", Name: "rush"}))
		change := storer.Change{Revision: 10, Resource: resource(10, storer.KindKey, "savannah", "rush", storer.KeySpec{Hash: hash("b"), Disabled: true})}
		Expect(x.Apply([]storer.Change{change}, 10)).To(Succeed())
		_, ok = x.KeyByHash(old)
		Expect(ok).To(BeFalse())
		fresh, err := storer.ParseHash(hash("b"))
		Expect(err).NotTo(HaveOccurred())
		holder, _ = x.KeyByHash(fresh)
		Expect(holder.Disabled).To(BeTrue())
	})

	// Guards against a node that uses configuration which operators have replaced. The
	// node has revision 10 and fails over to a control host that has applied only
	// revision 9, which sends a delta or its whole state. State older than the replica
	// must not be applied.
	It("keeps its revision when it fails over to a control host that is behind", func() {
		x := sampleIndex()
		current := resource(10, storer.KindAdapter, "savannah", "title", storer.AdapterSpec{BaseModel: "clearance", Current: "v1"})
		Expect(x.Apply([]storer.Change{{Revision: 10, Resource: current}}, 10)).To(Succeed())

		Expect(x.Apply([]storer.Change{{Revision: 4, Resource: sample()[1]}}, 9)).To(Succeed())
		Expect(x.Reset(sample(), 9)).To(MatchError(ErrStaleSnapshot))
		Expect(x.Apply([]storer.Change{{Revision: 4, Resource: sample()[1]}}, 11)).To(Succeed())

		Expect(x.Resolve("savannah", "title", "")).To(HaveField("Version", "v1"))
		Expect(x.Revision()).To(BeEquivalentTo(11))
	})

	It("keeps its state when a snapshot is inconsistent", func() {
		x := sampleIndex()
		orphan := resource(20, storer.KindVersion, "savannah", "none@v1", storer.VersionSpec{Source: "none"})
		Expect(x.Reset([]storer.Resource{orphan}, 20)).NotTo(Succeed())
		Expect(x.Revision()).To(BeEquivalentTo(9))
		Expect(x.Resolve("savannah", "title", "")).To(HaveField("Version", "v2"))
	})

	It("returns the same view of members until one changes", func() {
		x := sampleIndex()
		before := x.Members()
		Expect(x.Apply(nil, 10)).To(Succeed())
		Expect(x.Members().Revision).To(Equal(before.Revision))
		m := resource(11, storer.KindMember, "", "engine-0", storer.MemberSpec{Address: "127.0.0.1:2", Epoch: 11})
		Expect(x.Apply([]storer.Change{{Revision: 11, Resource: m}}, 11)).To(Succeed())
		Expect(x.Members().Members).To(HaveExactElements(HaveField("Name", "engine-0"), HaveField("Name", "engine-1")))
		Expect(before.Members).To(HaveLen(1))
	})

	It("does not allocate in lookups", func() {
		x := sampleIndex()
		key, err := storer.ParseHash(hash("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(testing.AllocsPerRun(100, func() {
			_, _ = x.Resolve("savannah", "title", "")
			_, _ = x.Resolve("savannah", "title", "v1")
			_, _ = x.Resolve("savannah", "title", "v9")
			_, _ = x.Rule("savannah", "title", "rush")
			_, _ = x.KeyByHash(key)
			_ = x.Members()
		})).To(BeZero())
	})
})

// workload describes the configuration of a deployment.
type workload struct {
	name               string
	versions, rulesPer int
}

// deployment returns the resources of n adapters in n/60 workspaces. Each adapter has
// m.versions versions, and every m.rulesPer-th has a priority rule.
func deployment(n int, m workload) []storer.Resource {
	var rs []storer.Resource
	for i := range n {
		w := fmt.Sprintf("workspace-%04d", i%max(1, n/60))
		a := fmt.Sprintf("adapter-%05d", i)
		rs = append(rs, resource(uint64(i), storer.KindAdapter, w, a, storer.AdapterSpec{BaseModel: "clearance-8b", Current: "v1"}))
		for v := range m.versions {
			name := fmt.Sprintf("%s@v%d", a, v+1)
			rs = append(rs, resource(uint64(i), storer.KindVersion, w, name, storer.VersionSpec{Source: "weights/" + w + "/" + a + "/" + name[len(a)+1:]}))
		}
		if i%m.rulesPer == 0 {
			rs = append(rs, resource(uint64(i), storer.KindPriorityRule, w, fmt.Sprintf("rule-%05d", i), storer.PriorityRuleSpec{Adapter: a, Priority: 3}))
		}
	}
	return rs
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkIndexHeap reports the heap size of the replica in MB after a Reset, and after
// deltas that delete and recreate every version and rule.
func BenchmarkIndexHeap(b *testing.B) {
	for _, m := range []workload{{"versions=1/rules=each", 1, 1}, {"versions=2/rules=tenth", 2, 10}, {"versions=2/rules=each", 2, 1}} {
		for _, n := range []int{3000, 15000, 61000} {
			b.Run(fmt.Sprintf("%s/adapters=%d", m.name, n), func(b *testing.B) {
				for b.Loop() {
					measureHeap(b, n, m)
				}
			})
		}
	}
}

func measureHeap(b *testing.B, n int, m workload) {
	b.Helper()
	before := heapInUse()
	x := NewIndex(Settings{})
	if err := x.Reset(deployment(n, m), 1); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(heapInUse()-before)/1e6, "MB-reset")
	revision := uint64(1)
	for _, r := range deployment(n, m) {
		if r.Kind == storer.KindAdapter {
			continue
		}
		for _, deleted := range []bool{true, false} {
			revision++
			if err := x.Apply([]storer.Change{{Revision: revision, Resource: r, Deleted: deleted}}, revision); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(heapInUse()-before)/1e6, "MB-deltas")
	runtime.KeepAlive(x)
}

// BenchmarkIndexLoad reports the heap size in MB of a restarting node before and after
// Finish: MB-pages for a load in pages of 512 resources, MB-whole with the whole state as
// resources in addition, MB-both after Finish.
func BenchmarkIndexLoad(b *testing.B) {
	for _, n := range []int{3000, 15000, 61000} {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				x := NewIndex(Settings{})
				l := x.BeginLoad()
				for page := range slices.Chunk(deployment(n, workload{versions: 2, rulesPer: 10}), 512) {
					if err := l.Add(page); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(heapInUse()-before)/1e6, "MB-pages")
				whole := deployment(n, workload{versions: 2, rulesPer: 10})
				b.ReportMetric(float64(heapInUse()-before)/1e6, "MB-whole")
				if err := l.Finish(1); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(heapInUse()-before)/1e6, "MB-both")
				runtime.KeepAlive(whole)
				runtime.KeepAlive(x)
			}
		})
	}
}

func BenchmarkIndexResolve(b *testing.B) {
	for _, n := range []int{3000, 15000, 61000} {
		x := NewIndex(Settings{})
		rs := deployment(n, workload{versions: 2, rulesPer: 10})
		if err := x.Reset(rs, 1); err != nil {
			b.Fatal(err)
		}
		var names []storer.Metadata
		for _, r := range rs {
			if r.Kind == storer.KindAdapter {
				names = append(names, r.Metadata)
			}
		}
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				m := &names[i*7919%len(names)]
				if _, err := x.Resolve(m.Workspace, m.Name, ""); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
		b.Run(fmt.Sprintf("parallel/adapters=%d", n), func(b *testing.B) {
			b.RunParallel(func(p *testing.PB) {
				for i := rand.IntN(n); p.Next(); i++ {
					m := &names[i*7919%len(names)]
					_, _ = x.Resolve(m.Workspace, m.Name, "")
				}
			})
		})
		b.Run(fmt.Sprintf("rule/adapters=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				m := &names[i*7919%len(names)]
				_, _ = x.Rule(m.Workspace, m.Name, "key")
				i++
			}
		})
	}
}
