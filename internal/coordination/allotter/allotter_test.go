package allotter_test

import (
	"testing"

	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
)

// TestPropertyBounds guards against an entry that is killed since callers that read slowly use up its
// memory: calls that stop at the first refused piece never hold more than the limits and a piece each.
func TestPropertyBounds(t *testing.T) {
	const piece, total, answer = 10, 400, 60
	rapid.Check(t, func(rt *rapid.T) {
		bounded := rapid.Bool().Draw(rt, "bounded")
		a := allotter.NewAllotter(allotter.Settings{Total: total, Answer: answer})
		var open []*allotter.Holding
		full := map[*allotter.Holding]bool{}
		sums := map[allotter.Kind]int64{}
		of := map[*allotter.Holding]map[allotter.Kind]int64{}
		rt.Repeat(map[string]func(*rapid.T){
			"begin": func(*rapid.T) {
				h := a.NewHolding(bounded)
				open, of[h] = append(open, h), map[allotter.Kind]int64{}
			},
			"add": func(rt *rapid.T) {
				if len(open) == 0 {
					return
				}
				h := rapid.SampledFrom(open).Draw(rt, "call")
				if full[h] {
					return
				}
				k := rapid.SampledFrom([]allotter.Kind{allotter.KindRequest, allotter.KindAnswer}).Draw(rt, "kind")
				n := rapid.Int64Range(1, piece).Draw(rt, "bytes")
				full[h] = !h.Add(k, n)
				sums[k] += n
				of[h][k] += n
			},
			"release": func(*rapid.T) {
				if len(open) == 0 {
					return
				}
				h := open[0]
				h.Release()
				open = open[1:]
				for k, n := range of[h] {
					sums[k] -= n
				}
			},
			"": func(rt *rapid.T) {
				over := int64(piece * len(open))
				for k, n := range sums {
					if a.Held(k) != n {
						rt.Fatalf("%s: %d held, want %d", k, a.Held(k), n)
					}
				}
				if !bounded {
					if len(open) > 0 && full[open[0]] {
						rt.Fatal("refused without a bound")
					}
					return
				}
				if sums[allotter.KindRequest]+sums[allotter.KindAnswer] > total+over {
					rt.Fatalf("%v held of %d", sums, total)
				}
				for _, h := range open {
					if of[h][allotter.KindAnswer] > answer+piece {
						rt.Fatalf("a call holds %d bytes of its answer", of[h][allotter.KindAnswer])
					}
				}
			},
		})
	})
}

// TestModes guards against limits in deployments that don't ask for them, and against a misspelt
// mode that is taken for another.
func TestModes(t *testing.T) {
	for name, want := range map[string][2]bool{"": {false, true}, "auto": {false, true}, "unbounded": {false, false}, "bounded": {true, true}} {
		m, err := allotter.ParseMode(name)
		if err != nil || m.Bounds(false) != want[0] || m.Bounds(true) != want[1] {
			t.Errorf("%q: %v, %v", name, m, err)
		}
	}
	if _, err := allotter.ParseMode("Bounded"); err == nil {
		t.Error("an unknown mode was accepted")
	}
}
