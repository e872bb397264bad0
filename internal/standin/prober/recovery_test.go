package prober

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// discardTransport is the transport of a group of one host; it discards all messages.
type discardTransport struct{}

func (discardTransport) Send(replicator.HostID, []replicator.Message) {}

// openSingleHost opens a control group of one host with its data in folder.
func openSingleHost(b *testing.B, folder string, store *storer.Store) *replicator.Replicator {
	b.Helper()
	self := replicator.Member{ID: 1, Address: "127.0.0.1:1", Voter: true}
	r, err := replicator.NewReplicator(replicator.Settings{
		Group: "probe", Self: self, Bootstrap: []replicator.Member{self}, DataFolder: folder,
		// No snapshot is taken, so that the complete log is recovered.
		SnapshotEvery: 1 << 40, SnapshotBytes: 1 << 40, JournalBytes: 1 << 40,
	}, store, discardTransport{})
	if err != nil {
		b.Fatal(err)
	}
	return r
}

// BenchmarkRecovery measures the time and the processor time that a restarted control host
// needs to replay its log, by the length of the log since the last snapshot, and the log's
// bytes on the disk.
func BenchmarkRecovery(b *testing.B) {
	measureSlopes(b, "Entries", []int{10000, 50000, 200000}, func(b *testing.B, n int) costs {
		b.Helper()
		folder := b.TempDir()
		first := openSingleHost(b, folder, storer.NewStore(storer.Settings{}))
		proposeClaims(b, first, n)
		bytes := first.Status().JournalBytes
		if err := first.Close(); err != nil {
			b.Fatal(err)
		}
		store := storer.NewStore(storer.Settings{})
		began, before := time.Now(), processorTime()
		second := openSingleHost(b, folder, store)
		if err := second.ReadBarrier(waitLeader(b, second)); err != nil {
			b.Fatal(err)
		}
		took, cpu := time.Since(began), processorTime()-before
		if store.Applied() < uint64(n) {
			b.Fatalf("recovered %d of %d entries", store.Applied(), n)
		}
		if err := second.Close(); err != nil {
			b.Fatal(err)
		}
		return costs{{"recovery-ms", float64(took) / float64(time.Millisecond)}, {"recovery-cpu-µs", microseconds(cpu)}, {"journal-B", float64(bytes)}}
	})
}

// waitLeader waits until the host is the leader, and returns the benchmark's context.
func waitLeader(b *testing.B, r *replicator.Replicator) context.Context {
	b.Helper()
	for !r.LeaseValid() {
		select {
		case <-b.Context().Done():
			b.Fatal("no leader")
		case <-time.After(time.Millisecond):
		}
	}
	return b.Context()
}

// proposeClaims proposes n claims from many concurrent callers, which share disk syncs.
func proposeClaims(b *testing.B, r *replicator.Replicator, n int) {
	b.Helper()
	ctx := waitLeader(b, r)
	const callers = 256
	var done sync.WaitGroup
	for c := range callers {
		done.Go(func() {
			for i := c; i < n; i += callers {
				key := fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", i)
				data, err := storer.Encode(storer.Envelope{Time: storer.InstantOf(start), Command: storer.ClaimCall{
					Workspace: workspace(i % 1000), Key: key, Digest: make([]byte, 32), Holder: "atl-a-entry-1/" + key,
				}})
				if err != nil {
					b.Error(err)
					return
				}
				if _, _, err := r.Propose(ctx, data); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	done.Wait()
}
