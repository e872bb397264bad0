package replicator

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

// BenchmarkFastTrackEmulated weighs the fast track of Fast Raft: it measures
// the syncs of one entry of 300 bytes on each of M journals at once, and works
// out when the entry would be committed with links of a constant delay.
//
// Classic: the proposer sends to the leader, it to all, and a majority's disks
// count. Fast: the proposer sends to all, they vote to the leader, and the
// disks of three quarters count. AtLeader is a proposer on the leader, Away one
// on another host.
func BenchmarkFastTrackEmulated(b *testing.B) {
	for _, hosts := range []int{3, 5} {
		for _, delay := range []time.Duration{900 * time.Microsecond, 1500 * time.Microsecond} {
			b.Run(fmt.Sprintf("Hosts%dDelay%s", hosts, delay), func(b *testing.B) { benchmarkFastTrack(b, hosts, delay) })
		}
	}
}

// track is one way to commit, with the latencies that it gave.
type track struct {
	name string
	took *hdrhistogram.Histogram
	of   func(syncs []time.Duration, delay time.Duration) time.Duration
}

func newTracks() []track {
	hist := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }
	return []track{
		{"classic-atleader", hist(), func(f []time.Duration, d time.Duration) time.Duration {
			return committed(f, len(f)/2+1, 0, 2*d, 2*d)
		}},
		{"fast-atleader", hist(), func(f []time.Duration, d time.Duration) time.Duration {
			return committed(f, (3*len(f)+3)/4, 0, 2*d, 2*d)
		}},
		{"classic-away", hist(), func(f []time.Duration, d time.Duration) time.Duration {
			return 2*d + committed(f, len(f)/2+1, 0, 2*d, 2*d)
		}},
		{"fast-away", hist(), func(f []time.Duration, d time.Duration) time.Duration {
			return d + committed(f, (3*len(f)+3)/4, d, d, 2*d)
		}},
	}
}

// committed returns when the leader knows of a quorum's disks. Host 0 leads,
// host 1 proposes where the proposer is away; toLeader, toProposer and toOther
// are the delays on the ways to and from the disks of host 0, 1 and the others.
func committed(syncs []time.Duration, quorum int, toLeader, toProposer, toOther time.Duration) time.Duration {
	known := make([]time.Duration, len(syncs))
	for i, f := range syncs {
		known[i] = f + []time.Duration{toLeader, toProposer, toOther}[min(i, 2)]
	}
	slices.Sort(known)
	return known[quorum-1]
}

func benchmarkFastTrack(b *testing.B, hosts int, delay time.Duration) {
	b.Helper()
	journals := make([]*journaler.Journal, hosts)
	for i := range journals {
		var err error
		if journals[i], err = journaler.Open(journaler.Settings{Folder: b.TempDir()}, func(uint64, []byte) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
	tracks := newTracks()
	syncs := make([]time.Duration, hosts)
	for b.Loop() {
		var all sync.WaitGroup
		for i, j := range journals {
			all.Go(func() {
				start := time.Now()
				if _, err := j.Append([][]byte{make([]byte, commandBytes)}); err != nil {
					b.Error(err)
				}
				syncs[i] = time.Since(start)
			})
		}
		all.Wait()
		for _, t := range tracks {
			_ = t.took.RecordValue(int64(t.of(syncs, delay)))
		}
	}
	for _, t := range tracks {
		b.ReportMetric(float64(t.took.ValueAtQuantile(50))/1e6, t.name+"-p50-ms")
		b.ReportMetric(float64(t.took.ValueAtQuantile(99))/1e6, t.name+"-p99-ms")
	}
}
