package relayer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

var _ = Describe("A call with a long prompt", func() {
	// Guards against a prompt that is prefilled on a slowed machine though others are idle, and
	// against one that is returned again and again, or to the engine that returned it.
	It("is returned twice at most, the second time only by a slowed engine, and avoids those engines", func(ctx SpecContext) {
		b0, b1, b2 := newBackend(stream), newBackend(stream), newBackend(stream)
		e := newEntry(streamed, engine, b0, b1, b2)
		var seen []messenger.Admit
		e.admit = func(m messenger.Admit) (messenger.Admitted, error) {
			if seen = append(seen, m); m.MovableWhenSlowed {
				refusal := messenger.NewRefusal(messenger.ReasonMisled, "slowed")
				refusal.SlowdownPercent = 250
				return messenger.Admitted{}, refusal
			}
			return messenger.Admitted{Version: m.Version}, nil
		}
		Expect(read(e.call(ctx, map[string]string{"Model": "m/a1"}))).To(HaveSuffix("id: 2\ndata: x\n\n"))
		Expect(seen).To(HaveLen(3))
		incarnations := map[string]bool{}
		for i, m := range seen {
			incarnations[m.Incarnation] = true
			Expect(m.ExpectedReadMillis).To(BeNumerically(">", 0))
			Expect([]bool{m.Movable, m.MovableWhenSlowed}).To(Equal([]bool{i == 0, i < 2}))
		}
		Expect(incarnations).To(HaveLen(3))
		factor, _, _ := e.placer.Slowdown(time.Now(), "s", "b"+seen[1].Incarnation[len("i-"):])
		Expect(factor).To(BeNumerically(">", 1), "the refusal told the factor")
	})

	// Guards against an entry that ignores what answers say of the speed of their servers.
	It("is answered with the slowdown factor", func(ctx SpecContext) {
		e := newEntry(runOnce, nil, newBackend(text("200", "Slowdown: 2.5\r\n", "answer")))
		Expect(read(e.call(ctx, nil))).To(Equal("answer"))
		_, _, age := e.placer.Slowdown(time.Now(), "s", "b0")
		Expect(age).To(BeNumerically(">=", 0))
	})
})
