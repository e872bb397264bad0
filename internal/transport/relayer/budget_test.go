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
			b := newCountedBudget(now, 0, slack, window, func() (int, time.Duration) { return entries, 0 })
			for takeRetry(b, now) {
				again++
			}
		}
		if again > slack {
			t.Errorf("%d entries made %d retries, more than %d", entries, again, slack)
		}
	}
}

// TestBudgetUsesSlackOfAllEntries guards against a large number of entries that use nothing of the
// slack, or more than all of it.
func TestBudgetUsesSlackOfAllEntries(t *testing.T) {
	const slack, all = 718, 359
	now := time.Unix(0, 0)
	b := newCountedBudget(now, 0, slack, 10*time.Second, func() (int, time.Duration) { return all, 0 })
	again := 0
	for takeRetry(b, now) {
		again++
	}
	if again*all > slack || again == 0 {
		t.Errorf("%d retries at each of %d entries, for %d", again, all, slack)
	}
}

// TestBudgetWithoutControl guards against an entry that is cut off from control and goes on using
// slack, while the others divide it without that entry.
func TestBudgetWithoutControl(t *testing.T) {
	now, age := time.Unix(0, 0), time.Duration(0)
	b := newCountedBudget(now, 0.2, 100, 10*time.Second, func() (int, time.Duration) { return 2, age })
	if !takeRetry(b, now) {
		t.Fatal("no retry was allowed")
	}
	age = maxEntriesAge + time.Millisecond
	if now = now.Add(age); takeRetry(b, now) {
		t.Error("a retry was allowed although the number of entries is unknown")
	}
	for range 100 {
		b.call(now, "s")
	}
	if now = now.Add(time.Second); !takeRetry(b, now) {
		t.Error("no retry was allowed for 100 requests")
	}
}

// newCountedBudget returns a budget that has known the number of entries for long enough at now to
// use its part of the slack.
func newCountedBudget(now time.Time, ratio, slack float64, window time.Duration, entries func() (int, time.Duration)) *budget {
	b := newBudget(ratio, slack, window, entries)
	for at := now.Add(-b.wait()); !at.After(now); at = at.Add(time.Second) {
		b.share(at)
	}
	b.share(now)
	return b
}

// takeRetry makes a retry that arrives at once, if the budget allows it.
func takeRetry(b *budget, now time.Time) bool {
	if !b.reserve(now, "s") || !b.commit(now, "s") {
		return false
	}
	b.arrive(now, "s", nil)
	return true
}

// TestBudgetSlides compares the budget with a count of all retries: no window contains
// more than allowed.
func TestBudgetSlides(t *testing.T) {
	const slack, window = 40, 10 * time.Second
	var calls, again []time.Time
	now := time.Unix(0, 0)
	b := newCountedBudget(now, 0.1, slack, window, func() (int, time.Duration) { return 4, 0 })
	for range 4000 {
		now = now.Add(10 * time.Millisecond)
		b.call(now, "s")
		calls = append(calls, now)
		if takeRetry(b, now) {
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

// TestBudgetAllowsSteadyRetries guards against a bound that leaves much of the budget unused, while
// requests fail all the time and when many fail at once.
func TestBudgetAllowsSteadyRetries(t *testing.T) {
	const ratio, window, perSecond = 0.2, 10 * time.Second, 20
	now := time.Unix(0, 0)
	b := newBudget(ratio, 0, window, nil)
	again := 0
	for range 60 * perSecond {
		now = now.Add(time.Second / perSecond)
		b.call(now, "s")
		if takeRetry(b, now) {
			again++
		}
	}
	if allowed := ratio * 60 * perSecond; float64(again) < 0.7*allowed {
		t.Errorf("%d retries, %.0f are allowed", again, allowed)
	}
	for range 20 * perSecond {
		now = now.Add(time.Second / perSecond)
		b.call(now, "s")
	}
	again = 0
	for takeRetry(b, now) {
		again++
	}
	if allowed := ratio * window.Seconds() * perSecond; float64(again) < 0.4*allowed {
		t.Errorf("%d retries at once, %.0f are allowed", again, allowed)
	}
}

// TestBudgetOfALostServer guards against a budget that a backend server holds that never answers again, and
// against one that is free again before that server can have read its requests.
func TestBudgetOfALostServer(t *testing.T) {
	const slack, window = 10, 10 * time.Second
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		// answered is the time after which the server answers a request, sentAt the time at which that
		// one was sent, and free that after which the budget is free again.
		answered, sentAt, free time.Duration
	}{
		{"that never answers", -1, 0, maxOutage + window},
		{"that answers", 20 * time.Second, 19 * time.Second, 20*time.Second + maxStall + window},
		{"that answers an earlier request", 20 * time.Second, -time.Second, maxOutage + window},
		{"that answers late", maxOutage - time.Second, maxOutage - 2*time.Second, maxOutage + window},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBudget(0, slack, window, nil)
			for range slack {
				if !b.reserve(start, "s") || !b.commit(start, "s") {
					t.Fatal("the budget is not free at first")
				}
				b.arrive(start, "s", []unreadAttempt{{server: "a", endedAt: start}})
			}
			for after := time.Second; after <= c.free+time.Second; after += time.Second {
				now := start.Add(after)
				if after == c.answered {
					b.answered(now, "s", "b", start.Add(c.sentAt))
					b.answered(now, "s", "a", start.Add(c.sentAt))
				}
				free := b.reserve(now, "s")
				if free {
					b.cancel(now, "s")
				}
				if free != (after > c.free) {
					t.Errorf("%v after the retries, the budget is free: %t", after, free)
				}
			}
		})
	}
}
