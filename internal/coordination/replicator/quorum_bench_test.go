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

// BenchmarkFastTrackEmulated evaluates the fast track of Fast Raft. It measures the syncs of one
// entry of 300 bytes on each of M journals in parallel, and computes when the entry would be
// committed over links with a constant delay.
//
// Classic: the proposer sends to the leader, the leader to all, and the disks of a majority count.
// Fast: the proposer sends to all, they vote to the leader, and the disks of three quarters count.
// AtLeader is a proposer on the leader's host, Away one on another host.
func BenchmarkFastTrackEmulated(b *testing.B) {
	for _, hosts := range []int{3, 5} {
		for _, delay := range []time.Duration{900 * time.Microsecond, 1500 * time.Microsecond} {
			b.Run(fmt.Sprintf("Hosts%dDelay%s", hosts, delay), func(b *testing.B) { benchmarkFastTrack(b, hosts, delay) })
		}
	}
}

// commitPath is one way to commit, with its measured latencies.
type commitPath struct {
	name       string
	took       *hdrhistogram.Histogram
	commitTime func(syncs []time.Duration, delay time.Duration) time.Duration
}

func newCommitPaths() []commitPath {
	hist := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }
	return []commitPath{
		{"classic-atleader", hist(), func(f []time.Duration, d time.Duration) time.Duration {
			return quorumTime(f, len(f)/2+1, 0, 2*d, 2*d)
		}},
		{"fast-atleader", hist(), func(f []time.Duration, d time.Duration) time.Duration {
			return quorumTime(f, (3*len(f)+3)/4, 0, 2*d, 2*d)
		}},
		{"classic-away", hist(), func(f []time.Duration, d time.Duration) time.Duration {
			return 2*d + quorumTime(f, len(f)/2+1, 0, 2*d, 2*d)
		}},
		{"fast-away", hist(), func(f []time.Duration, d time.Duration) time.Duration {
			return d + quorumTime(f, (3*len(f)+3)/4, d, d, 2*d)
		}},
	}
}

// quorumTime returns the time at which the leader knows that a quorum has synced. Host 0 leads;
// host 1 proposes if the proposer is away. toLeader, toProposer and toOther are the delays to and
// from the disks of host 0, of host 1 and of the others.
func quorumTime(syncs []time.Duration, quorum int, toLeader, toProposer, toOther time.Duration) time.Duration {
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
	tracks := newCommitPaths()
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
			_ = t.took.RecordValue(int64(t.commitTime(syncs, delay)))
		}
	}
	for _, t := range tracks {
		b.ReportMetric(float64(t.took.ValueAtQuantile(50))/1e6, t.name+"-p50-ms")
		b.ReportMetric(float64(t.took.ValueAtQuantile(99))/1e6, t.name+"-p99-ms")
	}
}
