package attendant_test

import (
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// ration requests admission of a rationed request with the given time left.
func (f *fixture) ration(request, adapter string, left time.Duration, urgency int) *admission {
	return f.send(messenger.Admit{
		Request: request, Adapter: adapter, Version: 1, Urgency: urgency, Ration: true,
		DeadlineMillis: left.Milliseconds(), SlackMillis: left.Milliseconds(),
	})
}

// refusedAsOverloaded reports whether the request was refused since it would wait until after
// its deadline, and the time after which the shortage is expected to end.
func (a *admission) refusedAsOverloaded() (time.Duration, bool) {
	var refusal *messenger.Refusal
	if !a.ended() || !errors.As(a.err, &refusal) || refusal.Reason != messenger.ReasonOverloaded {
		return 0, false
	}
	return refusal.RetryAfter(), true
}

// useSlots makes requests use both slots for two seconds, so that the attendant knows for how
// long they are used, and then leaves them in use by the requests u0 and u1.
func (f *fixture) useSlots() {
	f.t.Helper()
	for round := range 2 {
		for i := range slots {
			f.admit(fmt.Sprintf("%d-%d", round, i), fmt.Sprintf("u%d", i), 1)
		}
		advance(2 * time.Second)
		for i := range slots {
			f.release(fmt.Sprintf("%d-%d", round, i))
		}
	}
	for i := range slots {
		f.admit(fmt.Sprint("u", i), fmt.Sprint("u", i), 1).mustBeAdmittedAfter(f.t, time.Millisecond)
	}
}

// TestRefusesAtOnceWhileSlotsAreShort guards against callers that are held until their
// deadline while all slots are in use: 900 of 9,576 calls after half of the engines left.
func TestRefusesAtOnceWhileSlotsAreShort(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		f.useSlots()
		var requests []*admission
		for i := range 8 {
			requests = append(requests, f.ration(strconv.Itoa(i), "a"+strconv.Itoa(i), 3500*time.Millisecond, 0))
			advance(time.Millisecond)
		}
		refused := 0
		for _, a := range requests {
			if end, is := a.refusedAsOverloaded(); is {
				refused++
				if end < 3*time.Second || end > 5*time.Second {
					t.Errorf("end of the shortage in %s, want 3 to 5 s", end)
				}
			}
		}
		// Requests use a slot for 1.7 s in the mean, and a load takes 0.27 s: three end in time.
		if refused != 5 {
			t.Errorf("%d of 8 requests that can wait 3.5 s refused at once, want 5", refused)
		}
		if n := e.ordered(0, "a7"); n > 0 {
			t.Error("an adapter was ordered for a refused request")
		}
		if n := f.counter("marigoldpoint_attendant_overload_refused_total"); n != 5 {
			t.Errorf("%.0f refusals counted, want 5", n)
		}
		f.release("u0")
		requests[0].mustBeAdmittedAfter(t, time.Second)
	})
}

// TestRefusesWhileStoreStalls guards against requests that wait until their deadline for a
// store that stands still: no load ends, and so no observed time tells.
func TestRefusesWhileStoreStalls(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		e.mu.Lock()
		e.stalled = true
		e.mu.Unlock()
		first := f.ration("first", "a1", 10*time.Second, 0)
		advance(time.Second)
		if first.ended() {
			t.Fatal("refused although its load may end in time")
		}
		if _, is := f.ration("patient", "a2", 8*time.Second, 0).refusedAfter(t); is {
			t.Error("refused although two such loads end before its deadline")
		}
		if _, is := f.ration("hasty", "a3", 900*time.Millisecond, 0).refusedAfter(t); !is {
			t.Error("a request that can't wait for as long as a load takes already was not refused")
		}
	})
}

func (a *admission) refusedAfter(t *testing.T) (time.Duration, bool) {
	t.Helper()
	advance(time.Millisecond)
	return a.refusedAsOverloaded()
}

// TestRefusesNothingWithoutEvidence guards against a companion that restarts with requests
// waiting and refuses them by times that it has not observed.
func TestRefusesNothingWithoutEvidence(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.useSlots()
		waiting := f.ration("waiting", "a1", 4*time.Second, 0)
		advance(time.Millisecond)
		f.restartCompanion()
		advance(time.Second)
		if _, refused := waiting.refusedAsOverloaded(); !waiting.ended() || refused {
			t.Fatalf("a request that waits at a companion that stops: ended %t, %v", waiting.ended(), waiting.err)
		}
		again := f.ration("waiting", "a1", 3*time.Second, 0)
		again.mustBeAdmittedAfter(t, time.Second)
	})
}

// TestRefusesNothingThatAnEvictionServes guards against requests that are refused because
// slots were used for long while nobody waited for them: a slot whose adapter always has
// requests is closed once others wait.
func TestRefusesNothingThatAnEvictionServes(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		// overlap makes requests of half a second each use both slots without a pause.
		overlap := func(name string, rounds int) {
			for round := range rounds {
				for i := range slots {
					request := fmt.Sprint(name, round, "-", i)
					f.admit(request, fmt.Sprint("u", i), 1)
					time.AfterFunc(500*time.Millisecond, func() { f.release(request) })
				}
				advance(250 * time.Millisecond)
			}
		}
		overlap("before", 120)
		advance(time.Second)
		overlap("again", 8)
		rationed := f.ration("rationed", "a1", 4*time.Second, 0)
		overlap("still", 14)
		rationed.mustBeAdmitted(t, 1)
	})
}

// TestTwoEntriesWantLastSlot guards against two entries with old state that both get the last
// free slot, or both get nothing.
func TestTwoEntriesWantLastSlot(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.useSlots()
		f.release("u1")
		one, other := f.ration("one", "a1", 900*time.Millisecond, 0), f.ration("other", "a2", 900*time.Millisecond, 0)
		advance(time.Millisecond)
		_, refusedOne := one.refusedAsOverloaded()
		_, refusedOther := other.refusedAsOverloaded()
		if refusedOne == refusedOther {
			t.Fatalf("refused: %t and %t, want exactly one", refusedOne, refusedOther)
		}
		advance(800 * time.Millisecond)
		if n := countAdmitted([]*admission{one, other}); n != 1 {
			t.Errorf("%d requests got the last slot, want 1", n)
		}
	})
}

// TestServesRanksWhileLoadsAreShort guards against a rank that is served less than a rank
// below it while each request needs a load.
func TestServesRanksWhileLoadsAreShort(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		var requests [3][]*admission
		for i := range 60 {
			rank := 2 - i%3
			name := strconv.Itoa(i)
			requests[rank] = append(requests[rank], f.ration(name, "a"+name, 3*time.Second, 3*rank))
			go func(a *admission) {
				<-a.done
				if a.err == nil {
					<-time.After(100 * time.Millisecond)
					f.release(name)
				}
			}(requests[rank][len(requests[rank])-1])
			advance(60 * time.Millisecond)
		}
		advance(6 * time.Second)
		served := [3]int{}
		for rank, all := range requests {
			served[rank] = countAdmitted(all)
		}
		if served[0] < served[1] || served[1] < served[2] || served[2] == len(requests[2]) {
			t.Errorf("served by rank: %v of 20 each", served)
		}
	})
}

// TestServesPreviousVersionsAsBefore guards against entries of earlier versions, which don't
// tell the time left, whose requests are refused or reordered.
func TestServesPreviousVersionsAsBefore(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.useSlots()
		var requests []*admission
		for i := range 8 {
			requests = append(requests, f.admit(strconv.Itoa(i), "a"+strconv.Itoa(i), 1))
			advance(time.Millisecond)
		}
		for i, a := range requests {
			if a.ended() {
				t.Errorf("request %d ended: %v", i, a.err)
			}
		}
		f.release("u0")
		f.release("u1")
		advance(time.Second)
		if n := countAdmitted(requests); n != slots {
			t.Errorf("%d requests admitted, want %d", n, slots)
		}
	})
}
