package relayer

import (
	"testing"
	"time"
)

// TestBudgetIsShared guards against entries that each use the whole retry budget: when
// many retry at once, failing backend servers get more retries than the operators
// allow.
func TestBudgetIsShared(t *testing.T) {
	const slack, window = 56, 10 * time.Second
	now := time.Unix(0, 0)
	for _, entries := range []int{4, 7, 28} {
		again := 0
		for range entries {
			b := newBudget(0, slack, window, nil)
			b.setEntries(entries)
			for b.takeRetry(now, "s") {
				again++
			}
		}
		if again > slack {
			t.Errorf("%d entries made %d retries, more than %d", entries, again, slack)
		}
	}
}

// TestBudgetUsesAllEntries guards against entries that divide the slack by the number of
// those that follow the same engines: all entries together would use several times of it.
func TestBudgetUsesAllEntries(t *testing.T) {
	const slack, all, sameDomain = 718, 359, 72
	b := newBudget(0, slack, 10*time.Second, func() int { return all })
	b.setEntries(sameDomain)
	again := 0
	for now := time.Unix(0, 0); b.takeRetry(now, "s"); {
		again++
	}
	if again*all > slack {
		t.Errorf("%d retries at each of %d entries are more than %d", again, all, slack)
	}
}

// TestBudgetSlides compares the budget with a count of all retries: no window contains
// more than allowed.
func TestBudgetSlides(t *testing.T) {
	const slack, window = 40, 10 * time.Second
	b := newBudget(0.1, slack, window, nil)
	b.setEntries(4)
	var calls, again []time.Time
	now := time.Unix(0, 0)
	for range 4000 {
		now = now.Add(10 * time.Millisecond)
		b.call(now, "s")
		calls = append(calls, now)
		if b.takeRetry(now, "s") {
			again = append(again, now)
		}
	}
	for _, end := range again {
		if sent, allowed := within(again, end, window), 0.1*float64(within(calls, end, window))+slack/4; float64(sent) > allowed {
			t.Fatalf("%d retries in the window that ends at %v, more than %.1f", sent, end.Sub(time.Unix(0, 0)), allowed)
		}
	}
	if len(again) == 0 {
		t.Error("no retry was made")
	}
}

func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.After(end) && end.Sub(t) < window {
			n++
		}
	}
	return n
}
