package loader

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// workload is a stream of requests in virtual time. The popularity of the adapters,
// which belong to several workspaces, follows a Zipf distribution and shifts abruptly
// halfway. If rush is set, a further workspace sends one request for every two others in the
// last quarter, in turn for each of 200 adapters of its own, which are rarely resident.
type workload struct {
	adapters   int
	workspaces int
	slots      int
	perSecond  float64
	length     time.Duration
	rush       bool
	settings   Settings
}

// figures are the results of one or more simulation runs. Requests of the rush are not
// included in stalls and quiet.
type figures struct {
	// stalls are the times from the arrival of a request to its start.
	stalls []time.Duration
	// quiet are those of stalls whose requests arrived during the rush.
	quiet []time.Duration
	stats Stats
	// waiting is the number of requests that had not started at the end of a run.
	waiting int
}

// runWorkload serves the workload with loads of 250 ms, one at a time, and requests of
// 1.5 s, 16 at once per version.
func runWorkload(w workload, seed uint64) figures {
	random := rand.New(rand.NewPCG(seed, 1))
	zipf := rand.NewZipf(random, 1.1, 3, uint64(w.adapters-1))
	s := w.settings
	s.Slots = w.slots
	d := &driver{table: newTable(s), now: start, runTime: 1500 * time.Millisecond, batch: 16}
	arrived := map[string]time.Time{}
	shift, next := 0, start
	for i := 0; next.Before(start.Add(w.length)); i++ {
		next = next.Add(time.Duration(random.ExpFloat64() / w.perSecond * float64(time.Second)))
		if d.now.Before(next) {
			d.run(next.Sub(d.now))
		}
		if next.Sub(start) > w.length/2 {
			shift = w.adapters / 3
		}
		a := (int(zipf.Uint64()) + shift) % w.adapters
		request := fmt.Sprint("r", i)
		arrived[request] = d.now
		d.want(want(request, fmt.Sprintf("w%d/a%d@1", a%w.workspaces, a)))
		if w.rush && next.Sub(start) > w.length*3/4 && i%2 == 0 {
			d.want(want(fmt.Sprint("rush", i), fmt.Sprintf("rush/a%d@1", i%400)))
		}
	}
	d.run(time.Minute)
	f := figures{stats: d.table.Stats(), waiting: len(d.waiting)}
	for request, at := range arrived {
		if pinned, ok := d.pinnedAt[request]; ok {
			f.stalls = append(f.stalls, pinned.Sub(at))
			if w.rush && at.Sub(start) > w.length*3/4 {
				f.quiet = append(f.quiet, pinned.Sub(at))
			}
		}
	}
	return f
}

func (f *figures) add(o figures) {
	f.stalls = append(f.stalls, o.stalls...)
	f.quiet = append(f.quiet, o.quiet...)
	f.stats.Loads += o.stats.Loads
	f.stats.Regrets += o.stats.Regrets
	f.waiting += o.waiting
}

func quantile(ds []time.Duration, q float64) float64 {
	if len(ds) == 0 {
		return math.NaN()
	}
	slices.Sort(ds)
	return ds[int(q*float64(len(ds)-1))].Seconds()
}

// BenchmarkEviction compares the eviction policies in virtual time.
func BenchmarkEviction(b *testing.B) {
	for _, rush := range []bool{false, true} {
		for _, c := range []struct {
			name string
			s    Settings
		}{
			{"LeastRecentlyUsed", Settings{Policy: PolicyLeastRecentlyUsed}},
			{"Demand", Settings{}},
			{"DemandPrefetch", Settings{Prefetch: true}},
		} {
			b.Run(fmt.Sprintf("%s/rush=%v/adapters=150/slots=8", c.name, rush), func(b *testing.B) {
				var f figures
				for i := range b.N {
					f.add(runWorkload(workload{
						adapters: 150, workspaces: 12, slots: 8, perSecond: 4, length: 10 * time.Minute, rush: rush, settings: c.s,
					}, uint64(i+1)))
				}
				var total time.Duration
				for _, s := range f.stalls {
					total += s
				}
				b.ReportMetric(total.Seconds()/float64(b.N), "stall-s")
				b.ReportMetric(quantile(f.stalls, 0.5), "p50-s")
				b.ReportMetric(quantile(f.stalls, 0.99), "p99-s")
				b.ReportMetric(float64(f.stats.Loads)/float64(b.N), "loads")
				b.ReportMetric(float64(f.stats.Regrets)/float64(b.N), "regrets")
				b.ReportMetric(float64(f.waiting), "unserved")
				if rush {
					b.ReportMetric(quantile(f.quiet, 0.99), "quiet-p99-s")
				}
			})
		}
	}
}

// BenchmarkTable measures the cost of one request in the table for several numbers of known
// adapters.
func BenchmarkTable(b *testing.B) {
	for _, adapters := range []int{100, 3000, 61000} {
		b.Run(fmt.Sprintf("adapters=%d/slots=16", adapters), func(b *testing.B) {
			t := newTable(Settings{Slots: 16})
			names := make([]string, adapters)
			for i := range names {
				names[i] = fmt.Sprintf("w%d/a%d@1", i%40, i)
				t.Want(start, want(names[i], names[i]))
				t.Release(start, names[i])
			}
			for _, v := range names[:16] {
				t.Adopt(start, []ObservedSlot{{Version: v}})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				v := names[i%16]
				t.Want(start, want("r", v))
				t.Pin("r")
				t.Release(start, "r")
			}
		})
	}
}
