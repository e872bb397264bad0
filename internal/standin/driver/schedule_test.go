package driver_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
)

// TestPropertyShiftKeepsLaw checks that the shift assigns each rank to exactly one adapter
// and does not change the frequencies of the ranks.
func TestPropertyShiftKeepsLaw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 400).Draw(t, "count")
		exponent := rapid.Float64Range(0, 2).Draw(t, "exponent")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		p := driver.NewPopularity(count, exponent, random)
		const draws = 20_000
		for _, shifted := range []bool{false, true} {
			held := make([]int, count)
			byAdapter := make([]int, count)
			for rank := range count {
				held[p.Adapter(rank, shifted)]++
			}
			for _, ranks := range held {
				if ranks != 1 {
					t.Fatalf("an adapter has %d ranks", ranks)
				}
			}
			for range draws {
				byAdapter[p.Adapter(p.Rank(random), shifted)]++
			}
			sum := 0.0
			for rank := range count {
				sum += math.Pow(float64(rank+1), -exponent)
			}
			for _, rank := range []int{0, count / 2, count - 1} {
				want := draws * math.Pow(float64(rank+1), -exponent) / sum
				got := float64(byAdapter[p.Adapter(rank, shifted)])
				// Six standard deviations, plus a margin for small counts.
				if math.Abs(got-want) > 6*math.Sqrt(want)+6 {
					t.Fatalf("rank %d of %d: %v calls, want %v (shifted: %v)", rank, count, got, want, shifted)
				}
			}
		}
	})
}

// TestPropertySchedule checks that the calls are in order, within the run and at the mean
// rate with and without bursts, that calls of the rush are within its window, and that one
// seed gives the same calls.
func TestPropertySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := driver.Peachtree().WithAdapters(rapid.IntRange(50, 3000).Draw(t, "adapters"))
		w.Rate = rapid.Float64Range(20, 100).Draw(t, "rate")
		w.Burst.Factor = rapid.Float64Range(0, 6).Draw(t, "burst")
		w.Burst.MeanLength, w.Burst.MeanPause = time.Second, 3*time.Second
		s := driver.ScheduleSettings{Seed: rapid.Uint64().Draw(t, "seed"), Duration: 3 * time.Second, TimeScale: 0.05}
		one, other := driver.NewSchedule(w, s), driver.NewSchedule(w, s)
		var c, same driver.Call
		last, usual := time.Duration(0), 0
		for one.Next(&c) {
			if !other.Next(&same) || c != same {
				t.Fatalf("one seed gave %+v and %+v", c, same)
			}
			if c.Intended < last || c.Intended >= s.Duration {
				t.Fatalf("call at %v after one at %v", c.Intended, last)
			}
			last = c.Intended
			if c.Rushing && (!c.InRush || c.WorkspaceName != w.Rush.Workspace) {
				t.Fatalf("rushing call outside its window: %+v", c)
			}
			if !c.Rushing {
				usual++
			}
		}
		want := w.Rate / s.TimeScale * s.Duration.Seconds()
		if float64(usual) < 0.6*want || float64(usual) > 1.4*want {
			t.Fatalf("%d calls where %v are the mean", usual, want)
		}
	})
}

// BenchmarkCall3000Adapters measures the driver's own processor time per call: generating
// the call, checking its answer and updating the tallies.
func BenchmarkCall3000Adapters(b *testing.B) {
	w := driver.Peachtree()
	s := driver.NewSchedule(w, driver.ScheduleSettings{Seed: 1, Duration: math.MaxInt64 / 2})
	checker, tally := driver.NewChecker(true), driver.NewTally(&w, time.Hour, 0)
	b.ReportAllocs()
	var c driver.Call
	for b.Loop() {
		if !s.Next(&c) {
			b.Fatal("the schedule has ended")
		}
		b.StopTimer()
		a := rightAnswer(&c)
		b.StartTimer()
		checker.Add(&c, &a)
		tally.Add(&c, &a)
	}
}
