package loader

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A slot table", func() {
	It("makes a pin that races an eviction wait for the reload", func() {
		// Symptom: a title review fails in mid-answer, "adapter unloaded".
		// Events: a's last request ends; b's load evicts a; the order to unload is
		// on its way when a new request for a arrives and runs on the old slot.
		// Cause: residency and pins were looked at apart.
		t := newTable(Settings{Slots: 1})
		loadNow(t, start, "r1", "w/a@1")
		t.Release(start, "r1")
		only[PermitAction](t.Want(start, want("r2", "w/b@1")))
		unload := only[UnloadAction](t.Permitted(start, "w/b@1"))
		Expect(t.Want(start, want("r3", "w/a@1"))).To(BeEmpty())
		Expect(t.Pin("r3")).To(BeFalse())

		only[LoadAction](t.Unloaded(start, unload.Version, unload.Fence, OutcomeDone))
		Expect(t.Phase("w/a@1")).To(Equal(PhaseEmpty))
		Expect(t.Stats().Regrets).To(Equal(uint64(1)))
	})

	It("keeps a load whose waiter has left", func() {
		// Symptom: an adapter is loaded again and again and never used.
		// Events: the caller gives up while its adapter loads; the result is thrown
		// away; the caller's next try waits for a load again.
		// Cause: the load belonged to its first waiter.
		t := newTable(Settings{Slots: 1})
		only[PermitAction](t.Want(start, want("r1", "w/a@1")))
		load := only[LoadAction](t.Permitted(start, "w/a@1"))
		t.Release(start, "r1")
		only[ReadyAction](t.Loaded(start.Add(time.Second), "w/a@1", load.Fence, OutcomeDone, ""))
		Expect(t.Want(start.Add(2*time.Second), want("r2", "w/a@1"))).To(BeEmpty())
		Expect(t.Pin("r2")).To(BeTrue())
		Expect(t.Stats().Loads).To(Equal(uint64(1)))
	})

	It("backs off from a load that fails again and again, and tells its waiters", func() {
		// Symptom: all loads slow down while one adapter's weights are broken.
		// Events: each failure is followed by the next try at once.
		// Cause: no back-off; the waiters kept the load wanted.
		t := newTable(Settings{Slots: 1, BackoffInitial: time.Second, BackoffMax: 8 * time.Second})
		now := start
		for i := range 6 {
			request := fmt.Sprint("r", i)
			only[PermitAction](t.Want(now, want(request, "w/a@1")))
			load := only[LoadAction](t.Permitted(now, "w/a@1"))
			f := only[FailAction](t.Loaded(now, "w/a@1", load.Fence, OutcomeFailed, "broken weights"))
			Expect(f.Request).To(Equal(request))
			longest := min(8*time.Second, time.Second<<i)
			Expect(f.RetryAfter).To(And(BeNumerically(">=", longest/2), BeNumerically("<=", longest)))
			only[FailAction](t.Want(now.Add(f.RetryAfter/2), want("early", "w/a@1")))
			now = now.Add(f.RetryAfter)
		}
	})

	It("voids everything when the engine restarts empty", func() {
		// Symptom: requests run at an adapter that the engine no longer has.
		// Events: the engine restarts while r1 runs, b's load is out and c waits.
		// Cause: residency outlived the incarnation that it was a fact of.
		t := newTable(Settings{Slots: 2, MaxPermits: 1})
		loadNow(t, start, "r1", "w/a@1")
		only[PermitAction](t.Want(start, want("r2", "w/b@1")))
		load := only[LoadAction](t.Permitted(start, "w/b@1"))
		actions := t.Restarted(start)
		Expect(only[LostAction](actions).Request).To(Equal("r1"))
		Expect(only[PermitAction](actions).Version).To(Equal("w/b@1"))
		Expect(t.Loaded(start, "w/b@1", load.Fence, OutcomeDone, "")).To(BeEmpty(), "an answer from the former life")
		Expect(t.Phase("w/b@1")).To(Equal(PhaseEmpty))
		Expect(only[LoadAction](t.Permitted(start, "w/b@1")).Fence).To(BeNumerically(">", load.Fence))
	})

	It("does not reload while a given-up unload may still arrive", func() {
		// Symptom: an adapter vanishes under a review with no unload in the events.
		// Events: an unload's connection breaks; the engine, which ignores fencing
		// numbers, is seen without the adapter; it is loaded and pinned again; the
		// unload, sent twice by then, arrives the second time.
		// Cause: "absent" was taken for "no order left on its way".
		t := newTable(Settings{Slots: 1, OrderLife: 30 * time.Second})
		loadNow(t, start, "r1", "w/a@1")
		t.Release(start, "r1")
		t.Want(start, want("r2", "w/b@1"))
		unload := only[UnloadAction](t.Permitted(start, "w/b@1"))
		only[ReadStateAction](t.Unloaded(start, "w/a@1", unload.Fence, OutcomeUnknown))
		load := only[LoadAction](t.Observe(start, t.Sequence(), nil))
		Expect(load.Version).To(Equal("w/b@1"))
		t.Loaded(start, "w/b@1", load.Fence, OutcomeDone, "")
		t.Release(start, "r2")
		Expect(only[FailAction](t.Want(start, want("r3", "w/a@1"))).RetryAfter).To(Equal(30 * time.Second))
		only[PermitAction](t.Want(start.Add(30*time.Second), want("r4", "w/a@1")))
	})

	It("treats the requests of an earlier companion as pins until the engine is done with them", func() {
		// Symptom: after a companion's restart a running review is cut off.
		// Events: the new companion finds the slots full and evicts an adapter that
		// the engine still uses for a request of the old one.
		// Cause: the table began without pins.
		t := newTable(Settings{Slots: 1})
		t.Adopt(start, []ObservedSlot{{Version: "w/a@1", InUse: 1}})
		Expect(t.Want(start, want("r1", "w/b@1"))).To(BeEmpty())
		Expect(t.Observe(start, t.Sequence(), []ObservedSlot{{Version: "w/a@1", InUse: 1}})).To(BeEmpty())
		only[PermitAction](t.Observe(start, t.Sequence(), []ObservedSlot{{Version: "w/a@1"}}))
		only[UnloadAction](t.Permitted(start, "w/b@1"))
	})

	It("serves one quiet call beside a rush over hundreds of cold adapters", func() {
		// Symptom: one lookup waits for minutes while another workspace's batch job
		// touches hundreds of adapters.
		// Events: the rush holds all slots and the first place for each load.
		// Cause: loads went by arrival, whatever the workspace.
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
				Expect(waited).To(BeNumerically(">", 30*time.Second), "the baseline shows the fault")
			}
		}
	})

	It("asks for a quiet call's permit though a rush waits for as many as it may", func() {
		// Symptom: in a rush a lookup waits for its load 2.3 s in the mean, though the
		// control leader grants its permit 0.2 s after it is asked for.
		// Events: two adapters of the rush ask for permits and stand far down the
		// rush's own line; the lookup comes to the same engine.
		// Cause: MaxPermits counted what other workspaces wait for, and so did the
		// slots that were thought promised.
		t := newTable(Settings{Slots: 4, MaxPermits: 2})
		for i := range 3 {
			only[ReadyAction](t.resident(start, t.version(want("", fmt.Sprintf("other/a%d@1", i))), nil))
		}
		only[PermitAction](t.Want(start, want("r1", "rush/a@1")))
		only[PermitAction](t.Want(start, want("r2", "rush/b@1")))
		Expect(t.Want(start, want("r3", "rush/c@1"))).To(BeEmpty(), "the rush has its two")
		only[PermitAction](t.Want(start, want("quiet", "quiet/q@1")))
		only[LoadAction](t.Permitted(start, "quiet/q@1"))

		// What is under way still counts for all.
		only[UnloadAction](t.Permitted(start, "rush/a@1"))
		Expect(t.Want(start, want("quiet2", "quiet/r@1"))).To(BeEmpty())
	})

	It("takes the request for a permit back when all its callers have left", func() {
		// Symptom: in a rush the store stands idle while hundreds of adapters wait.
		// Events: a call passes its deadline while it waits for a permit; the permit
		// comes and is given back.
		// Cause: a request for a permit outlived the calls that it was made for.
		t := newTable(Settings{Slots: 2, MaxPermits: 1, Prefetch: true})
		only[PermitAction](t.Want(start, want("r1", "w/a@1")))
		t.Want(start, want("r2", "w/a@1"))
		Expect(t.Release(start, "r1")).To(BeEmpty(), "r2 waits")
		Expect(only[WithdrawAction](t.Release(start, "r2")).Version).To(Equal("w/a@1"))
		Expect(t.Want(start, want("r3", "w/b@1"))).To(BeEmpty())
		Expect(only[PermitAction](t.Withdrawn(start, "w/a@1")).Version).To(Equal("w/b@1"))

		// One for a prefetch stands behind all others: it is made anew for a call.
		t = newTable(Settings{Slots: 1, Prefetch: true})
		for i := range 4 {
			only[PermitAction](t.Want(start, want(fmt.Sprint("r", i), "w/a@1")))
			t.Release(start, fmt.Sprint("r", i))
			t.Withdrawn(start, "w/a@1")
		}
		Expect(only[PermitAction](t.Tick(start)).Waiters).To(BeZero())
		only[WithdrawAction](t.Want(start, want("r5", "w/a@1")))
		Expect(only[PermitAction](t.Withdrawn(start, "w/a@1")).Waiters).To(Equal(1))
	})

	It("leaves a slot to others though a rush has requests of half a minute on all it may hold", func() {
		// Symptom: a quiet call waits for the end of some other workspace's request.
		// Events: long requests of the rush pin every slot.
		// Cause: a pinned slot can't be had, however fair the loads are.
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

	It("gives a slot to a cold adapter though hot ones never lack requests", func() {
		// Symptom: requests for one adapter never run although the engine is well.
		// Events: every slot's adapter always has a next request waiting.
		// Cause: a version with waiters is never a victim, without an end to it.
		s := &driver{table: newTable(Settings{Slots: 2}), now: start, runTime: time.Second}
		for i := range 200 {
			s.want(want(fmt.Sprint("a", i), "w/a@1"))
			s.want(want(fmt.Sprint("b", i), "w/b@1"))
		}
		s.batch = 4
		s.want(want("cold", "w/cold@1"))
		s.run(3 * time.Minute)
		Expect(s.pinnedAt["cold"].Sub(start)).To(BeNumerically("<", DefaultPatience+5*time.Second))
		Expect(s.pinnedAt).To(HaveLen(401))
	})

	It("loads an adapter that heats up while the store is idle, and only then", func() {
		t := newTable(Settings{Slots: 1, Prefetch: true})
		loadNow(t, start, "r1", "w/a@1")
		for i := range 8 {
			request := fmt.Sprint("b", i)
			t.Want(start, want(request, "w/b@1"))
			t.Release(start, request)
		}
		Expect(t.Tick(start)).To(BeEmpty(), "a is pinned")
		t.Release(start, "r1")
		Expect(only[PermitAction](t.Tick(start)).Waiters).To(BeZero())
		only[UnloadAction](t.Permitted(start, "w/b@1"))
	})
})
