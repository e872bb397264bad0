package registrar_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
)

// memberCounts are the benchmarked numbers of members, from a small deployment over parts of a region to
// the planned maximum.
var memberCounts = []int{25, 600, 2400, 12000}

// heapBytes returns the size of the allocated heap after a garbage collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkRenew measures the renewals of all members in one tick and the check for expired leases.
func BenchmarkRenew(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("Members=%d", n), func(b *testing.B) {
			before := heapBytes()
			ms, rs := members("a", n)
			table := registrar.NewTable(registrar.Settings{Lease: lease}, start, ms)
			bytes := heapBytes() - before
			now := start
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				table.Renew(now, rs)
				table.Tick(now)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/member")
			b.ReportMetric(float64(bytes)/float64(n), "B/member")
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkBoard measures one report of each member, each with one version loaded and one evicted,
// and the digest of all of them.
func BenchmarkBoard(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("Members=%d", n), func(b *testing.B) {
			const slots = 8
			before := heapBytes()
			board := registrar.NewBoard()
			states := make([]registrar.ServerState, n)
			report := func(i, round int) {
				next := registrar.ServerState{
					Name: fmt.Sprintf("a-%d", i), Epoch: 1, Sequence: uint64(round + 1),
					Load: registrar.Load{Running: round % 8, MaxBatch: 8},
				}
				for s := range slots {
					next.Resident = append(next.Resident, fmt.Sprintf("w/adapter-%05d@1", round+s))
				}
				board.Apply(next.ChangeFrom(states[i]))
				states[i] = next
			}
			for i := range n {
				report(i, 0)
			}
			board.Collect()
			bytes := heapBytes() - before
			var batch registrar.DigestBatch
			for round := 1; b.Loop(); round++ {
				for i := range n {
					report(i, round)
				}
				batch = board.Collect()
				if got := len(batch.Changes); got != n {
					b.Fatalf("%d changes", got)
				}
			}
			data, err := json.Marshal(batch)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data))/float64(n), "B/change")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/report")
			b.ReportMetric(float64(bytes)/float64(n), "B/member")
		})
	}
}
