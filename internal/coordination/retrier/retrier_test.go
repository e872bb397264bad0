package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/retrier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRetrier(s retrier.Settings) *retrier.Retrier {
	return retrier.NewRetrier(s, rand.New(rand.NewPCG(1, 1)))
}

// simulateFailures simulates 1,000 calls per second for 20 seconds to 20 backend servers, of which
// a share refuses everything. It returns the attempts per call and the share of calls that
// succeeded.
func simulateFailures(budget, failing float64) (attempts, succeeded float64) {
	r := newRetrier(retrier.Settings{Budget: budget, MaxAttempts: 4})
	random := rand.New(rand.NewPCG(2, 2))
	const calls = 20000
	made, good := 0, 0
	for i := range calls {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for number := 1; ; number++ {
			made++
			if random.Float64() >= failing {
				r.RecordSuccess(now, "base")
				good++
				break
			}
			a := retrier.Attempt{Group: "base", Number: number, NotRun: true, Deadline: now.Add(time.Minute)}
			if r.Decide(now, a).Verdict != retrier.VerdictRetry {
				break
			}
		}
	}
	return float64(made) / calls, float64(good) / calls
}

var _ = Describe("Retrier", func() {
	// Guards against retries that overload the remaining backend servers after half of them have
	// failed. Without a budget, every failed call is retried up to its last attempt.
	It("bounds the attempts when half of the backend servers fail", func() {
		attempts, succeeded := simulateFailures(0.1, 0.5)
		Expect(attempts).To(BeNumerically("<", 1.12), "attempts per call")
		Expect(succeeded).To(BeNumerically(">", 0.5))
		all, _ := simulateFailures(0.1, 1)
		Expect(all).To(BeNumerically("<", 1.01), "attempts per call if all fail")
		unbounded, _ := simulateFailures(1e9, 0.5)
		Expect(unbounded).To(BeNumerically(">", 1.8), "without a budget")
		_, few := simulateFailures(0.1, 0.05)
		Expect(few).To(BeNumerically(">", 0.99), "a few failures are hidden")
	})

	It("hedges only idempotent calls after HedgeAfter, and charges the budget", func() {
		r := newRetrier(retrier.Settings{HedgeAfter: time.Second, Reserve: 1})
		a := retrier.Attempt{Group: "base", Number: 1, Idempotent: true, Deadline: start.Add(time.Minute)}
		once := a
		once.Idempotent = false
		Expect(r.Hedge(start.Add(2*time.Second), start, once)).To(BeFalse())
		Expect(r.Hedge(start.Add(time.Millisecond), start, a)).To(BeFalse())
		Expect(r.Hedge(start.Add(2*time.Second), start, a)).To(BeTrue())
		Expect(r.Hedge(start.Add(2*time.Second), start, a)).To(BeFalse(), "the budget is exhausted")
	})
})

// TestPropertyDecide checks for any attempt: a call that may have run is retried only if it is
// idempotent; nothing is retried after a part of the answer was sent or beyond the maximum number
// of attempts; no wait reaches the deadline; and a call that is not retried has no wait.
func TestPropertyDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := retrier.Settings{MaxAttempts: rapid.IntRange(1, 6).Draw(t, "attempts"), Reserve: 1}
		r := newRetrier(s)
		now, retries, successes := start, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "passed")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "success") == 0 {
				r.RecordSuccess(now, "base")
				successes++
				continue
			}
			a := retrier.Attempt{
				Group: "base", Number: rapid.IntRange(1, 7).Draw(t, "number"),
				NotRun: rapid.Bool().Draw(t, "notRun"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Answered: rapid.IntRange(0, 5).Draw(t, "answered") == 0, NoAlternative: rapid.Bool().Draw(t, "noAlternative"),
				RetryAfter: time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * time.Millisecond,
				Deadline:   now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "left")) * time.Millisecond),
			}
			d := r.Decide(now, a)
			if d.Verdict != retrier.VerdictRetry {
				if d.Wait != 0 {
					t.Fatalf("wait of %v without a retry", d.Wait)
				}
				continue
			}
			retries++
			switch {
			case !a.NotRun && !a.Idempotent, a.Answered, a.Number >= s.MaxAttempts:
				t.Fatalf("retried %+v", a)
			case !now.Add(d.Wait).Before(a.Deadline):
				t.Fatalf("wait %v reaches the deadline", d.Wait)
			}
		}
		// Counts decay, so that the bound over the whole run is looser: a reserve for each started
		// half-life, plus the share of all successes.
		halfLives := float64(now.Sub(start)/retrier.DefaultHalfLife) + 2
		if most := s.Reserve*halfLives + retrier.DefaultBudget*float64(successes) + 1; float64(retries) > most {
			t.Fatalf("%d retries, at most %.1f allowed", retries, most)
		}
	})
}
