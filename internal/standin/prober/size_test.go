package prober

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// sizes are the numbers of adapters of the three deployments in the documentation.
var sizes = []int{3000, 15000, 61000}

// mix is the composition of a configuration.
type mix struct {
	// versions is the number of versions per adapter, rules the number of priority rules
	// per hundred adapters.
	versions, rules int
}

// The mixes. The differences between the first three give the cost of a version and of a
// rule; typical is the mix of a deployment.
var (
	plain     = mix{versions: 1}
	versioned = mix{versions: 2}
	ruled     = mix{versions: 1, rules: 100}
	typical   = mix{versions: 2, rules: 10}
)

func (m mix) String() string { return fmt.Sprintf("Versions=%d/Rules=%d%%", m.versions, m.rules) }

// configuration returns n adapters in n/60 workspaces, with names and digests of realistic
// length.
func configuration(n int, m mix) []storer.Resource {
	var rs []storer.Resource
	add := func(kind storer.Kind, w, name string, spec storer.Spec) {
		rs = append(rs, storer.Resource{Kind: kind, Metadata: storer.Metadata{Workspace: w, Name: name, Revision: uint64(len(rs) + 1)}, Spec: spec})
	}
	spaces := max(1, n/60)
	for i := range spaces {
		w := workspace(i)
		add(storer.KindWorkspace, w, w, storer.WorkspaceSpec{Share: 1})
	}
	for i := range n {
		w, a := workspace(i%spaces), fmt.Sprintf("adapter-%05d", i)
		add(storer.KindAdapter, w, a, storer.AdapterSpec{BaseModel: "clearance-8b"})
		for v := range m.versions {
			name := fmt.Sprintf("%s@v%d", a, v+1)
			add(storer.KindVersion, w, name, storer.VersionSpec{
				Source: "weights/" + w + "/" + name, Digest: fmt.Sprintf("%064x", i), SizeBytes: 1 << 24,
			})
		}
		if i%100 < m.rules {
			add(storer.KindPriorityRule, w, fmt.Sprintf("rule-%05d", i), storer.PriorityRuleSpec{Adapter: a, Priority: 3})
		}
	}
	return rs
}

func workspace(i int) string { return fmt.Sprintf("workspace-%04d", i) }

// heapBytes returns the bytes of live objects on the heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processorTime returns the processor time that this process has used; 0 if it can't be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// costs are the figures of one measurement.
type costs []cost

type cost struct {
	unit  string
	value float64
}

// measureSlopes measures each size in its own sub-benchmark, repeats times, and reports the
// slopes of the lines fitted to all measurements, with standard errors.
func measureSlopes(b *testing.B, over string, sizes []int, measure func(b *testing.B, n int) costs) {
	b.Helper()
	const repeats = 3
	points := make(map[string][]Point)
	var units []string
	for _, n := range sizes {
		b.Run(fmt.Sprintf("%s=%d", over, n), func(b *testing.B) {
			for range repeats {
				for _, c := range measure(b, n) {
					if points[c.unit] == nil {
						units = append(units, c.unit)
					}
					points[c.unit] = append(points[c.unit], Point{X: float64(n), Y: c.value})
					b.ReportMetric(c.value, c.unit)
				}
			}
			b.ReportMetric(0, "ns/op")
		})
	}
	b.Run("Slope", func(b *testing.B) {
		for _, u := range units {
			l := Fit(points[u])
			b.ReportMetric(l.Slope, u+"/"+over)
			b.ReportMetric(l.SlopeError, "±"+u+"/"+over)
			b.ReportMetric(l.Intercept, u+"-at-0")
		}
		b.ReportMetric(0, "ns/op")
	})
}
