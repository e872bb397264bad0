package controller_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

const (
	// memberLease is the default of the settings.
	memberLease        = time.Duration(configurer.DefaultMemberLease)
	configurationLease = 2 * time.Second
	// longTimeout bounds waits without a promised duration, for machines on which a round
	// trip takes longer than an election timeout.
	longTimeout = time.Minute
)

func shortLeases(s *controller.Settings) {
	s.Control.MemberLease = configurer.Duration(memberLease)
	s.Control.ConfigurationLease = configurer.Duration(configurationLease)
	s.Control.StoreRate = 1000
	s.PulseInterval = 100 * time.Millisecond
	s.Messenger = fastIntervals
}

func shortLease(s *subscriber.Settings) {
	s.ConfigurationLease = configurationLease
	s.Messenger = fastIntervals
}

func member(domain, incarnation string) storer.MemberSpec {
	return storer.MemberSpec{
		Kind: storer.MemberKindEngine, Address: "127.0.0.1:9", Region: "r", FailureDomain: domain,
		BaseModel: "base", Slots: 4, MaxBatch: 8, Incarnation: incarnation,
	}
}

var _ = Describe("Three control hosts", func() {
	var g *group
	ctx := context.Background()

	BeforeEach(func() {
		var err error
		g, err = newGroup(3, shortLeases)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.close)
		Eventually(g.leader, eventuallyTimeout).ShouldNot(Equal(-1))
	})

	// heartbeats renews a membership until the test ends, and returns the count of
	// notifications that it has ended.
	heartbeats := func(n *node, lease registrar.Lease) *atomic.Int64 {
		ends := &atomic.Int64{}
		epoch := &atomic.Uint64{}
		epoch.Store(lease.Epoch)
		n.OnMembershipEnd(func(string, uint64) { ends.Add(1) })
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			ticker := time.NewTicker(memberLease / 6)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
					n.Renew(registrar.Renewal{Name: lease.Name, Epoch: epoch.Load(), Load: registrar.Load{MaxBatch: 8}})
				}
			}
		}()
		DeferCleanup(func() { close(stop); <-done })
		return ends
	}

	join := func(name, domain string) (*node, registrar.Lease) {
		n := g.node(name, domain, distributor.ScopeCompanion, shortLease)
		DeferCleanup(n.Close)
		waiting, cancel := context.WithTimeout(ctx, longTimeout)
		defer cancel()
		lease, err := n.Join(waiting, name, member(domain, "i1"))
		Expect(err).NotTo(HaveOccurred())
		return n, lease
	}

	// Guards against a new leader that counts renewals received by its predecessor as
	// missing. Companions renew through three control hosts and the leader dies; all
	// memberships would expire, and all calls would be refused until the backend servers
	// have joined again.
	It("keeps every membership over the loss of the leader", func() {
		entry := g.node("entry", "d2", distributor.ScopeEntry, shortLease)
		DeferCleanup(entry.Close)
		var ends []*atomic.Int64
		leases := make(map[string]uint64)
		for i := 1; i <= 3; i++ {
			name := fmt.Sprintf("backend-%d", i)
			n, lease := join(name, fmt.Sprintf("d%d", i))
			leases[name] = lease.Epoch
			ends = append(ends, heartbeats(n, lease))
		}
		old := g.leader()
		Expect(g.kill(old)).To(Succeed())
		Eventually(g.leader, longTimeout).ShouldNot(Equal(-1))

		// A membership that expires proves that the new leader tracks leases.
		join("backend-dying", fmt.Sprintf("d%d", old+1))
		Eventually(func() int { return len(entry.index.Members().Members) }, longTimeout).Should(Equal(4))
		Eventually(func() map[string]uint64 {
			epochs := make(map[string]uint64)
			for _, m := range entry.index.Members().Members {
				epochs[m.Name] = m.Spec.Epoch
			}
			return epochs
		}, longTimeout).Should(Equal(leases))
		for _, e := range ends {
			Expect(e.Load()).To(BeZero())
		}
	})

	// Guards against quotas that start again, and key knowledge that is not renewed,
	// after the loss of the leader.
	It("keeps answering reports after the loss of the leader", func() {
		asking := func(s *subscriber.Settings) {
			shortLease(s)
			s.Keyed = func() bool { return true }
		}
		var entries []*node
		for i := range 3 {
			n := g.node(fmt.Sprint("entry-", i), fmt.Sprintf("d%d", i+1), distributor.ScopeEntry, asking)
			DeferCleanup(n.Close)
			entries = append(entries, n)
		}
		limit := bucketer.Limit{Rate: 30, Burst: 30, Number: 1}
		spent, began := 0, time.Now()
		drain := func() {
			for _, e := range entries {
				if e.Spend("w", limit, 1, 0).Admitted {
					spent++
				}
			}
		}
		Expect(entries[0].Spend("w", limit, 1, 0).Unknown).To(BeTrue())
		Eventually(func() int { drain(); return spent }, eventuallyTimeout, "20ms").Should(BeNumerically(">=", 40))
		Expect(g.kill(g.leader())).To(Succeed())
		Eventually(g.leader, eventuallyTimeout).ShouldNot(Equal(-1))
		for _, e := range entries {
			killed := time.Now()
			Eventually(func() bool {
				age, ok := e.ConfirmedAge()
				return ok && age < time.Since(killed)
			}, eventuallyTimeout).Should(BeTrue())
		}
		drain()
		allowed := limit.Burst + limit.Rate*time.Since(began).Seconds() + float64(len(entries))
		Expect(float64(spent)).To(BeNumerically("<=", allowed))
	})

	// Guards against a limit of requests that is broken since entries on both sides of a
	// change of the leader get turns for the same time.
	It("keeps the limits of requests over the loss of the leader, and tells all entries", func() {
		var entries []*node
		limits := make([]atomic.Pointer[[]regulator.ServerLimit], 3)
		for i := range 3 {
			n := g.node(fmt.Sprint("entry-", i), fmt.Sprintf("d%d", i+1), distributor.ScopeEntry, func(s *subscriber.Settings) {
				shortLease(s)
				s.OnLimits = func(l []regulator.ServerLimit) { limits[i].Store(&l) }
			})
			DeferCleanup(n.Close)
			entries = append(entries, n)
		}
		const rate = 20.0
		var sent []time.Time
		reserve := func(e *node) bool {
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			answer, err := e.Reserve(callCtx, regulator.Reserve{Server: "s", Incarnation: "i", Rate: rate, Heard: true, SlackMillis: 300, MaxWaitMillis: 300})
			if err == nil && answer.Granted {
				sent = append(sent, time.Now().Add(time.Duration(answer.WaitMillis)*time.Millisecond))
			}
			return err == nil
		}
		drain := func(atLeast int) {
			from := len(sent)
			Eventually(func() int {
				for _, e := range entries {
					reserve(e)
				}
				return len(sent) - from
			}, longTimeout, "5ms").Should(BeNumerically(">=", atLeast))
		}
		began := time.Now()
		drain(10)
		for i := range limits {
			Eventually(func() []regulator.ServerLimit {
				if l := limits[i].Load(); l != nil {
					return *l
				}
				return nil
			}, eventuallyTimeout).Should(Equal([]regulator.ServerLimit{{Server: "s", Incarnation: "i", Rate: rate}}))
		}
		Expect(g.kill(g.leader())).To(Succeed())
		drain(10)
		last := slices.MaxFunc(sent, time.Time.Compare)
		// A turn is at most 300 ms ahead, and the burst is 5 requests.
		allowed := rate*last.Sub(began).Seconds() + 2*5 + rate*0.3
		Expect(float64(len(sent))).To(BeNumerically("<=", allowed+1))
	})

	// Guards against leases that are identified by name only. A companion is suspended,
	// another incarnation joins under its name, and the first one resumes and renews; it
	// would continue to send orders with an old fencing number.
	It("notifies an old incarnation that its membership is void", func() {
		old, lease := join("backend", "d1")
		ends := heartbeats(old, lease)
		fresh := g.node("backend-again", "d2", distributor.ScopeCompanion, shortLease)
		DeferCleanup(fresh.Close)
		later, err := fresh.Join(ctx, "backend", member("d2", "i2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(later.Epoch).To(BeNumerically(">", lease.Epoch))
		Eventually(ends.Load, eventuallyTimeout).Should(BeNumerically(">", 0))
		_, err = old.Join(ctx, "backend", member("d1", "i1"))
		Expect(err).To(MatchError(subscriber.ErrStale))
	})

	// Guards against a leader that grants permits without knowing of one that is in use.
	// A companion holds a permit, the leader dies, and another companion requests a
	// permit from the new leader; two loads would run at once, each at half speed.
	It("grants no second permit while one of the previous leader is in use", func() {
		first, firstLease := join("backend-1", "d1")
		heartbeats(first, firstLease)
		second, secondLease := join("backend-2", "d2")
		heartbeats(second, secondLease)
		held, err := first.RequestPermit(ctx, permitter.Request{Companion: "backend-1", Workspace: "w", Version: "w/a@1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(g.kill(g.leader())).To(Succeed())

		var finished atomic.Bool
		granted := make(chan bool, 1)
		go func() {
			waiting, cancel := context.WithTimeout(ctx, eventuallyTimeout)
			defer cancel()
			grant, err := second.RequestPermit(waiting, permitter.Request{Companion: "backend-2", Workspace: "w", Version: "w/b@1"})
			granted <- err == nil && finished.Load() && grant.Number > held.Number
		}()
		Eventually(g.leader, eventuallyTimeout).ShouldNot(Equal(-1))
		// If the new leader granted the request at once, as the store's rate permits, the
		// request would never be counted as waiting.
		Eventually(func() float64 { return g.gauge(g.leader(), "marigoldpoint_control_permits_waiting") }, eventuallyTimeout).
			Should(BeEquivalentTo(1))
		Expect(granted).NotTo(Receive())
		finished.Store(true)
		first.FinishPermit(held)
		Eventually(granted, eventuallyTimeout).Should(Receive(BeTrue()))
	})

	// Guards against nothing loading until a permit expires. A companion loads for several
	// heartbeats and loses its control host, and with it the message that the load has ended.
	It("grants the next permit although the message that finishes one is lost", func() {
		follower := (g.leader() + 1) % len(g.hosts)
		backend, lease := join("backend", g.hosts[follower].FailureDomain)
		Eventually(backend.Host, eventuallyTimeout).Should(Equal(g.hosts[follower].Address))
		heartbeats(backend, lease)
		request := func(version string, timeout time.Duration) (permitter.Grant, error) {
			waiting, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return backend.RequestPermit(waiting, permitter.Request{Companion: "backend", Workspace: "w", Version: version})
		}
		held, err := request("w/a@1", eventuallyTimeout)
		Expect(err).NotTo(HaveOccurred())
		_, err = request("w/b@1", memberLease/2)
		Expect(err).To(MatchError(subscriber.ErrUnavailable))
		Expect(g.kill(follower)).To(Succeed())
		backend.FinishPermit(held)
		_, err = request("w/b@1", eventuallyTimeout)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against nothing loading until a permit expires. A companion withdraws a request
	// while there is no leader; its control host repeats the request at the next one.
	It("grants the next permit although one was withdrawn while there was no leader", func() {
		old := g.leader()
		follower := (old + 1) % len(g.hosts)
		holder, holderLease := join("holder", g.hosts[follower].FailureDomain)
		heartbeats(holder, holderLease)
		backend, lease := join("backend", g.hosts[follower].FailureDomain)
		heartbeats(backend, lease)
		Eventually(backend.Host, eventuallyTimeout).Should(Equal(g.hosts[follower].Address))
		request := func(ctx context.Context, version string) error {
			grant, err := backend.RequestPermit(ctx, permitter.Request{Companion: "backend", Workspace: "w", Version: version, Waiters: 1})
			if err == nil {
				backend.FinishPermit(grant)
			}
			return err
		}
		held, err := holder.RequestPermit(ctx, permitter.Request{Companion: "holder", Workspace: "w", Version: "w/h@1"})
		Expect(err).NotTo(HaveOccurred())

		Expect(g.kill(old)).To(Succeed())
		var withdrawn []chan error
		for i := range 4 {
			waiting, withdraw := context.WithCancel(ctx)
			answered := make(chan error, 1)
			go func() { answered <- request(waiting, fmt.Sprintf("w/a%d@1", i)) }()
			Consistently(answered, "20ms").ShouldNot(Receive())
			withdraw()
			withdrawn = append(withdrawn, answered)
		}
		for _, answered := range withdrawn {
			Eventually(answered, eventuallyTimeout).Should(Receive(HaveOccurred()))
		}
		Eventually(g.leader, eventuallyTimeout).ShouldNot(Equal(-1))
		holder.FinishPermit(held)
		waiting, cancel := context.WithTimeout(ctx, eventuallyTimeout)
		defer cancel()
		for i := range 4 {
			Expect(request(waiting, fmt.Sprintf("w/b%d@1", i))).To(Succeed())
		}
	})

	// Guards against a partitioned host that renews configuration leases. The leader is
	// cut off from the other hosts but not from the entry, and the others elect a new
	// leader and accept a change; the entry would apply the replaced rules, and be ready,
	// for as long as the partition lasts.
	It("lets the configuration leases of nodes expire at a partitioned leader", func() {
		cutOff := g.leader()
		stuck := g.node("stuck", "d1", distributor.ScopeEntry, func(s *subscriber.Settings) {
			shortLease(s)
			s.Hosts = g.hosts[cutOff : cutOff+1]
		})
		DeferCleanup(stuck.Close)
		free := g.node("free", g.hosts[cutOff].FailureDomain, distributor.ScopeEntry, shortLease)
		DeferCleanup(free.Close)
		Eventually(stuck.LeaseValid, eventuallyTimeout).Should(BeTrue())
		Eventually(free.LeaseValid, eventuallyTimeout).Should(BeTrue())

		for i, h := range g.hosts {
			if i != cutOff {
				g.network.set(nodeName(g.hosts[cutOff].ID), h.Address, true)
				g.network.set(nodeName(h.ID), g.hosts[cutOff].Address, true)
			}
		}
		Eventually(stuck.LeaseValid, eventuallyTimeout).Should(BeFalse())
		result, err := putWorkspace(free, "after", 1)
		Expect(err).NotTo(HaveOccurred())
		Eventually(free.index.Revision, eventuallyTimeout).Should(BeNumerically(">=", result.Revision))
		Eventually(free.LeaseValid, eventuallyTimeout).Should(BeTrue())
		Expect(stuck.index.Revision()).To(BeNumerically("<", result.Revision))
		Expect(stuck.LeaseValid()).To(BeFalse())

		for i, h := range g.hosts {
			g.network.set(nodeName(g.hosts[cutOff].ID), h.Address, false)
			g.network.set(nodeName(g.hosts[i].ID), g.hosts[cutOff].Address, false)
		}
		Eventually(stuck.index.Revision, eventuallyTimeout).Should(BeNumerically(">=", result.Revision))
		Eventually(stuck.LeaseValid, eventuallyTimeout).Should(BeTrue())
	})

	// Guards against waiting for an error of a connection that never comes. A middlebox
	// forgets the connection and discards everything written to it, without a FIN or RST;
	// the entry would receive no updates for minutes although new connections work.
	It("detects a silent connection and subscribes on a new one", func() {
		entry := g.node("entry", "d1", distributor.ScopeEntry, func(s *subscriber.Settings) {
			shortLease(s)
			s.Dial = g.network.silenceable(s.Dial)
		})
		DeferCleanup(entry.Close)
		Eventually(entry.LeaseValid, eventuallyTimeout).Should(BeTrue())
		g.network.silenceAll()
		writer := g.node("writer", "d2", distributor.ScopeEntry, shortLease)
		DeferCleanup(writer.Close)
		result, err := putWorkspace(writer, "w", 1)
		Expect(err).NotTo(HaveOccurred())
		Eventually(entry.index.Revision, eventuallyTimeout).Should(BeNumerically(">=", result.Revision))
	})

	It("reads at a follower everything accepted before, and lists in pages", func() {
		entry := g.node("entry", g.hosts[(g.leader()+1)%3].FailureDomain, distributor.ScopeEntry, shortLease)
		DeferCleanup(entry.Close)
		for i := range 5 {
			name := fmt.Sprintf("w%d", i)
			_, err := putWorkspace(entry, name, i+1)
			Expect(err).NotTo(HaveOccurred())
			r, found, _, err := entry.Get(ctx, storer.Key{Kind: storer.KindWorkspace, Workspace: name, Name: name})
			Expect(err).NotTo(HaveOccurred())
			Expect(found).To(BeTrue())
			Expect(r.Spec).To(Equal(storer.WorkspaceSpec{Share: i + 1}))
		}
		all, revision, err := entry.List(ctx, storer.KindWorkspace, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(HaveLen(5))
		changes, upTo, err := entry.Since(ctx, revision-1, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(HaveLen(1))
		Expect(upTo).To(Equal(revision))
	})

	// Guards against a repair that takes a new disk for the old one. A follower loses its
	// disk, operators remove it and add a new host with an empty disk, and another of the
	// old hosts is lost permanently; the group would have stayed one voter short and lose
	// its quorum.
	It("replaces a host that lost its disk, through the operators' listener, and tolerates another loss", func() {
		entry := g.node("entry", "d1", distributor.ScopeEntry, shortLease)
		DeferCleanup(entry.Close)
		handler := controller.Administration(entry, func(err error) bool { return errors.Is(err, subscriber.ErrNotAccepted) })
		operate := func(method, path, body string) int {
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, httptest.NewRequest(method, controller.AdministrationPath+path, strings.NewReader(body)))
			return answer.Code
		}
		before, err := putWorkspace(entry, "before", 1)
		Expect(err).NotTo(HaveOccurred())
		lost := (g.leader() + 1) % 3
		Expect(g.kill(lost)).To(Succeed())
		Expect(os.RemoveAll(filepath.Join(g.folder, nodeName(g.hosts[lost].ID)))).To(Succeed())
		Expect(operate("DELETE", fmt.Sprintf("/hosts/%d", g.hosts[lost].ID), "")).To(Equal(200))

		l := listen()
		g.hosts = append(g.hosts, configurer.ControlHost{ID: 4, Address: l.Addr().String(), FailureDomain: "d4", Region: "r"})
		g.controls, g.metrics = append(g.controls, nil), append(g.metrics, nil)
		g.adjust = func(s *controller.Settings) {
			shortLeases(s)
			s.Control.Bootstrap, s.Control.Join = false, true
		}
		Expect(g.start(3, l)).To(Succeed())
		body := fmt.Sprintf(`{"Address":%q,"FailureDomain":"d4","Voter":true}`, l.Addr())
		Expect(operate("PUT", "/hosts/4", body)).To(Equal(200))

		Expect(g.kill(g.leader())).To(Succeed())
		again := g.node("again", "d4", distributor.ScopeEntry, shortLease)
		DeferCleanup(again.Close)
		after, err := putWorkspace(again, "after", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Revision).To(BeNumerically(">", before.Revision))
		_, found, _, err := again.Get(ctx, storer.Key{Kind: storer.KindWorkspace, Workspace: "before", Name: "before"})
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
	})

	// Guards against connections closed during calls, and an election timeout without a
	// leader, at a planned stop. A node writes, without idempotency keys, through the
	// leader's host while that host is stopped as planned; changes would end with an
	// unknown outcome at each upgrade.
	It("loses no change at a planned stop of the leader", func() {
		old := g.leader()
		entry := g.node("entry", g.hosts[old].FailureDomain, distributor.ScopeEntry, shortLease)
		DeferCleanup(entry.Close)
		Eventually(entry.Host, eventuallyTimeout).Should(Equal(g.hosts[old].Address))
		stopped := make(chan struct{})
		var outcomes []error
		var writer sync.WaitGroup
		writer.Go(func() {
			for i := 0; ; i++ {
				_, err := entry.Propose(ctx, storer.Envelope{Command: storer.PutResource{Resource: storer.Resource{
					Kind: storer.KindWorkspace, Metadata: storer.Metadata{Workspace: "w", Name: "w"},
					Spec: storer.WorkspaceSpec{Share: i%1000 + 1},
				}}})
				outcomes = append(outcomes, err)
				select {
				case <-stopped:
					return
				default:
				}
			}
		})
		bound, cancel := context.WithTimeout(ctx, eventuallyTimeout)
		defer cancel()
		Expect(g.controls[old].Stop(bound)).To(Succeed())
		Expect(g.kill(old)).To(Succeed())
		close(stopped)
		writer.Wait()
		for _, err := range outcomes {
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
