package controller_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
)

// selfRepairing configures a group that replaces its lost hosts by itself.
func selfRepairing(s *controller.Settings) {
	shortLeases(s)
	s.Control.WantedVoters = 3
}

// runEnlist runs a host's Enlist until the host is closed.
func runEnlist(running *sync.WaitGroup, c *controller.Control) { running.Go(c.Enlist) }

// voters returns the IDs of the voters according to a host's status.
func voters(c *controller.Control) []uint64 {
	var ids []uint64
	for _, m := range c.Status().Members {
		if m.Voter {
			ids = append(ids, uint64(m.ID))
		}
	}
	return ids
}

// join starts a host with an empty folder that waits to be added to the group.
func (g *group) join(i int, address string) {
	GinkgoHelper()
	network, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	g.hosts[i].Address = network.Addr().String()
	adjust := g.adjust
	g.adjust = func(s *controller.Settings) {
		adjust(s)
		s.Control.Bootstrap, s.Control.Join = false, true
	}
	defer func() { g.adjust = adjust }()
	Expect(g.start(i, network)).To(Succeed())
}

var _ = Describe("A control group that repairs itself", func() {
	var g *group
	var running sync.WaitGroup
	const waitTimeout = 20 * time.Second

	BeforeEach(func() {
		var err error
		g, err = newGroup(3, selfRepairing)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			g.close()
			running.Wait()
		})
		for _, c := range g.controls {
			runEnlist(&running, c)
		}
		Eventually(g.leader, waitTimeout).Should(BeNumerically(">=", 0))
	})

	follower := func() int { return (g.leader() + 1) % 3 }

	It("adds the replacement of a lost host, and removes the lost one", func() {
		// Guards against a group whose members change only by operator action. A host is
		// lost and an empty one starts at another address; if it does not become a voter,
		// the later loss of a second host stops all changes.
		lost := follower()
		id := g.hosts[lost].ID
		Expect(g.kill(lost)).To(Succeed())
		g.hosts = append(g.hosts, configurer.ControlHost{ID: 4, FailureDomain: "d4", Region: "r"})
		g.controls, g.metrics = append(g.controls, nil), append(g.metrics, nil)
		g.join(3, "127.0.0.1:0")
		runEnlist(&running, g.controls[3])
		Eventually(func() []uint64 { return voters(g.controls[3]) }, waitTimeout).Should(And(HaveLen(3), ContainElement(uint64(4)), Not(ContainElement(id))))
	})

	It("adds a host with an empty disk as a new one", func() {
		// Guards against counting the vote of an empty disk as the old disk's. A host
		// comes back with an empty disk, and the only other holder of a change is lost:
		// accepted changes would be gone after two losses of one host each.
		wiped := follower()
		old, _ := replicator.Configuration{Members: g.controls[wiped].Status().Members}.Find(replicator.HostID(g.hosts[wiped].ID))
		Expect(g.kill(wiped)).To(Succeed())
		Expect(os.RemoveAll(filepath.Join(g.folder, nodeName(g.hosts[wiped].ID)))).To(Succeed())
		g.join(wiped, g.hosts[wiped].Address)
		runEnlist(&running, g.controls[wiped])
		Eventually(func() uint64 {
			m, _ := replicator.Configuration{Members: g.controls[wiped].Status().Members}.Find(old.ID)
			if !m.Voter {
				return old.Incarnation
			}
			return m.Incarnation
		}, waitTimeout).ShouldNot(Equal(old.Incarnation))
		Eventually(func() []uint64 { return voters(g.controls[wiped]) }, waitTimeout).Should(HaveLen(3))
	})

	It("keeps a host that is only partitioned", func() {
		cut := follower()
		for i := range g.hosts {
			g.network.set(nodeName(g.hosts[i].ID), g.hosts[cut].Address, true)
			g.network.set(nodeName(g.hosts[cut].ID), g.hosts[i].Address, true)
		}
		leader := g.controls[g.leader()]
		Eventually(func() []replicator.HostID { return leader.Status().Silent }, waitTimeout).ShouldNot(BeEmpty())
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		Expect(leader.PutRouting(ctx, 1, []byte("one"))).To(Succeed(), "the others still accept changes")
		// A removal would happen at one of the leader's next ticks.
		Consistently(func() []uint64 { return voters(leader) }, 10*controller.DefaultTickInterval).Should(HaveLen(3))
	})
})

var _ = Describe("Announcements to control hosts", func() {
	ctx := context.Background()
	// A host that forwards a change to the leader applies it shortly afterwards itself.
	announcedKey := storer.Key{Kind: storer.KindMember, Name: controller.MemberName("10.0.0.1:80")}
	spec := func(state storer.MemberState) storer.MemberSpec {
		return storer.MemberSpec{Kind: storer.MemberKindService, Service: "s", Address: "10.0.0.1:80", FailureDomain: "d", Incarnation: "i-1", State: state}
	}

	It("reach the store through any host, and renew the membership", func() {
		g, err := newGroup(3, shortLeases)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.close)
		Eventually(g.leader, 10*time.Second).Should(BeNumerically(">=", 0))
		at := g.controls[(g.leader()+1)%3]
		Eventually(func() error { return at.Announce(ctx, spec(storer.MemberStateServing)) }, 10*time.Second).Should(Succeed())
		Eventually(func() bool { _, ok := at.Store().Get(announcedKey); return ok }, 10*time.Second).Should(BeTrue())
		first := at.Store().Revision()
		// A heartbeat without changes does not change the revision.
		Eventually(func() error { return at.Announce(ctx, spec(storer.MemberStateServing)) }, 10*time.Second).Should(Succeed())
		Expect(at.Store().Revision()).To(Equal(first))
		Expect(at.Announce(ctx, spec(storer.MemberStateLeaving))).To(Succeed())
		Expect(at.Announce(ctx, spec(storer.MemberStateServing))).To(Succeed(), "late messages are acknowledged")
		r, ok := g.controls[g.leader()].Store().Get(announcedKey)
		Expect(ok).To(BeTrue())
		Expect(r.Spec.(storer.MemberSpec).State).To(Equal(storer.MemberStateLeaving))
		Expect(at.Retire(ctx, storer.RetireMember{Incarnation: "i-1", Instance: "i-1"})).To(Succeed())
		Eventually(func() bool { _, ok := at.Store().Get(announcedKey); return ok }, 10*time.Second).Should(BeFalse())
	})

	It("are not acknowledged by a partitioned host", func() {
		// Guards against a partitioned control host that acknowledges heartbeats. They do
		// not reach the leader, where the lease of the healthy backend server expires.
		g, err := newGroup(3, shortLeases)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.close)
		Eventually(g.leader, 10*time.Second).Should(BeNumerically(">=", 0))
		cut := (g.leader() + 1) % 3
		Eventually(func() error { return g.controls[cut].Announce(ctx, spec(storer.MemberStateServing)) }, 10*time.Second).Should(Succeed())
		Eventually(func() bool { _, ok := g.controls[cut].Store().Get(announcedKey); return ok }, 10*time.Second).Should(BeTrue())
		for i := range g.hosts {
			if i != cut {
				g.network.set(nodeName(g.hosts[i].ID), g.hosts[cut].Address, true)
				g.network.set(nodeName(g.hosts[cut].ID), g.hosts[i].Address, true)
			}
		}
		Eventually(func() error { return g.controls[cut].Announce(ctx, spec(storer.MemberStateServing)) }, 10*time.Second).
			Should(MatchError(controller.ErrNoLeaderContact))
	})

	It("of a leave are acknowledged only once committed, in any order of arrival", func() {
		// Guards against a leave that is acknowledged because a later message, itself not
		// accepted, arrived first.
		g, err := newGroup(3, shortLeases)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.close)
		Eventually(g.leader, 10*time.Second).Should(BeNumerically(">=", 0))
		cut := (g.leader() + 1) % 3
		announce := func(state storer.MemberState, sequence uint64) error {
			m := spec(state)
			m.Sequence = sequence
			ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			defer cancel()
			return g.controls[cut].Announce(ctx, m)
		}
		Eventually(func() error { return announce(storer.MemberStateServing, 1) }, 10*time.Second).Should(Succeed())
		Eventually(func() bool { _, ok := g.controls[cut].Store().Get(announcedKey); return ok }, 10*time.Second).Should(BeTrue())
		for i := range g.hosts {
			if i != cut {
				g.network.set(nodeName(g.hosts[i].ID), g.hosts[cut].Address, true)
				g.network.set(nodeName(g.hosts[cut].ID), g.hosts[i].Address, true)
			}
		}
		Eventually(func() error { return announce(storer.MemberStateLeaving, 3) }, 10*time.Second).ShouldNot(Succeed())
		Expect(announce(storer.MemberStateLeaving, 2)).NotTo(Succeed())
	})

	It("of an end take effect at all hosts, even through a host that may lag behind", func() {
		// Guards against an end that a host acknowledges without effect because it has
		// not applied the membership yet.
		g, err := newGroup(3, shortLeases)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.close)
		Eventually(g.leader, 10*time.Second).Should(BeNumerically(">=", 0))
		leader, follower := g.controls[g.leader()], g.controls[(g.leader()+1)%3]
		Eventually(func() error { return leader.Announce(ctx, spec(storer.MemberStateServing)) }, 10*time.Second).Should(Succeed())
		Eventually(func() error {
			return follower.Retire(ctx, storer.RetireMember{Incarnation: "i-1", Instance: "i-1"})
		}, 10*time.Second).Should(Succeed())
		for _, c := range g.controls {
			Eventually(func() bool { _, ok := c.Store().Get(announcedKey); return ok }, 10*time.Second).Should(BeFalse())
		}
		Expect(leader.Announce(ctx, spec(storer.MemberStateServing))).To(Succeed(), "late messages are acknowledged")
		_, ok := leader.Store().Get(announcedKey)
		Expect(ok).To(BeFalse())
	})

	It("and routing configurations are read after everything accepted before", func() {
		g, err := newGroup(3, shortLeases)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.close)
		Eventually(g.leader, 10*time.Second).Should(BeNumerically(">=", 0))
		Expect(g.controls[0].PutRouting(ctx, 7, []byte("seven"))).To(Succeed())
		Expect(g.controls[1].PutRouting(ctx, 5, []byte("five"))).To(Succeed())
		Expect(g.controls[2].NameNewest(ctx, "m/a1", 2)).To(Succeed())
		for _, c := range g.controls {
			spec, ok, err := c.Routing(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(ok).To(BeTrue())
			Expect(spec).To(Equal(storer.RoutingSpec{Number: 7, Document: []byte("seven")}))
		}
	})
})
