package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/limiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newLimiter(s limiter.Settings) *limiter.Limiter {
	return limiter.NewLimiter(s, rand.New(rand.NewPCG(1, 1)))
}

var _ = Describe("Limiter", func() {
	// Guards against quick lookups being lost during another workspace's rush: one
	// workspace sends as many calls as it can, another a single call. The fault would
	// be to admit in order of arrival.
	It("keeps room for a quiet workspace during another's rush", func() {
		l := newLimiter(limiter.Settings{MaxInFlight: 100})
		rush := limiter.Call{Workspace: "rush", Tokens: 1}
		admitted := 0
		for range 500 {
			if l.Admit(start, rush).Verdict == limiter.VerdictAdmitted {
				admitted++
			}
		}
		Expect(admitted).To(Equal(80))
		Expect(l.Admit(start, rush).Verdict).To(Equal(limiter.VerdictOverShare))
		for range 20 {
			Expect(l.Admit(start, limiter.Call{Workspace: "quiet", Tokens: 1}).Verdict).To(Equal(limiter.VerdictAdmitted))
		}
	})

	It("shrinks its limit while queues are long, and grows it back", func() {
		l := newLimiter(limiter.Settings{MaxInFlight: 1000})
		now := start
		seconds := func(n int, wait time.Duration) int {
			for range n {
				now = now.Add(time.Second)
				c, admitted := limiter.Call{Workspace: "w"}, 0
				for range 900 {
					if l.Admit(now, c).Verdict == limiter.VerdictAdmitted {
						admitted++
					}
				}
				for range admitted {
					l.Done(now, c, wait)
				}
			}
			_, limit := l.InFlight()
			return limit
		}
		Expect(seconds(1, 4*time.Second)).To(Equal(1000))
		small := seconds(10, 4*time.Second)
		Expect(small).To(BeNumerically("<", 500))
		Expect(seconds(60, 0)).To(BeNumerically(">", small))
	})

	// Guards against callers that were refused together retrying together and being
	// refused again. The fault would be a fixed Retry-After.
	It("spreads retries over a longer time after more refusals", func() {
		l := newLimiter(limiter.Settings{MaxInFlight: 1})
		l.Admit(start, limiter.Call{Workspace: "w"})
		spread := func(now time.Time, refusals int) time.Duration {
			shortest, longest := time.Hour, time.Duration(0)
			for range refusals {
				a := l.Admit(now, limiter.Call{Workspace: "x"})
				shortest, longest = min(shortest, a.RetryAfter), max(longest, a.RetryAfter)
			}
			return longest - shortest
		}
		few := spread(start, 100)
		Expect(few).To(BeNumerically("~", time.Second, 100*time.Millisecond))
		Expect(spread(start.Add(time.Second), 100)).To(BeNumerically(">", 10*few))
	})
})

// TestPropertyLimiter checks for any schedule that the calls in flight never exceed the
// limit, that a workspace under its fair share is refused only when the entry is full,
// and that no state is left when all calls have ended.
func TestPropertyLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxInFlight = 40
		l := newLimiter(limiter.Settings{MaxInFlight: maxInFlight, MinInFlight: maxInFlight, MaxTokens: 1 << 40})
		held := map[limiter.Call]int{}
		total, now := 0, start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "passed")) * time.Millisecond)
			n := rapid.IntRange(1, 4).Draw(t, "workspace")
			c := limiter.Call{Workspace: fmt.Sprint("w", n), Share: n, Tokens: 5}
			if rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				if held[c] > 0 {
					l.Done(now, c, 0)
					held[c]--
					total--
				}
				continue
			}
			shares := 0
			for other, k := range held {
				if k > 0 && other != c {
					shares += other.Share
				}
			}
			fair := float64(n) / float64(n+shares+1) * maxInFlight
			a := l.Admit(now, c)
			switch {
			case a.Verdict == limiter.VerdictAdmitted:
				held[c]++
				total++
			case total < maxInFlight && float64(held[c]) < fair:
				t.Fatalf("%v: %d of fair %.1f held, %d in flight", a.Verdict, held[c], fair, total)
			case a.RetryAfter <= 0:
				t.Fatalf("refused without a retry time")
			}
			if total > maxInFlight {
				t.Fatalf("%d in flight", total)
			}
		}
		for c, k := range held {
			for range k {
				l.Done(now, c, 0)
			}
		}
		if n, _ := l.InFlight(); n != 0 {
			t.Fatalf("%d in flight at the end", n)
		}
	})
}
