package replicator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/disker"
)

// newFaultFreeSimulation returns a simulation of three voters and a spare host on a reliable
// network, after the election of a leader.
func newFaultFreeSimulation(seed uint64) *simulation {
	fail := func(format string, args ...any) { ginkgo.Fail(fmt.Sprintf(format, args...)) }
	s := newSimulation(fail, rand.New(rand.NewPCG(seed, 0)), 3, 1, 200)
	s.run(20, false)
	return s
}

// leader returns the host that leads in the highest term, nil if there is none.
func (s *simulation) leader() *simulatedHost {
	var found *simulatedHost
	for _, h := range s.hosts {
		if h.running() && h.replica.core.role == Leader &&
			(found == nil || h.replica.core.hard.Term > found.replica.core.hard.Term) {
			found = h
		}
	}
	return found
}

// otherVoters returns the voters other than h.
func (s *simulation) otherVoters(h *simulatedHost) (a, b *simulatedHost) {
	i := int(h.id) % 3
	return s.hosts[i], s.hosts[(i+1)%3]
}

// replace performs the operator's procedure for a host that lost its disk.
func (s *simulation) replace(h *simulatedHost) {
	steps := []Change{RemoveMember{h.id}, AddLearner{Member{ID: h.id, Address: "new"}}, PromoteLearner{h.id}}
	for _, c := range steps {
		l := s.leader()
		_, _, err := l.replica.core.ProposeChange(c)
		Expect(err).NotTo(HaveOccurred())
		s.advanceHost(l, nil)
		s.run(10, false)
	}
}

var _ = ginkgo.Describe("lost and stale disks", func() {
	// Guards against the loss of an accepted change although only one disk is lost at a time. The
	// change is on hosts A and B while C is cut off. B loses its disk and returns under its old
	// number; A is cut off. If the empty B could vote, it would elect C, which never received the
	// change.
	ginkgo.It("does not let an empty disk vote under the old identity", func() {
		s := newFaultFreeSimulation(1)
		a := s.leader()
		b, c := s.otherVoters(a)
		s.isolate(c)
		s.propose(a)
		s.run(5, false)
		s.wipe(b)
		s.cut = make(map[[2]HostID]bool)
		s.isolate(a)
		s.run(60, false)
		Expect(s.leader()).To(BeNil(), "no host may be elected")
		Expect(b.replica.core.isVoter()).To(BeFalse())
		s.heal()
	})

	// Guards against the loss of a change right after a repair. As above, but B is removed, added
	// again and promoted, and then A loses its disk. The change would be lost if B counted as a
	// voter before it has caught up, or if C were elected without the change.
	ginkgo.It("survives the loss of a second host right after a repair", func() {
		s := newFaultFreeSimulation(2)
		a := s.leader()
		b, c := s.otherVoters(a)
		s.isolate(c)
		s.propose(a)
		s.run(5, false)
		accepted := len(s.committed)
		s.cut = make(map[[2]HostID]bool)
		s.wipe(b)
		s.replace(b)
		Expect(b.replica.core.isVoter()).To(BeTrue())
		s.wipe(a)
		s.run(40, false)
		Expect(s.leader()).NotTo(BeNil())
		Expect(len(s.committed)).To(BeNumerically(">", accepted))
		s.replace(a)
		s.heal()
	})

	// Guards against a host that no longer holds what it acknowledged. Its folder is replaced by an
	// older copy. The copy has the same identity, so that the leader would count entries that the
	// host has lost.
	ginkgo.It("stops a host whose folder is an old copy", func() {
		s := newFaultFreeSimulation(3)
		a := s.leader()
		b, _ := s.otherVoters(a)
		old := b.disk.Copy()
		s.propose(a)
		s.run(5, false)
		var failure error
		s.fail = func(_ string, args ...any) { failure, _ = args[len(args)-1].(error) }
		b.disk = old
		s.start(b)
		s.run(1, false)
		var back ErrStaleDisk
		Expect(errors.As(failure, &back)).To(BeTrue())
		Expect(back.Acknowledged).To(BeNumerically(">", back.Last))
	})

	// Guards against two groups of the same name. The host that formed the group loses its disk and
	// starts again with its bootstrap list. It can't know that a group exists unless it asks the
	// others.
	ginkgo.It("forms no second group", func() {
		s := newFaultFreeSimulation(4)
		h := s.hosts[0]
		s.wipe(h)
		s.run(30, false)
		Expect(h.replica.bootstrapper).To(BeNil())
		Expect(h.replica.identity.Formation).To(BeZero())
		s.heal()
	})
})

var _ = ginkgo.Describe("crashes", func() {
	// Guards against two durable steps in the wrong order: a host that does not start, or a group
	// that loses a change, after a crash at one particular moment. One disk crashes at its n-th
	// durable step, for each n of a run with bootstrap, elections, truncations, snapshots and
	// compactions, and the host restarts.
	ginkgo.It("between any two durable steps lose nothing", func() {
		injectAtEachStep(80, func(d *disker.Disk, n int) { d.CrashIn(n) })
	})

	// Guards against state that is read back from the page cache and taken as durable: a change that
	// is lost, or a vote given twice, if the host loses power after its process has ended.
	ginkgo.It("after the end of a process between any two durable steps lose nothing", func() {
		injectAtEachStep(80, func(d *disker.Disk, n int) { d.StopIn(n) })
	})
})

var _ = ginkgo.Describe("disk failures", func() {
	// Guards against a group that loses a change, or a host that does not return, after its disk was
	// full from one particular operation on.
	ginkgo.It("of a disk that is full from any operation on lose nothing", func() {
		injectAtEachStep(80, func(d *disker.Disk, n int) { d.FillIn(n) })
	})

	// Guards against pages that the operating system dropped after a failed sync, and that a later
	// sync does not write.
	ginkgo.It("of any sync lose nothing", func() {
		injectAtEachStep(40, func(d *disker.Disk, n int) { d.FailSyncIn(n) })
	})
})

// injectAtEachStep runs the scenario with a fault at the n-th step of a host's disk, for each n until
// the scenario ends before the fault, which must have more than the given number of steps. After the
// fault has ended, the scenario runs again and all hosts lose power.
func injectAtEachStep(steps int, inject func(d *disker.Disk, n int)) {
	n := 1
	for ; n < 1000; n++ {
		s := newSimulation(func(format string, args ...any) {
			ginkgo.Fail(fmt.Sprintf("fault at step %d: ", n) + fmt.Sprintf(format, args...))
		}, rand.New(rand.NewPCG(uint64(n), 5)), 3, 1, 200)
		h := s.hosts[n%3]
		h.disk.Crash()
		h.disk.Restart()
		h.disk.Wipe()
		inject(h.disk, n)
		h.suspended = false
		s.start(h)
		s.runScenario()
		if s.faults+s.diskFailures == 0 {
			break
		}
		s.endFaults()
		s.runScenario()
		for _, h := range s.hosts {
			s.losePower(h)
		}
		s.heal()
	}
	Expect(n).To(BeNumerically(">", steps))
	Expect(n).To(BeNumerically("<", 1000))
}

// runScenario forms a group, changes its leader and takes snapshots.
func (s *simulation) runScenario() {
	for range 3 {
		s.run(12, false)
		for range 6 {
			for _, h := range s.hosts {
				s.propose(h)
			}
			s.run(1, false)
		}
		if l := s.leader(); l != nil {
			s.isolate(l)
			s.propose(l)
			s.run(12, false)
			s.cut = make(map[[2]HostID]bool)
		}
	}
}

var _ = ginkgo.Describe("links and clocks", func() {
	// Guards against a group that has no leader most of the time. One host does not receive the
	// leader's messages, all others do. Without pre-votes it would campaign with ever higher terms
	// and depose the leader each time.
	ginkgo.It("keeps the leader when one host does not receive its messages", func() {
		s := newFaultFreeSimulation(5)
		l := s.leader()
		a, _ := s.otherVoters(l)
		term := l.replica.core.hard.Term
		s.cut[[2]HostID{l.id, a.id}] = true
		s.run(100, false)
		Expect(s.leader()).To(BeIdenticalTo(l))
		Expect(l.replica.core.hard.Term).To(Equal(term))
		s.heal()
	})

	// Guards against a leader that stays although nothing is committed. Its heartbeats arrive, the
	// replies don't. Heartbeats satisfy the followers, so that only the leader can detect this.
	ginkgo.It("replaces a leader that does not receive replies", func() {
		s := newFaultFreeSimulation(6)
		l := s.leader()
		a, b := s.otherVoters(l)
		s.cut[[2]HostID{a.id, l.id}], s.cut[[2]HostID{b.id, l.id}] = true, true
		s.run(40, false)
		Expect(s.leader()).NotTo(BeIdenticalTo(l))
		Expect(l.replica.core.role).NotTo(Equal(Leader))
		s.heal()
	})

	// Guards against a read under the lease that misses an accepted change. One follower does not
	// receive the leader's messages and campaigns; the other one has just answered the leader,
	// restarts and grants its vote; the leader is cut off. The restarted host must not forget that
	// the lease depends on it granting no votes.
	ginkgo.It("holds no lease that a restarted follower no longer respects", func() {
		elections := 0
		for seed := range uint64(40) {
			s := newFaultFreeSimulation(seed)
			l := s.leader()
			a, b := s.otherVoters(l)
			s.cut[[2]HostID{l.id, a.id}] = true
			s.run(10, false)
			s.isolate(l)
			b.disk.Crash()
			b.replica = nil
			s.restart(b)
			s.run(10, false)
			elections += s.elections
			s.heal()
		}
		Expect(elections).To(BeNumerically(">", 60))
	})

	// Guards against the same, with a lease counted from the arrival of replies instead of the
	// start of the round that they answer. The followers' replies are delayed, the leader's
	// messages are lost, the others elect a new leader, and then the replies arrive.
	ginkgo.It("counts a lease from the start of the answered round", func() {
		for seed := range uint64(40) {
			s := newFaultFreeSimulation(seed)
			l := s.leader()
			s.act(repliesDelayed)
			s.run(1, false)
			s.act(leaderMuted)
			for c := l.replica.core; c.LeaseUntil()-c.clock > 2*simulatedTick; {
				s.tick()
				s.deliver(false)
			}
			Expect(l.replica.core.role).To(Equal(Leader))
			s.act(repliesReleased)
			s.tick()
			s.deliver(false)
			s.isolate(l)
			s.run(10, false)
			Expect(l.replica.core.role).NotTo(Equal(Leader))
			s.heal()
		}
	})

	// Guards against a lease that stays valid for hours. The wall clock is set back; the end of a
	// lease measured on that clock would be far in the future.
	ginkgo.It("continues after a clock is set back", func() {
		now := time.Unix(1000, 0)
		c := newClock(func() time.Time { return now })
		now = now.Add(time.Second)
		Expect(c.read()).To(Equal(time.Second))
		now = now.Add(-time.Hour)
		Expect(c.read()).To(Equal(time.Second))
		now = now.Add(time.Second)
		Expect(c.read()).To(Equal(2 * time.Second))
	})
})

var _ = ginkgo.Describe("snapshots and membership", func() {
	// Guards against a slow follower that never catches up. It needs a snapshot of many pieces and
	// restarts before the last one; the pieces received so far must survive the restart.
	ginkgo.It("resumes a snapshot transfer after a restart of the receiver", func() {
		s := newFaultFreeSimulation(7)
		l := s.leader()
		a, _ := s.otherVoters(l)
		s.isolate(a)
		for range 30 {
			s.propose(l)
			s.run(1, false)
		}
		Expect(l.replica.core.log.base).To(BeNumerically(">", a.replica.core.log.last()))
		s.cut = make(map[[2]HostID]bool)
		for a.replica.core.snapshot.Index == 0 {
			s.tick()
			s.deliver(false)
			a.disk.Crash()
			a.replica = nil
			s.restart(a)
		}
		s.heal()
	})

	// Guards against two leaders after a change of the membership. Two operators remove and add
	// hosts at the same time. Majorities of configurations that differ by two voters need not
	// intersect.
	ginkgo.It("refuses a second change while one is in progress", func() {
		s := newFaultFreeSimulation(8)
		c := s.leader().replica.core
		_, _, err := c.ProposeChange(AddLearner{Member{ID: 4, Address: "4"}})
		Expect(err).NotTo(HaveOccurred())
		_, _, err = c.ProposeChange(RemoveMember{c.settings.Self%3 + 1})
		Expect(err).To(Equal(ErrChangeRefused{Reason: "another change is in progress"}))
		Expect(CertainlyNotAccepted(err)).To(BeTrue())
		s.run(10, false)
		s.heal()
	})
})

var _ = ginkgo.Describe("slow followers", func() {
	// Guards against a leader that runs out of memory. Its followers stop answering while callers
	// continue to propose; the messages and entries that wait for replies must be bounded.
	ginkgo.It("leave a bounded amount of messages unanswered and of entries uncommitted", func() {
		s := newFaultFreeSimulation(9)
		l := s.leader()
		c := l.replica.core
		a, _ := s.otherVoters(l)
		s.isolate(l)
		var refused ErrNotAccepted
		for err := error(nil); !errors.As(err, &refused); {
			_, _, err = c.Propose(make([]byte, 4096))
			Expect(err == nil || CertainlyNotAccepted(err)).To(BeTrue())
			c.Flush()
		}
		Expect(c.pendingBytes).To(BeNumerically("<=", DefaultPendingBytes))
		Expect(c.pendingBytes).To(BeNumerically(">", DefaultPendingBytes/2))
		Expect(len(c.peers[a.id].window)).To(BeNumerically("<=", DefaultWindowMessages))
		Expect(len(c.pending.Early)).To(BeNumerically("<=", 2*(DefaultWindowMessages+1)))
	})
})
