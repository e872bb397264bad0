package placer_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
)

// prompt is a call with a prompt to be read by an engine.
type prompt struct {
	arrived, read time.Duration
	urgency       int
}

// reads simulates an engine that reads prompts sequentially, in order of urgency among
// those waiting. It returns the share of all prompts, and of the largest tenth, that
// were read within the target.
func reads(prompts []prompt, target time.Duration, urgency func(p prompt) int) (all, largest float64) {
	sizes := make([]time.Duration, len(prompts))
	for i, p := range prompts {
		sizes[i] = p.read
	}
	slices.Sort(sizes)
	large := sizes[len(sizes)*9/10]
	var now time.Duration
	var waiting []prompt
	total, inTime, totalLarge, inTimeLarge := 0.0, 0.0, 0.0, 0.0
	for len(prompts) > 0 || len(waiting) > 0 {
		if len(waiting) == 0 {
			now = max(now, prompts[0].arrived)
		}
		for len(prompts) > 0 && prompts[0].arrived <= now {
			p := prompts[0]
			p.urgency = urgency(p)
			waiting, prompts = append(waiting, p), prompts[1:]
		}
		next := 0
		for i, p := range waiting {
			if p.urgency < waiting[next].urgency {
				next = i
			}
		}
		p := waiting[next]
		waiting = slices.Delete(waiting, next, next+1)
		now += p.read
		in := 0.0
		if now-p.arrived <= target {
			in = 1
		}
		total, inTime = total+1, inTime+in
		if p.read >= large {
			totalLarge, inTimeLarge = totalLarge+1, inTimeLarge+in
		}
	}
	return inTime / total, inTimeLarge / totalLarge
}

var _ = Describe("Urgency", func() {
	It("separates ranks and depends on the slack", func() {
		for rank := range 3 {
			Expect(placer.Urgency(rank, 100*time.Millisecond)).To(Equal(3 * rank))
			Expect(placer.Urgency(rank, 400*time.Millisecond)).To(Equal(3*rank + 1))
			Expect(placer.Urgency(rank, time.Second)).To(Equal(3*rank + 2))
			Expect(placer.Urgency(rank, -time.Second)).To(Equal(3*rank+2), "already late")
		}
		Expect(placer.Urgency(7, 0)).To(Equal(9))
	})

	It("reads more of the largest prompts in time", func() {
		// Prompts of 2,900 tokens on average beyond the shared 6,300, with a long tail,
		// at an engine that spends six tenths of its time reading, as in the busiest
		// hours in production. The target is one second, of which 320 ms are needed for
		// the adapter.
		const target = 680 * time.Millisecond
		random := rand.New(rand.NewPCG(7, 8))
		var prompts []prompt
		var at time.Duration
		for range 20_000 {
			tokens := 6300 + min(39_600, 1750*math.Exp(random.NormFloat64()))
			read := placer.ReadTime(int(tokens), int(tokens), placer.DefaultPrefillRate)
			at += time.Duration(random.ExpFloat64() * float64(400*time.Millisecond))
			prompts = append(prompts, prompt{arrived: at, read: read})
		}
		all, largest := reads(prompts, target, func(prompt) int { return 0 })
		allUrgent, largestUrgent := reads(prompts, target, func(p prompt) int { return placer.Urgency(1, target-p.read) })
		GinkgoWriter.Printf("in time: %.3f of all, %.3f of the largest tenth; by urgency %.3f and %.3f\n", all, largest, allUrgent, largestUrgent)
		Expect(allUrgent).To(BeNumerically(">=", all-0.005))
		Expect(largestUrgent).To(BeNumerically(">", largest+0.05))
	})
})
