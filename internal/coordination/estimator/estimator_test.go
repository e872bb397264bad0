package estimator_test

import (
	"flag"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/estimator"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// TestPropertySpeed guards against a factor beyond the bounds, and against one that never returns
// to 1 while nothing is reported, which would leave the server without requests for ever.
func TestPropertySpeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s estimator.Speed
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 2000).Draw(t, "ms")) * time.Millisecond)
			s.Record(now, rapid.Float64().Draw(t, "factor"), time.Duration(rapid.IntRange(0, 1).Draw(t, "life"))*estimator.ReportLife)
			s.SetUsual(rapid.Float64().Draw(t, "usual"))
			if f := s.Factor(now.Add(100 * time.Millisecond)); !(f >= estimator.MinSlowdown-1e-9 && f <= estimator.MaxSlowdown+1e-9) {
				t.Fatalf("factor %v", f)
			}
		}
		if f := s.Factor(now.Add(10 * time.Minute)); math.Abs(f-1) > 0.01 {
			t.Fatalf("factor %v ten minutes after the last report", f)
		}
	})
}
