package bucketer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
)

// TestRetryAfterFollowsTheRefusalsOfAllEntries guards against callers of several entries that all come
// back for the same units: each entry would count only its own refusals.
func TestRetryAfterFollowsTheRefusalsOfAllEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := bucketer.Limit{Rate: 1000, Burst: 1000, Number: 1}
	ledger := bucketer.NewLedger(now.Add(-time.Hour), 1)
	a, b := bucketer.NewAccounts(rand.New(rand.NewPCG(1, 2))), bucketer.NewAccounts(rand.New(rand.NewPCG(3, 4)))
	report := func(name string, x *bucketer.Accounts) bucketer.Level {
		levels := ledger.Report(now, batch(name, x.Collect(now)))
		x.ApplyAnswer(now, bucketer.Answer{Ledger: 1, Entries: 2, Levels: levels})
		return levels[0]
	}
	for name, x := range map[string]*bucketer.Accounts{"a": a, "b": b} {
		x.Spend(now, "w", limit, 0, 0)
		report(name, x)
	}
	a.Spend(now, "w", limit, 1000, 0)
	report("a", a)
	report("b", b)
	within := func(d bucketer.Decision, want time.Duration) {
		t.Helper()
		if d.Admitted || d.RetryAfter < want || d.RetryAfter > want+want/10 {
			t.Errorf("%+v, want RetryAfter from %v to a tenth more", d, want)
		}
	}
	within(a.Spend(now, "w", limit, 500, 10*time.Second), 500*time.Millisecond)
	within(a.Spend(now, "w", limit, 500, 10*time.Second), time.Second)
	// This caller won't come back: a third of its time left is less than RetryAfter.
	within(a.Spend(now, "w", limit, 500, 4*time.Second), 1500*time.Millisecond)
	report("a", a)
	report("a", a)
	report("b", b)
	within(b.Spend(now, "w", limit, 500, 0), 1500*time.Millisecond)
	if units := ledger.ExpectedRetries(now)["w"]; units != 1000 {
		t.Errorf("%v units expected at the leader, want 1000", units)
	}
	now = now.Add(1500 * time.Millisecond)
	if units := ledger.ExpectedRetries(now)["w"]; units != 0 {
		t.Errorf("%v units expected after their time, want 0", units)
	}
}
