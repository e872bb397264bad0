package replicator

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"
)

// tally is a state machine that counts its commands and keeps a checksum of them.
type tally struct {
	lock       sync.Mutex
	count, sum uint64
	// applied counts each command; snapshots don't contain it.
	applied map[string]int
}

func (t *tally) Apply(_ uint64, data []byte) any {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.count++
	if t.applied == nil {
		t.applied = make(map[string]int)
	}
	t.applied[string(data)]++
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

// network connects replicators in one process. Messages on cut links are lost.
type network struct {
	lock  sync.Mutex
	hosts map[HostID]*Replicator
	cut   map[[2]HostID]bool
	// delay is the one-way delay of all links.
	delay time.Duration
	// delays gives the additional delay of each message; nil means none.
	delays *injectedDelays
}

type testTransport struct {
	network *network
	self    HostID
}

func (e testTransport) Send(to HostID, ms []Message) {
	e.network.lock.Lock()
	host, cut := e.network.hosts[to], e.network.cut[[2]HostID{e.self, to}]
	delay := e.network.delay
	if e.network.delays != nil {
		_, hop := e.network.delays.draw()
		delay += hop
	}
	e.network.lock.Unlock()
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

func (w *network) setCut(from, to HostID, cut bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.cut[[2]HostID{from, to}] = cut
}

// testGroup is a group of replicators on a network.
type testGroup struct {
	network  *network
	machines map[HostID]*tally
	settings func(HostID) Settings
}

func newGroup(tb testing.TB, hosts int, adjust func(*Settings)) *testGroup {
	tb.Helper()
	g := &testGroup{network: &network{hosts: make(map[HostID]*Replicator), cut: make(map[[2]HostID]bool)}, machines: make(map[HostID]*tally)}
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

func (g *testGroup) start(id HostID) *Replicator {
	g.machines[id] = &tally{}
	r, err := NewReplicator(g.settings(id), g.machines[id], testTransport{network: g.network, self: id})
	Expect(err).NotTo(HaveOccurred())
	g.network.lock.Lock()
	g.network.hosts[id] = r
	g.network.lock.Unlock()
	return r
}

func (g *testGroup) stop(id HostID) {
	g.network.lock.Lock()
	r := g.network.hosts[id]
	delete(g.network.hosts, id)
	g.network.lock.Unlock()
	Expect(r.Close()).To(Succeed())
}

func (g *testGroup) close() {
	for id := range g.network.hosts {
		g.stop(id)
	}
}

// leader waits for a leader other than but whose lease holds, and returns it.
func (g *testGroup) leader(but HostID) HostID {
	var found HostID
	Eventually(func() bool {
		for id, r := range g.network.hosts {
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
				_, _, err := g.network.hosts[1].Propose(context.Background(), []byte{byte(i)})
				return err
			}).Should(Succeed())
		}
		g.stop(1)
		g.start(1)
		g.leader(0)
		Expect(g.network.hosts[1].ReadBarrier(context.Background())).To(Succeed())
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
			index, result, err := g.network.hosts[l].Propose(ctx, []byte{byte(i)})
			Expect(err).NotTo(HaveOccurred())
			Expect(result).To(Equal(uint64(i + 1)))
			Expect(index).To(BeNumerically(">", i))
		}
		g.start(4)
		Expect(g.network.hosts[l].AddMember(ctx, Member{ID: 4, Address: "10.0.0.4:7", Voter: true})).To(Succeed())
		Expect(g.network.hosts[l].TransferLeadership(ctx)).To(Succeed())
		n := g.leader(l)
		Expect(g.network.hosts[n].ReadBarrier(ctx)).To(Succeed())
		Expect(g.network.hosts[n].RemoveMember(ctx, l)).To(Succeed())
		Eventually(func() uint64 { return g.machines[4].get() }).Should(Equal(uint64(100)))
		g.close()
	})
}

// Guards against a change that takes effect twice because its caller was told that it failed and
// sent it again, and against stale reads from a leader. The leader is cut off without an error, in
// both directions or only from the replies, while one proposal is in progress and others follow. A
// leader that does not detect this would keep its lease, and report a proposal as not accepted that
// may still be committed.
func TestLeaderCutOffStepsDownWithinItsLeaseAndReportsUnknownOutcome(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		RegisterTestingT(t)
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, 3, nil)
			ctx := context.Background()
			l := g.leader(0)
			old := g.network.hosts[l]
			_, _, err := old.Propose(ctx, []byte("before"))
			Expect(err).NotTo(HaveOccurred())
			for id := range g.network.hosts {
				g.network.setCut(id, l, true)
				g.network.setCut(l, id, !oneWay)
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
			_, _, err = g.network.hosts[n].Propose(ctx, []byte("elsewhere"))
			Expect(err).NotTo(HaveOccurred())
			for id := range g.network.hosts {
				g.network.setCut(id, l, false)
				g.network.setCut(l, id, false)
			}
			Eventually(func() uint64 { return g.machines[l].get() }).WithTimeout(5 * time.Second).Should(Equal(g.machines[n].get()))
			g.close()
		})
	}
}
