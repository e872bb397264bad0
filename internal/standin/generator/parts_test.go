package generator

import (
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

var _ = Describe("batch", func() {
	It("admits by priority, then by arrival, up to its limit", func() {
		b := batch{limit: 2}
		names := ""
		for _, s := range []requestSpec{{Request: "a", Priority: 1}, {Request: "b"}, {Request: "c", Priority: 1}, {Request: "d"}, {Request: "e", Priority: -1}} {
			b.enqueue(newSequence(s))
		}
		for len(b.waiting) > 0 {
			for _, s := range b.admit() {
				names += s.Request
			}
			Expect(len(b.running)).To(BeNumerically("<=", 2))
			b.remove(b.running[0])
		}
		Expect(names).To(Equal("ebdac"))
	})
})

var _ = Describe("prefixCache", func() {
	It("counts only leading blocks and evicts the least recently used one", func() {
		c := newPrefixCache(3)
		_, stored, _ := c.use("m", []uint64{1, 2, 3})
		Expect(stored).To(Equal([]uint64{1, 2, 3}))
		cached, stored, evicted := c.use("m", []uint64{1, 9, 3})
		Expect(cached).To(Equal(1))
		Expect(stored).To(Equal([]uint64{9}))
		Expect(evicted).To(Equal([]cachedBlock{{hash: 2, model: "m"}}))
	})
})

var _ = Describe("eventLog", func() {
	It("returns events after the lag, with gaps in their numbers", func() {
		now := time.Unix(1000, 0)
		l := eventLog{lag: time.Second, loss: 0.5, random: rand.New(rand.NewPCG(1, 0))}
		for range 100 {
			l.add(now, orderer.CacheEvent{})
		}
		Expect(l.after(now, 0)).To(BeEmpty())
		seen := l.after(now.Add(time.Second), 0)
		Expect(len(seen)).To(BeNumerically("~", 50, 20))
		Expect(l.after(now.Add(time.Second), seen[3].Number)).To(Equal(seen[4:]))
	})
})

var _ = Describe("reportLog", func() {
	It("returns the report that is as old as the lag", func() {
		now := time.Unix(1000, 0)
		l := reportLog{lag: 5 * time.Second}
		for i := range 10 {
			l.add(orderer.LoadReport{Running: i, Measured: now.Add(time.Duration(i) * time.Second)})
		}
		r := l.at(now.Add(9 * time.Second))
		Expect(r.Running).To(Equal(4))
		Expect(r.Age).To(Equal(5 * time.Second))
	})
})

var _ = Describe("Expected", func() {
	It("differs by model, prompt and length, and has one word per token", func() {
		text := Expected("a@1", "p", 20)
		Expect(Expected("a@2", "p", 20)).NotTo(Equal(text))
		Expect(Expected("a@1", "q", 20)).NotTo(Equal(text))
		Expect(text).To(HavePrefix(Expected("a@1", "p", 19)))
		Expect(strings.Fields(text)).To(HaveLen(20))
	})
})
