package placer_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
)

const (
	// benchmarkSlots and benchmarkRemembered are the numbers of adapters in the slots
	// and in the memory of one engine, as in the largest deployment.
	benchmarkSlots      = 8
	benchmarkRemembered = 40
)

// BenchmarkChoose measures the choice of an engine by the number of engines for an
// adapter that is not loaded anywhere. The cost of each engine then includes its
// affinity position and the load from the store.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{30, 117, 300, 1200} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			RegisterTestingT(b)
			d := newDeployment(count)
			now := start.Add(time.Second)
			for i := range count {
				var s placer.EngineState
				for a := range benchmarkSlots {
					s.Adapters = append(s.Adapters, held(fmt.Sprint("a", i*benchmarkSlots+a))...)
				}
				for a := range benchmarkRemembered {
					s.Recent = append(s.Recent, fmt.Sprint(model, "/r", i*benchmarkRemembered+a))
				}
				d.report(now, i, s)
			}
			var first, second placer.Choice
			if err := d.placer.Choose(now, &placer.Call{Service: engines, Model: model, Adapter: "first", Tokens: 800}, &first); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := range b.N {
				c := placer.Call{Service: engines, Model: model, Adapter: "x" + strconv.Itoa(i%5000), Version: 1, Tokens: 800}
				if !d.placer.Second(now, &c, &first, &second) {
					b.Fatal("no engine")
				}
			}
		})
	}
}

// BenchmarkChooseSeparated measures the choice of an engine for short and long prompts, mixed and
// separated.
func BenchmarkChooseSeparated(b *testing.B) {
	for _, mode := range []separator.Mode{separator.ModeMixed, separator.ModeSeparate} {
		for _, tokens := range []int{shortTokens, longTokens} {
			b.Run(fmt.Sprint(mode, "/", tokens, "-of-50"), func(b *testing.B) {
				RegisterTestingT(b)
				d, now := newSeparated(mode, "a", 50), start
				for i, m := range d.members {
					d.report(now, i, placer.EngineState{Running: 3, Adapters: held("a1")})
					d.placer.ReportLongPrompts(now, engines, placer.LongPromptState{Name: m.Name, Incarnation: m.Spec.Incarnation, SharePercent: 20})
				}
				c := adapterCall("a1", tokens)
				b.ReportAllocs()
				for b.Loop() {
					var choice placer.Choice
					if err := d.placer.Choose(now, c, &choice); err != nil {
						b.Fatal(err)
					}
					d.placer.Finish(now, &choice, placer.OutcomeSuccess)
				}
			})
		}
	}
}
