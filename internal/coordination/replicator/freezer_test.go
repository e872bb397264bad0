package replicator

import (
	"context"
	"io"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// slowTally is a tally whose snapshots are written only once the test releases them.
type slowTally struct {
	tally
	begun   chan uint64
	release chan struct{}
}

func (t *slowTally) Freeze() func(io.Writer) error {
	held := &tally{count: t.get()}
	return func(w io.Writer) error {
		t.begun <- held.count
		<-t.release
		return held.Snapshot(w)
	}
}

// Guards against accepted changes that are delayed for most of a second, every SnapshotEvery
// entries, on all hosts at about the same time. A snapshot of a large state is due, and changes
// arrive while it is written. They would wait if the applying goroutine wrote the snapshot.
func TestChangesAreAppliedWhileASnapshotIsWritten(t *testing.T) {
	RegisterTestingT(t)
	synctest.Test(t, func(t *testing.T) {
		taken := make(chan SnapshotTaken, 10)
		g := newGroup(t, 1, func(s *Settings) {
			s.SnapshotEvery = 5
			s.Observe = func(o Observation) {
				if st, ok := o.(SnapshotTaken); ok {
					taken <- st
				}
			}
		})
		g.leader(0)
		g.stop(1)
		slow := &slowTally{begun: make(chan uint64, 1), release: make(chan struct{})}
		r, err := NewReplicator(g.settings(1), slow, testTransport{network: g.network, self: 1})
		Expect(err).NotTo(HaveOccurred())
		g.network.hosts[1] = r
		g.leader(0)
		propose := func(n int) {
			for range n {
				_, _, err := r.Propose(context.Background(), []byte("x"))
				Expect(err).NotTo(HaveOccurred())
			}
		}
		propose(10)
		held := <-slow.begun
		propose(20)
		Expect(slow.get()).To(Equal(uint64(30)))
		Expect(taken).To(BeEmpty())
		Expect(slow.begun).To(BeEmpty(), "concurrent snapshots")

		close(slow.release)
		first := <-taken
		Expect(first.Index).To(BeNumerically("<", r.Status().Applied))
		Expect(held).To(BeNumerically("<", uint64(30)))
		g.stop(1)
		g.start(1)
		g.leader(0)
		Expect(g.network.hosts[1].ReadBarrier(context.Background())).To(Succeed())
		Expect(g.machines[1].get()).To(Equal(uint64(30)))
		g.close()
	})
}
