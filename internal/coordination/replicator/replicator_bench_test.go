package replicator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

// commandBytes is the size in bytes of the benchmarks' commands.
const commandBytes = 300

// BenchmarkCommitHosts measures commands of 300 bytes on hosts in one process, with an in-process
// transport and real syncs on one disk, by the number of callers that wait for their commands.
func BenchmarkCommitHosts(b *testing.B) {
	for _, hosts := range []int{1, 3, 5} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("Hosts%dCallers%d", hosts, callers), func(b *testing.B) { benchmarkCommit(b, hosts, callers, 0) })
		}
	}
}

// BenchmarkCommitFarHosts measures the same with a one-way link delay of 50 ms, as between regions.
func BenchmarkCommitFarHosts(b *testing.B) {
	for _, callers := range []int{1, 256} {
		b.Run(fmt.Sprintf("Hosts5Callers%dDelay50ms", callers), func(b *testing.B) {
			benchmarkCommit(b, 5, callers, 50*time.Millisecond)
		})
	}
}

func benchmarkCommit(b *testing.B, hosts, callers int, delay time.Duration) {
	b.Helper()
	RegisterTestingT(b)
	g := newGroup(b, hosts, nil)
	defer g.close()
	g.network.delay = delay
	l := g.network.hosts[g.leader(0)]
	took := hdrhistogram.New(1, int64(time.Minute), 3)
	var lock sync.Mutex
	var all sync.WaitGroup
	b.ResetTimer()
	for c := range callers {
		all.Go(func() {
			own := hdrhistogram.New(1, int64(time.Minute), 3)
			for i := c; i < b.N; i += callers {
				start := time.Now()
				if _, _, err := l.Propose(context.Background(), make([]byte, commandBytes)); err != nil {
					b.Error(err)
				}
				_ = own.RecordValue(int64(time.Since(start)))
			}
			lock.Lock()
			defer lock.Unlock()
			took.Merge(own)
		})
	}
	all.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
	b.ReportMetric(float64(took.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(took.ValueAtQuantile(99))/1e6, "p99-ms")
}

// BenchmarkElectionAfterLossHosts measures the time from the loss of the leader until another one
// has committed a command, with the default timeouts.
func BenchmarkElectionAfterLossHosts(b *testing.B) {
	for _, hosts := range []int{3, 5} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			RegisterTestingT(b)
			took := hdrhistogram.New(1, int64(time.Minute), 3)
			g := newGroup(b, hosts, nil)
			defer g.close()
			for b.Loop() {
				l := g.leader(0)
				g.stop(l)
				start := time.Now()
				for committed := false; !committed; {
					for _, r := range g.network.hosts {
						if _, _, err := r.Propose(context.Background(), []byte("x")); err == nil {
							committed = true
						}
					}
				}
				_ = took.RecordValue(int64(time.Since(start)))
				g.start(l)
			}
			b.ReportMetric(float64(took.ValueAtQuantile(50))/1e6, "p50-ms")
			b.ReportMetric(float64(took.Max())/1e6, "max-ms")
		})
	}
}

// BenchmarkRecoveryEntries measures the time from the start of a host until it has applied a log of
// 300-byte commands without a snapshot.
func BenchmarkRecoveryEntries(b *testing.B) {
	for _, entries := range []int{100_000, 200_000, 400_000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			RegisterTestingT(b)
			g := newGroup(b, 1, func(s *Settings) { s.SnapshotEvery, s.SnapshotBytes = 1<<40, 1<<50 })
			g.leader(0)
			g.stop(1)
			fillJournal(g.settings(1).DataFolder, entries)
			b.ResetTimer()
			for range b.N {
				r := g.start(1)
				for r.Status().Applied < uint64(entries) {
					_ = r.ReadBarrier(context.Background())
				}
				g.stop(1)
			}
			b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(b.N*entries), "µs/entry")
		})
	}
}

// fillJournal appends commands to the journal of a stopped host.
func fillJournal(folder string, entries int) {
	j, err := journaler.Open(journaler.Settings{Folder: folder + "/" + journalFolder}, func(uint64, []byte) error { return nil })
	Expect(err).NotTo(HaveOccurred())
	var batch [][]byte
	for j.Last() < uint64(entries) {
		batch = batch[:0]
		for range 10_000 {
			batch = append(batch, encodeEntry(Entry{Term: 2, Kind: EntryCommand, Data: make([]byte, commandBytes)}))
		}
		_, err := j.Append(batch)
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(j.Close()).To(Succeed())
}
