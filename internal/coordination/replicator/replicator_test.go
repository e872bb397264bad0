package replicator

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/disker"
	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

// tally is a state machine that counts its commands and keeps their sum.
type tally struct {
	lock       sync.Mutex
	count, sum uint64
}

func (t *tally) Apply(_ uint64, data []byte) any {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.count++
	for _, b := range data {
		t.sum = t.sum*31 + uint64(b)
	}
	return t.count
}

func (t *tally) Snapshot(w io.Writer) error {
	t.lock.Lock()
	defer t.lock.Unlock()
	return binary.Write(w, binary.LittleEndian, []uint64{t.count, t.sum})
}

func (t *tally) Restore(r io.Reader, _ uint64) error {
	t.lock.Lock()
	defer t.lock.Unlock()
	var v [2]uint64
	err := binary.Read(r, binary.LittleEndian, &v)
	t.count, t.sum = v[0], v[1]
	return err
}

func (t *tally) get() uint64 {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.count
}

// wire connects replicators in one process; cut links lose their messages.
type wire struct {
	lock  sync.Mutex
	hosts map[HostID]*Replicator
	cut   map[[2]HostID]bool
	// delay is the one-way delay of all links.
	delay time.Duration
	// slow tells what a message takes more; nil means nothing.
	slow *slowness
}

type wireEnd struct {
	wire *wire
	self HostID
}

func (e wireEnd) Send(to HostID, ms []Message) {
	e.wire.lock.Lock()
	host, cut := e.wire.hosts[to], e.wire.cut[[2]HostID{e.self, to}]
	delay := e.wire.delay
	if e.wire.slow != nil {
		_, hop := e.wire.slow.draw()
		delay += hop
	}
	e.wire.lock.Unlock()
	if host == nil || cut {
		return
	}
	deliver := func() {
		for _, m := range ms {
			host.Deliver(m)
		}
	}
	if delay > 0 {
		time.AfterFunc(delay, deliver)
		return
	}
	deliver()
}

func (w *wire) setCut(from, to HostID, cut bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.cut[[2]HostID{from, to}] = cut
}

// group is a few replicators on a wire.
type group struct {
	wire     *wire
	machines map[HostID]*tally
	settings func(HostID) Settings
}

func newGroup(tb testing.TB, hosts int, adjust func(*Settings)) *group {
	tb.Helper()
	g := &group{wire: &wire{hosts: make(map[HostID]*Replicator), cut: make(map[[2]HostID]bool)}, machines: make(map[HostID]*tally)}
	folder := tb.TempDir()
	var list []Member
	for i := 1; i <= hosts; i++ {
		list = append(list, Member{ID: HostID(i), Address: fmt.Sprintf("10.0.0.%d:7", i)})
	}
	g.settings = func(id HostID) Settings {
		s := Settings{
			Group: "test", Self: Member{ID: id, Address: fmt.Sprintf("10.0.0.%d:7", id)},
			DataFolder: fmt.Sprintf("%s/%d", folder, id),
		}
		if int(id) <= hosts {
			s.Bootstrap = list
		} else {
			s.Join = true
		}
		if adjust != nil {
			adjust(&s)
		}
		return s
	}
	for i := 1; i <= hosts; i++ {
		g.start(HostID(i))
	}
	return g
}

func (g *group) start(id HostID) *Replicator {
	g.machines[id] = &tally{}
	r, err := NewReplicator(g.settings(id), g.machines[id], wireEnd{wire: g.wire, self: id})
	Expect(err).NotTo(HaveOccurred())
	g.wire.lock.Lock()
	g.wire.hosts[id] = r
	g.wire.lock.Unlock()
	return r
}

func (g *group) stop(id HostID) {
	g.wire.lock.Lock()
	r := g.wire.hosts[id]
	delete(g.wire.hosts, id)
	g.wire.lock.Unlock()
	Expect(r.Close()).To(Succeed())
}

func (g *group) close() {
	for id := range g.wire.hosts {
		g.stop(id)
	}
}

// leader waits for a leader whose lease holds, other than the one given.
func (g *group) leader(but HostID) HostID {
	var found HostID
	Eventually(func() bool {
		for id, r := range g.wire.hosts {
			if id != but && r.LeaseValid() {
				found = id
				return true
			}
		}
		return false
	}).WithTimeout(20 * time.Second).WithPolling(10 * time.Millisecond).Should(BeTrue())
	return found
}

func TestOneHostCommitsAtOnceAndAfterRestart(t *testing.T) {
	RegisterTestingT(t)
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1, nil)
		for i := range 10 {
			Eventually(func() error {
				_, _, err := g.wire.hosts[1].Propose(context.Background(), []byte{byte(i)})
				return err
			}).Should(Succeed())
		}
		g.stop(1)
		g.start(1)
		g.leader(0)
		Expect(g.wire.hosts[1].ReadBarrier(context.Background())).To(Succeed())
		Expect(g.machines[1].get()).To(Equal(uint64(10)))
		g.close()
	})
}

func TestThreeHostsElectCommitAndAddAFourth(t *testing.T) {
	RegisterTestingT(t)
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, func(s *Settings) { s.SnapshotEvery = 20 })
		ctx := context.Background()
		l := g.leader(0)
		for i := range 100 {
			index, result, err := g.wire.hosts[l].Propose(ctx, []byte{byte(i)})
			Expect(err).NotTo(HaveOccurred())
			Expect(result).To(Equal(uint64(i + 1)))
			Expect(index).To(BeNumerically(">", i))
		}
		g.start(4)
		Expect(g.wire.hosts[l].AddMember(ctx, Member{ID: 4, Address: "10.0.0.4:7", Voter: true})).To(Succeed())
		Expect(g.wire.hosts[l].TransferLeadership(ctx)).To(Succeed())
		n := g.leader(l)
		Expect(g.wire.hosts[n].ReadBarrier(ctx)).To(Succeed())
		Expect(g.wire.hosts[n].RemoveMember(ctx, l)).To(Succeed())
		Eventually(func() uint64 { return g.machines[4].get() }).Should(Equal(uint64(100)))
		g.close()
	})
}

// Symptom: a caller is told that its change failed, resends it, and it takes
// effect twice; or a leader answers reads from the past. Events: the leader is
// cut off silently, both ways or only from the answers, while a proposal is
// under way, and others come later. Cause: a leader that doesn't notice keeps
// its lease, and calls "not accepted" what may still be committed.
func TestLeaderCutOffStepsDownWithinItsLeaseAndSaysTheTruth(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		RegisterTestingT(t)
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, 3, nil)
			ctx := context.Background()
			l := g.leader(0)
			old := g.wire.hosts[l]
			_, _, err := old.Propose(ctx, []byte("before"))
			Expect(err).NotTo(HaveOccurred())
			for id := range g.wire.hosts {
				g.wire.setCut(id, l, true)
				g.wire.setCut(l, id, !oneWay)
			}
			start := time.Now()
			_, _, err = old.Propose(ctx, []byte("during"))
			var unknown ErrOutcomeUnknown
			Expect(errors.As(err, &unknown)).To(BeTrue())
			Expect(CertainlyNotAccepted(err)).To(BeFalse())
			Expect(time.Since(start)).To(BeNumerically("<=", DefaultElectionTimeout))
			Expect(old.LeaseValid()).To(BeFalse())
			Expect(old.LeaderContact()).To(BeNumerically(">=", DefaultElectionTimeout-DefaultElectionTimeout/5))
			Expect(old.ReadBarrier(ctx)).NotTo(Succeed())
			_, _, err = old.Propose(ctx, []byte("after"))
			Expect(CertainlyNotAccepted(err)).To(BeTrue())

			n := g.leader(l)
			_, _, err = g.wire.hosts[n].Propose(ctx, []byte("elsewhere"))
			Expect(err).NotTo(HaveOccurred())
			for id := range g.wire.hosts {
				g.wire.setCut(id, l, false)
				g.wire.setCut(l, id, false)
			}
			Eventually(func() uint64 { return g.machines[l].get() }).WithTimeout(5 * time.Second).Should(Equal(g.machines[n].get()))
			g.close()
		})
	}
}

// Symptom: an accepted change is gone after a power cut. Events: a sync of the
// journal fails, the next one succeeds. Cause: the system drops the pages whose
// write-back failed, so that the second success says nothing about them.
func TestFailedSyncStopsTheReplicator(t *testing.T) {
	RegisterTestingT(t)
	synctest.Test(t, func(t *testing.T) {
		disk := disker.NewDisk(rand.New(rand.NewPCG(1, 1)))
		g := newGroup(t, 1, func(s *Settings) { s.FileSystem = disk })
		g.leader(0)
		r := g.wire.hosts[1]
		_, _, err := r.Propose(context.Background(), []byte("one"))
		Expect(err).NotTo(HaveOccurred())
		disk.FailSyncIn(1)
		_, _, err = r.Propose(context.Background(), []byte("two"))
		Expect(CertainlyNotAccepted(err)).To(BeFalse())
		<-r.Done()
		var failed journaler.ErrFailed
		Expect(errors.As(r.Err(), &failed)).To(BeTrue())
		_, _, err = r.Propose(context.Background(), []byte("three"))
		Expect(CertainlyNotAccepted(err)).To(BeTrue())
		Expect(r.Close()).NotTo(Succeed())
	})
}
