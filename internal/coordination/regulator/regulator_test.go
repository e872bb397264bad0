package regulator_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func limited(rate float64) regulator.Notice {
	return regulator.Notice{Kind: regulator.NoticeLimited, Rate: rate}
}

var unlimited = regulator.Notice{Kind: regulator.NoticeUnlimited}

var _ = Describe("A limit", func() {
	var l regulator.Limit
	BeforeEach(func() { l = regulator.Limit{} })

	It("ends with an answer without one to a request sent after the last that named it", func() {
		Expect(l.Record(at(0), at(time.Second), limited(2))).To(BeTrue())
		Expect(l.Record(at(500*time.Millisecond), at(2*time.Second), unlimited)).To(BeFalse())
		Expect(l.Named).To(BeTrue())
		Expect(l.Record(at(1500*time.Millisecond), at(2*time.Second), unlimited)).To(BeTrue())
		Expect(l.Named).To(BeFalse())
	})

	// Guards against a limit that has ended and is brought back by an entry whose own
	// knowledge is older.
	It("is not brought back by an older notice", func() {
		l.Record(at(0), at(time.Second), limited(2))
		l.Record(at(2*time.Second), at(3*time.Second), unlimited)
		Expect(l.Record(at(time.Second), at(time.Second), limited(2))).To(BeFalse())
		Expect(l.Named).To(BeFalse())
		Expect(l.Record(at(3*time.Second), at(4*time.Second), limited(1))).To(BeTrue())
	})

	It("takes the rate of the newest notice", func() {
		l.Record(at(0), at(2*time.Second), limited(2))
		Expect(l.Record(at(0), at(time.Second), limited(9))).To(BeFalse())
		Expect(l.Rate).To(BeEquivalentTo(2))
		Expect(l.Record(at(0), at(3*time.Second), limited(0.5))).To(BeTrue())
		Expect(l.Rate).To(BeEquivalentTo(0.5))
	})

	It("is not affected by an answer that says nothing", func() {
		l.Record(at(0), at(time.Second), limited(2))
		Expect(l.Record(at(2*time.Second), at(3*time.Second), regulator.Notice{})).To(BeFalse())
		Expect(l.Named).To(BeTrue())
	})
})

var _ = Describe("A regulator", func() {
	It("admits everything without a limit", func() {
		var r regulator.Regulator
		for range 1000 {
			Expect(r.Take(start)).To(BeTrue())
		}
	})

	It("admits the first request an interval after the limit was named", func() {
		var r regulator.Regulator
		r.Record(at(0), at(0), limited(2))
		Expect(r.Take(at(499 * time.Millisecond))).To(BeFalse())
		Expect(r.Take(at(500 * time.Millisecond))).To(BeTrue())
		Expect(r.Wait(at(500*time.Millisecond), 2)).To(Equal(1500 * time.Millisecond))
	})

	// Guards against a limit of 0 that never ends, since no answer can show its end.
	It("still admits a request now and then under a limit of 0", func() {
		var r regulator.Regulator
		r.Record(at(0), at(0), limited(0))
		Expect(r.Wait(at(0), 0)).To(And(BeNumerically(">", time.Second), BeNumerically("<", time.Minute)))
	})

	It("refuses those whose turn comes too late, and counts only the others", func() {
		var r regulator.Regulator
		r.Record(at(0), at(0), limited(1))
		waiters := []regulator.Waiter{
			{ID: "last", Urgency: 5, Due: at(2100 * time.Millisecond), Deadline: at(2500 * time.Millisecond)},
			{ID: "urgent", Urgency: 0, Due: at(0), Deadline: at(1500 * time.Millisecond)},
			{ID: "hopeless", Urgency: 1, Due: at(3 * time.Second), Deadline: at(1500 * time.Millisecond)},
			{ID: "unpunctual", Urgency: 2, Due: at(1900 * time.Millisecond), Deadline: at(9 * time.Second)},
		}
		regulator.SortWaiters(waiters)
		Expect(waiters[0].ID).To(Equal("urgent"))
		Expect(r.Hopeless(at(0), waiters)).To(Equal([]regulator.Refusal{{ID: "hopeless", Wait: 2 * time.Second}, {ID: "unpunctual", Wait: 2 * time.Second}}))
		Expect(regulator.Place(waiters, regulator.Waiter{ID: "x", Urgency: 3})).To(Equal(3))
	})
})

var _ = Describe("A schedule", func() {
	reserve := func(s *regulator.Schedule, now time.Duration, incarnation string, wait time.Duration) regulator.Reserved {
		return s.Reserve(at(now), regulator.Reserve{
			Server: "s", Incarnation: incarnation, Rate: 4, Heard: true, SlackMillis: wait.Milliseconds(), MaxWaitMillis: wait.Milliseconds(),
		})
	}

	It("grants turns an interval apart, as far as the request can wait", func() {
		s := regulator.NewSchedule()
		Expect(reserve(s, 0, "i", time.Second)).To(Equal(regulator.Reserved{Granted: true, WaitMillis: 250}))
		Expect(reserve(s, 0, "i", time.Second)).To(Equal(regulator.Reserved{Granted: true, WaitMillis: 500}))
		Expect(reserve(s, 0, "i", 700*time.Millisecond)).To(Equal(regulator.Reserved{WaitMillis: 750}))
		Expect(reserve(s, 0, "i", time.Second)).To(Equal(regulator.Reserved{Granted: true, WaitMillis: 750}))
		Expect(reserve(s, 0, "i", time.Hour)).To(Equal(regulator.Reserved{Granted: true, WaitMillis: 1000}))
		Expect(reserve(s, 0, "i", time.Hour).Granted).To(BeFalse())
	})

	It("counts each incarnation by itself, and forgets those without requests", func() {
		s := regulator.NewSchedule()
		Expect(reserve(s, 0, "i", time.Second).WaitMillis).To(BeEquivalentTo(250))
		Expect(reserve(s, 0, "j", time.Second).WaitMillis).To(BeEquivalentTo(250))
		Expect(s.Len()).To(Equal(2))
		Expect(reserve(s, time.Hour, "k", time.Second).Granted).To(BeTrue())
		Expect(s.Len()).To(Equal(1))
	})
})

var _ = Describe("A schedule of a limit that has ended", func() {
	var s *regulator.Schedule
	heard := func(now, age time.Duration) regulator.Reserved {
		return s.Reserve(at(now), regulator.Reserve{Server: "s", Rate: 1, Heard: true, AgeMillis: age.Milliseconds(), SlackMillis: 1000, MaxWaitMillis: 1000})
	}
	ended := func(now, sentAge time.Duration) {
		s.Reserve(at(now), regulator.Reserve{Server: "s", Ended: true, SentAgeMillis: sentAge.Milliseconds()})
	}
	BeforeEach(func() {
		s = regulator.NewSchedule()
		heard(0, 0)
		Expect(s.Limits(at(0))).To(Equal([]regulator.ServerLimit{{Server: "s", Rate: 1}}))
	})

	It("grants all requests at once, also those of entries that do not know yet", func() {
		ended(2*time.Second, 500*time.Millisecond)
		Expect(s.Limits(at(2 * time.Second))).To(BeEmpty())
		for range 5 {
			Expect(heard(3*time.Second, 2500*time.Millisecond)).To(Equal(regulator.Reserved{Granted: true}))
		}
		Expect(heard(4*time.Second, 0).WaitMillis).To(BeEquivalentTo(1000), "it has been named again")
	})

	It("does not end by the answer to a request that was sent before", func() {
		ended(2*time.Second, 3*time.Second)
		Expect(s.Limits(at(2 * time.Second))).To(HaveLen(1))
	})

	It("is listed only while it is in use", func() {
		Expect(s.Limits(at(time.Minute))).To(BeEmpty())
	})
})

// TestKeepsLimit guards against more requests than the limit allows in any window, for any
// rates, a limit that ends and returns, and any pattern of requests.
func TestKeepsLimit(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var r regulator.Regulator
		rate := rapid.Float64Range(0, 200).Draw(t, "rate")
		now := time.Duration(0)
		r.Record(at(now), at(now), limited(rate))
		var sent []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 0:
				r.Record(at(now), at(now), limited(rate))
			case 1:
				// The limit flickers: it ends and is named again at once.
				r.Record(at(now+1), at(now+1), unlimited)
				r.Record(at(now+2), at(now+2), limited(rate))
			default:
				for r.Take(at(now)) {
					sent = append(sent, now)
				}
			}
		}
		for i, first := range sent {
			n := 0
			for _, s := range sent[i:] {
				if s-first < window {
					n++
				}
			}
			allowed := max(rate, 0.1)*window.Seconds() + max(1, rate/4) + 1
			if float64(n) > allowed {
				t.Fatalf("%d requests in %s at %f a second, allowed %f", n, window, rate, allowed)
			}
		}
	})
}

// TestWaitsAreKept guards against a wait that is shorter than the one that a request then
// has, by which it would be refused too late.
func TestWaitsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r regulator.Regulator
		r.Record(start, start, limited(rapid.Float64Range(0.2, 50).Draw(t, "rate")))
		now := time.Duration(rapid.IntRange(0, 5000).Draw(t, "now")) * time.Millisecond
		n := rapid.IntRange(1, 40).Draw(t, "requests")
		expected := make([]time.Duration, n)
		for i := range expected {
			expected[i] = now + r.Wait(at(now), i)
		}
		if !slices.IsSorted(expected) {
			t.Fatalf("waits %v", expected)
		}
		for i, turn := range expected {
			if turn > now && r.Take(at(turn-time.Microsecond)) {
				t.Fatalf("request %d admitted before its turn", i)
			}
			if !r.Take(at(turn + time.Microsecond)) {
				t.Fatalf("request %d not admitted at its turn", i)
			}
		}
	})
}
