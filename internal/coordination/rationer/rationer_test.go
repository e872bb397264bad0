package rationer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/rationer"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestPropertyBoundOfGrants guards against a request that waits for ever behind others that
// arrive later with a higher rank or less slack.
func TestPropertyBoundOfGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var waiting []rationer.Request
		bounds := map[string]uint64{}
		grants := rapid.Uint64Range(0, 7).Draw(t, "grants")
		now, arrivals := start, uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			switch action := rapid.IntRange(0, 5).Draw(t, "action"); {
			case action <= 2 || len(waiting) == 0:
				arrivals++
				r := rationer.Request{
					ID: fmt.Sprint(arrivals), Arrival: arrivals, Rank: rapid.IntRange(-1, 3).Draw(t, "rank"),
					Due: now.Add(time.Duration(rapid.IntRange(-100, 900).Draw(t, "slack")) * time.Millisecond),
				}
				waiting = append(waiting, r)
				bounds[r.ID] = grants + rationer.OldestInterval*uint64(len(waiting))
			case action == 3:
				waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "changed")].Rank = rapid.IntRange(-1, 3).Draw(t, "rank")
			case action == 4:
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "cancelled")
				waiting = slices.Delete(waiting, i, i+1)
			default:
				order := rationer.Order(now, grants, waiting)
				i, _ := rationer.First(now, grants, waiting)
				if order[0].ID != waiting[i].ID || len(order) != len(waiting) {
					t.Fatalf("the order begins with %s, the next grant goes to %s", order[0].ID, waiting[i].ID)
				}
				grants++
				waiting = slices.Delete(waiting, i, i+1)
			}
			for _, r := range waiting {
				if grants >= bounds[r.ID] {
					t.Fatalf("request %s still waits after %d grants, bound %d", r.ID, grants, bounds[r.ID])
				}
			}
		}
	})
}

// queue is a number of requests with a version each.
func queue(n int, left time.Duration) []rationer.Request {
	var all []rationer.Request
	for i := range n {
		all = append(all, rationer.Request{
			ID: fmt.Sprint("r", i), Arrival: uint64(i), Due: at(left), Deadline: at(left), Version: fmt.Sprint("v", i), Prefill: 10 * time.Millisecond,
		})
	}
	return all
}

func hopeless(o rationer.Outlook) int {
	n := 0
	for _, e := range o.Requests {
		if e.Hopeless {
			n++
		}
	}
	return n
}

var _ = Describe("The order of waiting requests", func() {
	It("has those that can be in time first, then the ranks, then the slack", func() {
		order := rationer.Order(start, 0, []rationer.Request{
			{ID: "late", Arrival: 1, Rank: 0, Due: at(-1)},
			{ID: "slack", Arrival: 2, Rank: 1, Due: at(2)},
			{ID: "tight", Arrival: 3, Rank: 1, Due: at(1)},
			{ID: "rank0", Arrival: 4, Rank: 0, Due: at(9)},
		})
		var ids []string
		for _, r := range order {
			ids = append(ids, r.ID)
		}
		Expect(ids).To(Equal([]string{"rank0", "tight", "slack", "late"}))
	})
})

var _ = Describe("The expected waits", func() {
	state := rationer.State{Load: 300 * time.Millisecond, Parallel: 1, Slots: 6, Free: 6}

	It("refuse nothing where a slot is free and the deadline leaves time for the load", func() {
		Expect(hopeless(state.Expect(start, queue(6, 2*time.Second)))).To(BeZero())
	})

	// Half of the engines leave, and the adapters of 9,576 calls want 144 slots on the
	// rest: 24 engines with 6 slots each, 399 calls at each within 12 s, most of which
	// waited until their deadline.
	It("refuse at once those that 144 slots can't serve after half of the engines have left", func() {
		crowded := state
		crowded.Parallel, crowded.Free, crowded.Hold = 4, 0, 1500*time.Millisecond
		o := crowded.Expect(start, queue(9576/24, 12*time.Second))
		// A slot is released every 250 ms, so that 46 loads end within 12 s.
		Expect(hopeless(o)).To(Equal(399 - 46))
		Expect(o.End).To(BeNumerically("~", 12*time.Second, 500*time.Millisecond))
		last := o.Requests[398]
		Expect(last.Cause).To(Equal(rationer.CauseSlot))
		Expect(last.Position).To(Equal(46), "those that are refused don't delay others")
	})

	It("refuse those whose load comes too late after a power loss, while the store limits loads", func() {
		slow := state
		slow.Load, slow.Parallel = 900*time.Millisecond, 1
		o := slow.Expect(start, queue(6, 3*time.Second))
		Expect(hopeless(o)).To(Equal(3))
		Expect(o.Requests[5].Cause).To(Equal(rationer.CauseLoad))
	})

	// Guards against callers that are held until their deadline by a store that has
	// stopped: no load ends, so that no observed time shows it.
	It("grow while the store stalls and no load ends", func() {
		stalled := state
		stalled.Loading = []rationer.Loading{{Version: "other", Since: start}}
		requests := queue(1, 2*time.Second)
		Expect(hopeless(stalled.Expect(start, requests))).To(BeZero())
		Expect(hopeless(stalled.Expect(at(900*time.Millisecond), requests))).To(BeZero())
		Expect(hopeless(stalled.Expect(at(1100*time.Millisecond), requests))).To(Equal(1))
	})

	It("count the prompts that are ready before, and no others", func() {
		busy := state
		busy.Backlog = time.Second
		requests := queue(2, 2*time.Second)
		requests[0].Prefill, requests[0].Version = 900*time.Millisecond, ""
		requests[1].Prefill = 150 * time.Millisecond
		o := busy.Expect(start, requests)
		Expect(o.Requests[1].Wait).To(Equal(1900 * time.Millisecond))
		Expect(hopeless(o)).To(Equal(1))
		requests[0].Version, requests[0].Prefill = "late", 900*time.Millisecond
		busy.Loading = []rationer.Loading{{Version: requests[1].Version, Since: at(-200 * time.Millisecond)}}
		o = busy.Expect(start, requests)
		Expect(o.Requests[1].Wait).To(Equal(time.Second))
	})

	It("never refuse a request whose deadline isn't known", func() {
		requests := queue(50, 0)
		for i := range requests {
			requests[i].Deadline = time.Time{}
		}
		Expect(hopeless(state.Expect(start, requests))).To(BeZero())
	})

	It("count turns under a limit of requests", func() {
		limited := state
		limited.FirstTurn, limited.TurnInterval = 500*time.Millisecond, time.Second
		requests := queue(4, 2*time.Second)
		for i := range requests {
			requests[i].Version = ""
		}
		o := limited.Expect(start, requests)
		Expect(hopeless(o)).To(Equal(2))
		Expect(o.Requests[3].Cause).To(Equal(rationer.CauseTurn))
	})
})

var _ = Describe("The time after which a refused caller returns", func() {
	It("is the end of the shortage and up to half of it, at least 100 ms", func() {
		Expect(rationer.RetryAfter(2*time.Second, 0)).To(Equal(2 * time.Second))
		Expect(rationer.RetryAfter(2*time.Second, 0.5)).To(Equal(2500 * time.Millisecond))
		Expect(rationer.RetryAfter(0, 0)).To(Equal(100 * time.Millisecond))
	})
})
