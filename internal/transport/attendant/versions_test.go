package attendant_test

import (
	"flag"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/attendant"
)

// A fixed seed makes the property tests repeatable.
func init() { _ = flag.Set("rapid.seed", "1") }

// name publishes the newest version of an adapter to the companion.
func (f *fixture) name(adapter string, version uint64) {
	f.apply(storer.KindNewest, model+"/"+adapter, storer.NewestSpec{Version: version})
	f.attendant.ViewChanged()
}

// TestLoadsNoReplacedVersion guards against loads for nothing: a request waits for a slot for version
// 1 when version 2 is named, and version 1 was loaded all the same once a slot was free.
func TestLoadsNoReplacedVersion(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		f.admit("1", "a1", 1)
		f.admit("2", "a2", 1)
		advance(time.Second)
		waiting := f.admit("3", "a3", 1)
		advance(100 * time.Millisecond)
		f.name("a3", 2)
		f.release("1")
		advance(time.Second)
		waiting.mustBeAdmitted(t, 2)
		if n := e.ordered(attendant.OrderLoad, "a3"); n != 1 {
			t.Errorf("%d loads of the adapter ordered, want 1", n)
		}
	})
}

// TestFollowsVersionsWhileWaiting guards against a request that begins at a version 6 s after it was
// replaced: its version is loaded, and it waits for its turn under a limit of requests.
func TestFollowsVersionsWhileWaiting(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("1", "a1", 1)
		advance(time.Second)
		f.release("1")
		f.nameLimit(0.15)
		waiting := f.admit("2", "a1", 1)
		advance(time.Millisecond)
		f.name("a1", 2)
		advance(5 * time.Second)
		if waiting.ended() {
			t.Fatalf("admitted at version %d before its turn: %v", waiting.admitted.Version, waiting.err)
		}
		advance(4 * time.Second)
		waiting.mustBeAdmitted(t, 2)
	})
}

// versionStep is one step of a run of TestPropertyVersions.
type versionStep struct {
	action, adapter string
	delay, advance  time.Duration
}

// versionRun is a run of a companion with versions named in quick succession.
type versionRun struct {
	*fixture
	mu sync.Mutex
	// named holds the times at which the versions of adapters were acknowledged, and known the
	// newest ones that the companion knows; since is when it learned of them. Guarded by mu.
	named map[string][]time.Time
	known map[string]uint64
	since map[string]time.Time
	// ordered holds when the load of a version was last ordered while no newer one was known;
	// guarded by mu.
	ordered map[string]time.Time
	faults  []string
}

func (v *versionRun) fault(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(format, args...))
}

// checkOrder checks that a load is ordered, or ordered again after a lost answer, only if no newer
// version was known when it was first ordered.
func (v *versionRun) checkOrder(o attendant.Order) {
	if o.Kind != attendant.OrderLoad || o.Adapter == "" {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	key := o.Adapter + "@" + strconv.FormatUint(o.Version, 10)
	if o.Version >= v.known[o.Adapter] || time.Since(v.since[o.Adapter]) == 0 {
		// The order of events at one instant is not determined.
		v.ordered[key] = time.Now()
	} else if at, is := v.ordered[key]; !is || time.Since(at) > attendant.DefaultLoadTimeout {
		v.fault("load of %s ordered while version %d was known", key, v.known[o.Adapter])
	}
}

// nameNext acknowledges the next version of an adapter, of which the companion learns later.
func (v *versionRun) nameNext(adapter string, delay time.Duration) {
	v.mu.Lock()
	v.named[adapter] = append(v.named[adapter], time.Now())
	version := uint64(len(v.named[adapter]))
	v.mu.Unlock()
	time.Sleep(delay)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known[adapter], v.since[adapter] = version, time.Now()
	v.name(adapter, version)
}

// request requests an adapter for a while, and checks the version that it gets.
func (v *versionRun) request(number int, adapter string, use time.Duration) *admission {
	id := strconv.Itoa(number)
	a := v.admit(id, adapter, 1)
	go func() {
		<-a.done
		began := time.Now()
		v.mu.Lock()
		for i, at := range v.named[adapter] {
			if a.err == nil && uint64(i+1) > a.admitted.Version && began.Sub(at) > 5*time.Second {
				v.fault("request %s for %s began at version %d, %s after version %d was acknowledged", id, adapter, a.admitted.Version, began.Sub(at), i+1)
			}
		}
		v.mu.Unlock()
		time.Sleep(use)
		v.release(id)
	}()
	return a
}

func (v *versionRun) run(steps []versionStep) {
	var all []*admission
	for _, s := range steps {
		switch s.action {
		case "name":
			v.nameNext(s.adapter, s.delay)
		case "lose":
			v.engine.mu.Lock()
			v.engine.lostOrders, v.engine.lostOrderDelay = v.engine.lostOrders+1, s.delay
			v.engine.mu.Unlock()
		default:
			all = append(all, v.request(len(all), s.adapter, s.delay))
		}
		advance(s.advance)
	}
	advance(20 * time.Second)
	for adapter := range v.named {
		last := v.request(len(all), adapter, 0)
		all = append(all, last)
		advance(5 * time.Second)
		if !last.ended() || last.err != nil || last.admitted.Version != uint64(len(v.named[adapter])) {
			v.fault("at the end %s got version %d: %v", adapter, last.admitted.Version, last.err)
		}
	}
	for i, a := range all {
		if !a.ended() {
			v.fault("request %d has no end", i)
		}
	}
}

// TestPropertyVersions guards against requests that begin at a version that was replaced 5 s before,
// and against loads of replaced versions, over orders of announcements, requests and lost answers.
func TestPropertyVersions(t *testing.T) {
	millis := func(most int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, most), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	rapid.Check(t, func(rt *rapid.T) {
		var steps []versionStep
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			steps = append(steps, versionStep{
				action:  rapid.SampledFrom([]string{"name", "name", "request", "request", "request", "lose"}).Draw(rt, "action"),
				adapter: rapid.SampledFrom([]string{"a1", "a2", "a3"}).Draw(rt, "adapter"),
				delay:   millis(1500).Draw(rt, "delay"), advance: millis(400).Draw(rt, "advance"),
			})
		}
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			e := newEngine()
			v := &versionRun{fixture: newFixture(t, e), named: map[string][]time.Time{}, known: map[string]uint64{}, since: map[string]time.Time{}, ordered: map[string]time.Time{}}
			defer v.close()
			e.onOrder, e.lostAtOnce = v.checkOrder, true
			advance(time.Second)
			v.run(steps)
			faults = v.faults
		})
		if len(faults) > 0 {
			rt.Fatalf("%v", faults)
		}
	})
}
