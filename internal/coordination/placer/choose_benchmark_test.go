package placer_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
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
