package replicator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// quiet returns a simulation of three voters and a spare whose network loses
// nothing by itself, with a leader.
func quiet(seed uint64) *simulation {
	fail := func(format string, args ...any) { ginkgo.Fail(fmt.Sprintf(format, args...)) }
	s := newSimulation(fail, rand.New(rand.NewPCG(seed, 0)), 3, 1, 200)
	s.run(20, false)
	return s
}

// leader returns the host that leads the highest term.
func (s *simulation) leader() *simulatedHost {
	var found *simulatedHost
	for _, h := range s.hosts {
		if h.replica != nil && h.replica.core.role == Leader &&
			(found == nil || h.replica.core.hard.Term > found.replica.core.hard.Term) {
			found = h
		}
	}
	return found
}

// others returns the voters besides h.
func (s *simulation) others(h *simulatedHost) (a, b *simulatedHost) {
	i := int(h.id) % 3
	return s.hosts[i], s.hosts[(i+1)%3]
}

// replace carries out what an operator does for a host that lost its disk.
func (s *simulation) replace(h *simulatedHost) {
	steps := []Change{RemoveMember{h.id}, AddLearner{Member{ID: h.id, Address: "new"}}, PromoteLearner{h.id}}
	for _, c := range steps {
		l := s.leader()
		_, _, err := l.replica.core.ProposeChange(c)
		Expect(err).NotTo(HaveOccurred())
		s.finish(l, nil)
		s.run(10, false)
	}
}

var _ = ginkgo.Describe("lost and old disks", func() {
	// Symptom: an accepted change is gone though only one disk was ever lost at
	// a time. Events: a change is on hosts A and B while C is cut off; B loses
	// its disk and comes back under its old number; A is cut off. Cause: the
	// empty B votes for C, which never had the change.
	ginkgo.It("gives an empty disk no vote under the old identity", func() {
		s := quiet(1)
		a := s.leader()
		b, c := s.others(a)
		s.isolate(c)
		s.propose(a)
		s.run(5, false)
		s.wipe(b)
		s.cut = make(map[[2]HostID]bool)
		s.isolate(a)
		s.run(60, false)
		Expect(s.leader()).To(BeNil(), "nobody may be elected")
		Expect(b.replica.core.isVoter()).To(BeFalse())
		s.heal()
	})

	// Symptom: a change is lost right after a repair. Events: as before, but B
	// is removed, added again and promoted; then A loses its disk. Cause: B was
	// counted as a voter before it had caught up, or C is elected without the
	// change.
	ginkgo.It("survives the loss of a second host right after the repair", func() {
		s := quiet(2)
		a := s.leader()
		b, c := s.others(a)
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

	// Symptom: a host acknowledges less than it did. Events: a copy of its
	// folder is put back after more was acknowledged. Cause: the copy has the
	// same identity, so that the leader would count what it no longer holds.
	ginkgo.It("stops a host whose folder is an old copy", func() {
		s := quiet(3)
		a := s.leader()
		b, _ := s.others(a)
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

	// Symptom: two groups of the same name. Events: the host that formed the
	// group loses its disk and starts with its bootstrap list again. Cause: it
	// can't know that a group exists, unless the others are asked.
	ginkgo.It("forms no second group", func() {
		s := quiet(4)
		h := s.hosts[0]
		s.wipe(h)
		s.run(30, false)
		Expect(h.replica.founder).To(BeNil())
		Expect(h.replica.identity.Formation).To(BeZero())
		s.heal()
	})
})

var _ = ginkgo.Describe("crashes", func() {
	// Symptom: a host doesn't start, or its group loses a change, after a crash
	// at one particular moment. Events: one disk crashes at its n-th durable
	// step, for each n of a run with bootstrap, elections, truncations,
	// snapshots and compactions, and the host restarts. Cause: two durable
	// steps in the wrong order.
	ginkgo.It("between every two durable steps lose nothing", func() {
		n := 1
		for ; n < 1000; n++ {
			s := newSimulation(func(format string, args ...any) {
				ginkgo.Fail(fmt.Sprintf("crash at step %d: ", n) + fmt.Sprintf(format, args...))
			}, rand.New(rand.NewPCG(uint64(n), 5)), 3, 1, 200)
			h := s.hosts[n%3]
			h.disk.Crash()
			h.disk.Restart()
			h.disk.Wipe()
			h.disk.CrashIn(n)
			s.start(h)
			s.story()
			if s.faults == 0 {
				break
			}
			s.heal()
		}
		Expect(n).To(BeNumerically(">", 80))
		Expect(n).To(BeNumerically("<", 1000))
	})
})

// story lets a group be formed, change leaders and take snapshots.
func (s *simulation) story() {
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
	// Symptom: the group has no leader for most of the time. Events: one host
	// doesn't hear the leader, but all others do. Cause: it campaigns with ever
	// higher terms and deposes the leader each time.
	ginkgo.It("keeps the leader when one host can't hear it", func() {
		s := quiet(5)
		l := s.leader()
		a, _ := s.others(l)
		term := l.replica.core.hard.Term
		s.cut[[2]HostID{l.id, a.id}] = true
		s.run(100, false)
		Expect(s.leader()).To(BeIdenticalTo(l))
		Expect(l.replica.core.hard.Term).To(Equal(term))
		s.heal()
	})

	// Symptom: a leader goes on for ever though nothing is ever committed.
	// Events: its heartbeats arrive, the answers don't. Cause: followers are
	// content with heartbeats; only the leader can notice.
	ginkgo.It("replaces a leader that doesn't hear its followers", func() {
		s := quiet(6)
		l := s.leader()
		a, b := s.others(l)
		s.cut[[2]HostID{a.id, l.id}], s.cut[[2]HostID{b.id, l.id}] = true, true
		s.run(40, false)
		Expect(s.leader()).NotTo(BeIdenticalTo(l))
		Expect(l.replica.core.role).NotTo(Equal(Leader))
		s.heal()
	})

	// Symptom: a read under the lease misses an accepted change. Events: one
	// follower doesn't hear the leader and campaigns; the other one has just
	// answered it, restarts, and gives its vote; the leader is cut off. Cause:
	// the restarted host has forgotten that the leader relies on its silence.
	ginkgo.It("holds no lease that a restarted follower has forgotten", func() {
		elections := 0
		for seed := range uint64(40) {
			s := quiet(seed)
			l := s.leader()
			a, b := s.others(l)
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

	// Symptom: as before. Events: the answers of the followers are held back on
	// the way, the leader is muted, others elect a new one, the answers arrive.
	// Cause: a lease counted from the arrival of answers, not from the round
	// that they answer.
	ginkgo.It("counts a lease from the round that was answered", func() {
		for seed := range uint64(40) {
			s := quiet(seed)
			l := s.leader()
			s.act(heldBack)
			s.run(1, false)
			s.act(muted)
			for c := l.replica.core; c.LeaseUntil()-c.clock > 2*simulatedTick; {
				s.tick()
				s.deliver(false)
			}
			Expect(l.replica.core.role).To(Equal(Leader))
			s.act(released)
			s.tick()
			s.deliver(false)
			s.isolate(l)
			s.run(10, false)
			Expect(l.replica.core.role).NotTo(Equal(Leader))
			s.heal()
		}
	})

	// Symptom: a lease seems valid for hours. Events: the wall clock is set
	// back. Cause: an end of the lease in that clock's time is far ahead.
	ginkgo.It("goes on after a clock is set back", func() {
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
	// Symptom: a slow follower never catches up. Events: it needs a snapshot of
	// many pieces, and restarts before the last one. Cause: each restart throws
	// away the pieces that it has.
	ginkgo.It("resume after a restart of the receiver", func() {
		s := quiet(7)
		l := s.leader()
		a, _ := s.others(l)
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

	// Symptom: two leaders after a change of the membership. Events: two
	// operators remove and add hosts at once. Cause: majorities of
	// configurations that differ by two voters need not meet.
	ginkgo.It("refuses a second change while one is in progress", func() {
		s := quiet(8)
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
	// Symptom: a leader runs out of memory. Events: its followers stop
	// answering while callers go on proposing. Cause: messages or entries
	// without bound wait for answers.
	ginkgo.It("bound what goes out without an answer, and what waits for a commit", func() {
		s := quiet(9)
		l := s.leader()
		c := l.replica.core
		a, _ := s.others(l)
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
		Expect(len(c.out.Early)).To(BeNumerically("<=", 2*(DefaultWindowMessages+1)))
	})
})
