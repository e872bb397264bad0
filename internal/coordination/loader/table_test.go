package loader

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A slot table", func() {
	It("makes a pin that races with an eviction wait for the reload", func() {
		// Guards against a review failing in mid-answer with "adapter unloaded". The
		// last request for a ends and the load of b evicts a; while the unload order is
		// in flight, a new request for a arrives and runs on the old slot. The fault
		// was that residency and pins were checked separately.
		t := newTable(Settings{Slots: 1})
		loadAndPin(t, start, "r1", "w/a@1")
		t.Release(start, "r1")
		single[PermitAction](t.Want(start, want("r2", "w/b@1")))
		unload := single[UnloadAction](t.Permitted(start, "w/b@1"))
		Expect(t.Want(start, want("r3", "w/a@1"))).To(BeEmpty())
		Expect(t.Pin("r3")).To(BeFalse())

		single[LoadAction](t.Unloaded(start, unload.Version, unload.Fence, OutcomeDone))
		Expect(t.Phase("w/a@1")).To(Equal(PhaseEmpty))
		Expect(t.Stats().Regrets).To(Equal(uint64(1)))
	})

	It("completes a load after its waiting request has left", func() {
		// Guards against an adapter being loaded repeatedly without being used. The
		// caller disconnects while its adapter loads, the result is discarded, and the
		// caller's next attempt waits for another load. The fault was that a load
		// belonged to its first waiter.
		t := newTable(Settings{Slots: 1})
		single[PermitAction](t.Want(start, want("r1", "w/a@1")))
		load := single[LoadAction](t.Permitted(start, "w/a@1"))
		t.Release(start, "r1")
		single[ReadyAction](t.Loaded(start.Add(time.Second), "w/a@1", load.Fence, OutcomeDone, ""))
		Expect(t.Want(start.Add(2*time.Second), want("r2", "w/a@1"))).To(BeEmpty())
		Expect(t.Pin("r2")).To(BeTrue())
		Expect(t.Stats().Loads).To(Equal(uint64(1)))
	})

	It("backs off from a load that fails repeatedly, and fails its waiting requests", func() {
		// Guards against all loads slowing down while one adapter's weights are broken.
		// Without back-off each failure is followed immediately by the next attempt,
		// because the waiting requests keep the load wanted.
		t := newTable(Settings{Slots: 1, BackoffInitial: time.Second, BackoffMax: 8 * time.Second})
		now := start
		for i := range 6 {
			request := fmt.Sprint("r", i)
			single[PermitAction](t.Want(now, want(request, "w/a@1")))
			load := single[LoadAction](t.Permitted(now, "w/a@1"))
			f := single[FailAction](t.Loaded(now, "w/a@1", load.Fence, OutcomeFailed, "broken weights"))
			Expect(f.Request).To(Equal(request))
			longest := min(8*time.Second, time.Second<<i)
			Expect(f.RetryAfter).To(And(BeNumerically(">=", longest/2), BeNumerically("<=", longest)))
			single[FailAction](t.Want(now.Add(f.RetryAfter/2), want("early", "w/a@1")))
			now = now.Add(f.RetryAfter)
		}
	})

	It("discards residency, pins and orders when the engine restarts empty", func() {
		// Guards against requests running with an adapter that the engine no longer
		// has. The engine restarts while r1 runs, the load of b is in flight and c
		// waits. The fault was that residency was kept beyond the incarnation in which
		// it was established.
		t := newTable(Settings{Slots: 2, MaxPermits: 1})
		loadAndPin(t, start, "r1", "w/a@1")
		single[PermitAction](t.Want(start, want("r2", "w/b@1")))
		load := single[LoadAction](t.Permitted(start, "w/b@1"))
		actions := t.Restarted(start)
		Expect(single[LostAction](actions).Request).To(Equal("r1"))
		Expect(single[PermitAction](actions).Version).To(Equal("w/b@1"))
		Expect(t.Loaded(start, "w/b@1", load.Fence, OutcomeDone, "")).To(BeEmpty(), "an outcome from the previous incarnation")
		Expect(t.Phase("w/b@1")).To(Equal(PhaseEmpty))
		Expect(single[LoadAction](t.Permitted(start, "w/b@1")).Fence).To(BeNumerically(">", load.Fence))
	})

	It("does not reload while an abandoned unload may still take effect", func() {
		// Guards against an adapter being unloaded under a request. The connection of
		// an unload order breaks; the engine, which ignores fencing numbers, is
		// observed without the adapter; the adapter is loaded and pinned again; then
		// the second transmission of the unload order arrives. The fault was to infer
		// from the absence of the adapter that no order was in flight.
		t := newTable(Settings{Slots: 1, OrderLife: 30 * time.Second})
		loadAndPin(t, start, "r1", "w/a@1")
		t.Release(start, "r1")
		t.Want(start, want("r2", "w/b@1"))
		unload := single[UnloadAction](t.Permitted(start, "w/b@1"))
		single[ReadStateAction](t.Unloaded(start, "w/a@1", unload.Fence, OutcomeUnknown))
		load := single[LoadAction](t.Observe(start, t.Sequence(), nil))
		Expect(load.Version).To(Equal("w/b@1"))
		t.Loaded(start, "w/b@1", load.Fence, OutcomeDone, "")
		t.Release(start, "r2")
		Expect(single[FailAction](t.Want(start, want("r3", "w/a@1"))).RetryAfter).To(Equal(30 * time.Second))
		single[PermitAction](t.Want(start.Add(30*time.Second), want("r4", "w/a@1")))
	})

	It("treats the requests of an earlier companion as pins until the engine has finished them", func() {
		// Guards against a running review being cut off after a restart of the
		// companion. The new companion finds the slots full and evicts an adapter that
		// the engine still uses for a request of the old one. The fault was that the
		// table started without pins.
		t := newTable(Settings{Slots: 1})
		t.Adopt(start, []ObservedSlot{{Version: "w/a@1", InUse: 1}})
		Expect(t.Want(start, want("r1", "w/b@1"))).To(BeEmpty())
		Expect(t.Observe(start, t.Sequence(), []ObservedSlot{{Version: "w/a@1", InUse: 1}})).To(BeEmpty())
		single[PermitAction](t.Observe(start, t.Sequence(), []ObservedSlot{{Version: "w/a@1"}}))
		single[UnloadAction](t.Permitted(start, "w/b@1"))
	})

	It("serves a quiet call during a rush over hundreds of cold adapters", func() {
		// Guards against a lookup waiting for minutes while a batch job of another
		// workspace uses hundreds of adapters: the rush holds all slots and the first
		// place for each load. The fault was that loads were ordered by arrival,
		// regardless of the workspace.
		for _, policy := range []Policy{PolicyDemand, PolicyLeastRecentlyUsed} {
			s := &driver{table: newTable(Settings{Slots: 4, Policy: policy}), now: start, runTime: 2 * time.Second}
			for i := range 150 {
				s.want(want(fmt.Sprint("rush", i), fmt.Sprintf("rush/a%d@1", i)))
			}
			s.run(20 * time.Second)
			s.want(want("quiet", "quiet/q@1"))
			from := s.now
			s.run(3 * time.Minute)
			waited := s.pinnedAt["quiet"].Sub(from)
			if policy == PolicyDemand {
				Expect(waited).To(BeNumerically("<", 5*time.Second))
				Expect(s.pinnedAt).To(HaveLen(151))
			} else {
				Expect(waited).To(BeNumerically(">", 30*time.Second), "the baseline has the fault")
			}
		}
	})

	It("requests a permit for a quiet call while a rush has reached its limit of permits", func() {
		// Guards against a lookup waiting 2.3 s on average for its load during a rush,
		// although the control leader grants its permit 0.2 s after the request. Two
		// adapters of the rush request permits and are far back in the rush's own queue
		// when the lookup reaches the same engine. The fault was that permits awaited
		// by other workspaces counted towards MaxPermits, and their slots as promised.
		t := newTable(Settings{Slots: 4, MaxPermits: 2})
		for i := range 3 {
			single[ReadyAction](t.resident(start, t.version(want("", fmt.Sprintf("other/a%d@1", i))), nil))
		}
		single[PermitAction](t.Want(start, want("r1", "rush/a@1")))
		single[PermitAction](t.Want(start, want("r2", "rush/b@1")))
		Expect(t.Want(start, want("r3", "rush/c@1"))).To(BeEmpty(), "the rush has reached its limit of two")
		single[PermitAction](t.Want(start, want("quiet", "quiet/q@1")))
		single[LoadAction](t.Permitted(start, "quiet/q@1"))

		// Loads in progress still count for all workspaces.
		single[UnloadAction](t.Permitted(start, "rush/a@1"))
		Expect(t.Want(start, want("quiet2", "quiet/r@1"))).To(BeEmpty())
	})

	It("withdraws the request for a permit when all its callers have left", func() {
		// Guards against the store being idle during a rush while hundreds of adapters
		// wait. A call reaches its deadline while it waits for a permit; the permit
		// arrives and is returned. The fault was that a permit request outlived the
		// calls it was made for.
		t := newTable(Settings{Slots: 2, MaxPermits: 1, Prefetch: true})
		single[PermitAction](t.Want(start, want("r1", "w/a@1")))
		t.Want(start, want("r2", "w/a@1"))
		Expect(t.Release(start, "r1")).To(BeEmpty(), "r2 waits")
		Expect(single[WithdrawAction](t.Release(start, "r2")).Version).To(Equal("w/a@1"))
		Expect(t.Want(start, want("r3", "w/b@1"))).To(BeEmpty())
		Expect(single[PermitAction](t.Withdrawn(start, "w/a@1")).Version).To(Equal("w/b@1"))

		// A permit request for a prefetch ranks behind all others, so it is renewed for
		// a call.
		t = newTable(Settings{Slots: 1, Prefetch: true})
		for i := range 4 {
			single[PermitAction](t.Want(start, want(fmt.Sprint("r", i), "w/a@1")))
			t.Release(start, fmt.Sprint("r", i))
			t.Withdrawn(start, "w/a@1")
		}
		Expect(single[PermitAction](t.Tick(start)).Waiters).To(BeZero())
		single[WithdrawAction](t.Want(start, want("r5", "w/a@1")))
		Expect(single[PermitAction](t.Withdrawn(start, "w/a@1")).Waiters).To(Equal(1))
	})

	It("keeps a slot for other workspaces while a rush pins all slots it may hold for 30 s", func() {
		// Guards against a quiet call waiting for the end of another workspace's
		// request: long requests of the rush pin every slot, and a pinned slot cannot
		// be freed, however fairly loads are ordered.
		s := &driver{table: newTable(Settings{Slots: 4}), now: start, runTime: 30 * time.Second}
		s.want(want("before", "quiet/q@1"))
		s.run(40 * time.Second)
		for i := range 20 {
			s.want(want(fmt.Sprint("rush", i), fmt.Sprintf("rush/a%d@1", i)))
		}
		s.run(10 * time.Second)
		from := s.now
		s.want(want("quiet", "quiet/r@1"))
		s.run(5 * time.Second)
		Expect(s.pinnedAt["quiet"].Sub(from)).To(And(BeNumerically(">=", 0), BeNumerically("<", time.Second)))
	})

	It("gives a slot to a cold adapter while hot ones always have waiting requests", func() {
		// Guards against requests for one adapter never running although the engine is
		// healthy. The adapter in every slot always has another request waiting. The
		// fault was that a version with waiting requests was never evicted, without any
		// time limit.
		s := &driver{table: newTable(Settings{Slots: 2}), now: start, runTime: time.Second}
		for i := range 200 {
			s.want(want(fmt.Sprint("a", i), "w/a@1"))
			s.want(want(fmt.Sprint("b", i), "w/b@1"))
		}
		s.batch = 4
		s.want(want("cold", "w/cold@1"))
		s.run(3 * time.Minute)
		Expect(s.pinnedAt["cold"].Sub(start)).To(BeNumerically("<", DefaultSlotWaitTimeout+5*time.Second))
		Expect(s.pinnedAt).To(HaveLen(401))
	})

	It("prefetches an adapter in rising demand, but only while the store is idle", func() {
		t := newTable(Settings{Slots: 1, Prefetch: true})
		loadAndPin(t, start, "r1", "w/a@1")
		for i := range 8 {
			request := fmt.Sprint("b", i)
			t.Want(start, want(request, "w/b@1"))
			t.Release(start, request)
		}
		Expect(t.Tick(start)).To(BeEmpty(), "a is pinned")
		t.Release(start, "r1")
		Expect(single[PermitAction](t.Tick(start)).Waiters).To(BeZero())
		single[UnloadAction](t.Permitted(start, "w/b@1"))
	})
})
