package attendant_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/attendant"
)

// withEngine runs a test with an engine and its attendant, on synthetic time.
func withEngine(t *testing.T, test func(f *fixture, e *engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := newEngine()
		f := newFixture(t, e)
		defer f.close()
		advance(time.Second)
		test(f, e)
	})
}

// advance lets d of synthetic time pass and waits until all goroutines are blocked.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func (a *admission) mustBeAdmitted(t *testing.T, version uint64) {
	t.Helper()
	if !a.ended() || a.err != nil || a.admitted.Version != version {
		t.Fatalf("ended %t, version %d, error %v; want version %d", a.ended(), a.admitted.Version, a.err, version)
	}
}

func TestLoadsOnceForAll(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		a, b := f.admit("1", "a1", 1), f.admit("2", "a1", 1)
		advance(loadTime + 100*time.Millisecond)
		a.mustBeAdmitted(t, 1)
		b.mustBeAdmitted(t, 1)
		if n := e.ordered(attendant.OrderLoad, "a1"); n != 1 {
			t.Errorf("%d loads ordered, want 1", n)
		}
	})
}

// TestKeepsAdapterInUse guards against the eviction of an adapter under a running request:
// with both slots in use and a third adapter requested, the least recently used adapter was
// evicted whether or not it was in use.
func TestKeepsAdapterInUse(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		f.admit("1", "a1", 1)
		f.admit("2", "a2", 1)
		advance(time.Second)
		third := f.admit("3", "a3", 1)
		advance(time.Second)
		if third.ended() {
			t.Fatalf("admitted while two other adapters were in use: %v", third.err)
		}
		f.release("1")
		advance(time.Second)
		third.mustBeAdmitted(t, 1)
		if n := e.ordered(attendant.OrderUnload, "a2"); n != 0 {
			t.Error("the adapter in use was unloaded")
		}
	})
}

// TestUnexpectedAdapterInSlot guards against a crash of an engine that is ordered to hold
// more adapters than fit. An order that had timed out is carried out late and fills a slot;
// the companion, which has not polled the engine since, orders another adapter into it. The
// companion used to rely on its own count of slots.
func TestUnexpectedAdapterInSlot(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		f.admit("1", "a1", 1)
		advance(time.Second)
		e.mu.Lock()
		e.held["late"] = 1
		e.mu.Unlock()
		refused := f.admit("2", "a2", 1)
		advance(time.Second)
		if !refused.ended() {
			t.Fatal("the request still waits for a slot that is not free")
		}
		a := f.admit("3", "a2", 1)
		advance(time.Second)
		a.mustBeAdmitted(t, 1)
	})
}

// TestLateOrders guards against the loss of an adapter that was loaded a moment before. The
// answer to an order is lost and the order is repeated; seconds later, after newer orders,
// the first one is carried out. Orders did not name the sequence that they were based on.
func TestLateOrders(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		f.admit("1", "a1", 1)
		advance(time.Second)
		f.release("1")
		f.admit("2", "a2", 1)
		advance(time.Second)
		e.lostOrders, e.lostOrderDelay = 1, 3*time.Second
		// a1 must be evicted: the answer to the order to unload it is the one that is lost.
		third := f.admit("3", "a3", 1)
		advance(2 * time.Second)
		third.mustBeAdmitted(t, 1)
		f.release("2")
		f.release("3")
		again := f.admit("4", "a1", 1)
		advance(500 * time.Millisecond)
		again.mustBeAdmitted(t, 1)
		advance(5 * time.Second)
		r, _ := e.Report(t.Context())
		for _, a := range r.Models[0].Adapters {
			if a.Name == "a1" {
				return
			}
		}
		t.Error("a late order has unloaded an adapter in use")
	})
}

// TestNewVersionReplaces guards against requests that start on a version replaced seconds
// before, and against an order to hold two versions of an adapter. A request runs on
// version 1 when version 2 is published and requested. Versions of an adapter were treated
// as different adapters.
func TestNewVersionReplaces(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		old := f.admit("1", "a1", 1)
		advance(time.Second)
		old.mustBeAdmitted(t, 1)
		f.apply(storer.KindNewest, model+"/a1", storer.NewestSpec{Version: 2})
		waiting := f.admit("2", "a1", 1)
		newer := f.admit("3", "a1", 2)
		advance(time.Second)
		if waiting.ended() || newer.ended() {
			t.Fatal("admitted while the earlier version was in use")
		}
		f.release("1")
		advance(time.Second)
		waiting.mustBeAdmitted(t, 2)
		newer.mustBeAdmitted(t, 2)
	})
}

// TestRestart guards against an engine that serves nothing after a restart: it comes back
// empty, and nobody orders its model because the engine is assumed to still hold it.
func TestRestart(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		f.admit("1", "a1", 1)
		advance(time.Second)
		e.restart("i-2")
		f.announce("i-2", storer.MemberStateServing)
		advance(time.Second)
		f.release("1")
		again := f.admit("2", "a1", 1)
		advance(time.Second)
		again.mustBeAdmitted(t, 1)
	})
}

// TestEmptyEngineQueuesRequests guards against an uneven load after a power loss: all
// engines restart empty and load their model, and if each refuses requests until then, the
// first one back gets them all and prefills prompts for seconds while others are idle.
// Requests must be able to wait during the load.
func TestEmptyEngineQueuesRequests(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		e.restart("i-2")
		f.announce("i-2", storer.MemberStateServing)
		advance(attendant.DefaultObserveInterval + 10*time.Millisecond)
		a, plain := f.admit("1", "a1", 1), f.admit("2", "", 0)
		advance(time.Millisecond)
		if a.ended() || plain.ended() {
			t.Fatalf("ended before the model was loaded: %v, %v", a.err, plain.err)
		}
		advance(2 * loadTime)
		plain.mustBeAdmitted(t, 0)
		advance(loadTime + 100*time.Millisecond)
		a.mustBeAdmitted(t, 1)
	})
}

// TestRestartUnderLoad guards against an engine that stays without its model for seconds
// after a restart under load. Adapter loads in progress at the restart are ordered again
// and again, in vain without the model; orders that waited for the model blocked the order
// to load it.
func TestRestartUnderLoad(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		var all []*admission
		for i := range 6 {
			all = append(all, f.admit(fmt.Sprint("r", i), fmt.Sprint("a", i), 1))
		}
		advance(50 * time.Millisecond)
		e.restart("i-2")
		f.announce("i-2", storer.MemberStateServing)
		advance(attendant.DefaultObserveInterval + 2*loadTime + 200*time.Millisecond)
		r, err := e.Report(t.Context())
		if err != nil || len(r.Models) == 0 {
			t.Fatalf("the model was not loaded again: %v", err)
		}
		advance(loadTime)
		admitted := 0
		for _, a := range all {
			if a.ended() && a.err == nil {
				admitted++
			}
		}
		if admitted < slots {
			t.Errorf("%d requests admitted, want %d", admitted, slots)
		}
	})
}

// TestModelBeforeAnnouncement guards against engines that stay empty for a second after a
// power loss. An engine restarts while control, which restarts too, has not received its
// announcement; the order for the model named the previous incarnation and was refused.
func TestModelBeforeAnnouncement(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		e.restart("i-2")
		advance(2*attendant.DefaultObserveInterval + loadTime)
		r, err := e.Report(t.Context())
		if err != nil || len(r.Models) == 0 {
			t.Errorf("no model: %v", err)
		}
		f.announce("i-2", storer.MemberStateServing)
		advance(attendant.DefaultObserveInterval + 10*time.Millisecond)
		a := f.admit("1", "a1", 1)
		advance(time.Second)
		a.mustBeAdmitted(t, 1)
	})
}

// TestLeavingEngineRefusesWaiting guards against a request that reaches a backend server
// two seconds after that has announced that it is leaving: the request was waiting there
// for a slot, and only new requests were refused.
func TestLeavingEngineRefusesWaiting(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("1", "a1", 1)
		f.admit("2", "a2", 1)
		advance(time.Second)
		waits := f.admit("3", "a3", 1)
		advance(time.Second)
		f.announce("i-1", storer.MemberStateLeaving)
		advance(2 * attendant.DefaultObserveInterval)
		if !waits.ended() || waits.err == nil {
			t.Errorf("ended %t, error %v: want a refusal", waits.ended(), waits.err)
		}
	})
}

// TestDisconnectedEntryFreesSlots guards against slots that stay taken forever: an entry is
// killed, so its requests end without a release. Admissions must end with the connection
// that they were made over.
func TestDisconnectedEntryFreesSlots(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("1", "a1", 1)
		advance(time.Second)
		if err := f.network.Close(); err != nil {
			t.Fatal(err)
		}
		advance(time.Second)
		if !f.attendant.Idle() {
			t.Error("the lost entry's request is still admitted")
		}
	})
}

// TestReleaseBeforeAdmission: a release is a notification and may overtake the request that
// it ends.
func TestReleaseBeforeAdmission(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.release("1")
		a := f.admit("1", "a1", 1)
		advance(time.Millisecond)
		if !a.ended() || a.err == nil {
			t.Errorf("ended %t, error %v: want a refusal", a.ended(), a.err)
		}
	})
}

// TestManyAdapters requests many adapters at once, repeatedly. The engine fails if it is
// ordered to hold too many adapters, and each request must be admitted in its turn.
func TestManyAdapters(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		var all []*admission
		for i := range 24 {
			request := fmt.Sprint("r", i)
			a := f.admit(request, fmt.Sprint("a", i%6), 1)
			all = append(all, a)
			go func() {
				<-a.done
				if a.err == nil {
					<-time.After(50 * time.Millisecond)
					f.release(request)
				}
			}()
			advance(30 * time.Millisecond)
		}
		advance(15 * time.Second)
		for i, a := range all {
			if !a.ended() || a.err != nil {
				t.Errorf("request %d: ended %t, error %v", i, a.ended(), a.err)
			}
		}
	})
}

// TestPreloadsModelFromDisk guards against requests that wait half a second longer than
// necessary after a power loss. Engine and companion start empty, and control publishes the
// deployment 800 ms later; the model, which the engine's own disk names, was ordered only
// then.
func TestPreloadsModelFromDisk(t *testing.T) {
	start := func(t *testing.T, e *engine, test func(f *fixture)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			e.empty = true
			f := newFixtureWithoutDeployment(t, e)
			defer f.close()
			advance(800 * time.Millisecond)
			test(f)
		})
	}
	one := newEngine()
	one.disk = []string{model}
	start(t, one, func(f *fixture) {
		if r, err := one.Report(t.Context()); err != nil || len(r.Models) != 1 {
			t.Errorf("models %v, error %v", r.Models, err)
		}
		f.publishDeployment()
		advance(time.Second)
		a := f.admit("1", "a1", 1)
		advance(time.Second)
		a.mustBeAdmitted(t, 1)
		if n := one.ordered(attendant.OrderLoad, ""); n != 1 {
			t.Errorf("the model was ordered %d times", n)
		}
	})
	several, ordered := newEngine(), newEngine()
	several.disk = []string{model, "another"}
	ordered.disk, ordered.sequence = []string{model}, 1
	for _, e := range []*engine{several, ordered} {
		start(t, e, func(*fixture) {
			if n := e.ordered(attendant.OrderLoad, ""); n != 0 {
				t.Errorf("%v: the model was ordered %d times", e.disk, n)
			}
		})
	}
}

// TestPollsEngineOnViewChange guards against requests that are refused for up to a quarter
// of a second after a restart of all processes. The companion has polled its engine but has
// no deployment; control publishes it, and a request arrives. The deployment took effect
// only at the next poll.
func TestPollsEngineOnViewChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWithoutDeployment(t, newEngine())
		defer f.close()
		advance(attendant.DefaultObserveInterval + time.Millisecond)
		if f.attendant.Ready() {
			t.Fatal("ready without a deployment")
		}
		f.publishDeployment()
		f.attendant.ViewChanged()
		advance(time.Millisecond)
		if !f.attendant.Ready() {
			t.Error("not ready a millisecond after the deployment was published")
		}
	})
}

// TestFollowsNewIncarnationAtOnce guards against a thousand refused admissions in a quarter
// of a second after a power loss. Control comes back with the engine's previous
// incarnation, then receives the new one, and requests name it; the companion adopted it
// only at its next poll.
func TestFollowsNewIncarnationAtOnce(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		e.restart("i-2")
		e.mu.Lock()
		e.empty = false
		e.mu.Unlock()
		f.announce("i-2", storer.MemberStateServing)
		f.attendant.ViewChanged()
		advance(time.Millisecond)
		a := f.admitIncarnation("i-2", "1", "a1", 1)
		advance(loadTime + 50*time.Millisecond)
		a.mustBeAdmitted(t, 1)
	})
}
