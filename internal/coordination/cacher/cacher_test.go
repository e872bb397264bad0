package cacher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

const (
	sharedTokens = 6300
	ownTokens    = 2890
)

// load is an engine whose memory is nearly full, its companion's model, and an entry that knows
// it by reports alone.
type load struct {
	random      *rand.Rand
	companion   *Cache
	publication Publication
	entry       Estimate
	now         time.Time
	running     []runningPrompt
	own         uint32
	total       int
	bytes       int
}

type runningPrompt struct {
	use Use
	end time.Time
	// used is what the prompt and its answer take of the engine's memory.
	used int
}

// begin starts a prompt with the shared beginning of an adapter.
func (l *load) begin(adapter uint32) {
	l.own++
	parts := []Part{{Hash: adapter, Tokens: sharedTokens}, {Hash: 1<<20 + l.own, Tokens: ownTokens}}
	l.running = append(l.running, runningPrompt{
		use: l.companion.Begin(fmt.Sprint(adapter), parts, sharedTokens+ownTokens), end: l.now.Add(time.Duration(500+l.random.IntN(1500)) * time.Millisecond), used: sharedTokens + ownTokens,
	})
}

// advance ends the prompts that are due, lets the engine report its memory every 250 ms, and the
// companion its model every 400 ms.
func (l *load) advance(by time.Duration) {
	l.now = l.now.Add(by)
	var running []runningPrompt
	for _, p := range l.running {
		if p.end.After(l.now) {
			running = append(running, p)
			continue
		}
		l.companion.End(p.use)
	}
	l.running = running
	elapsed := l.now.Sub(start).Milliseconds()
	if elapsed%250 == 0 {
		l.companion.SetMemory(Memory{Used: l.companion.held, Total: l.total}, l.companion.Snapshot())
	}
	if elapsed%400 == 0 {
		u := l.publication.Change(l.companion)
		if l.entry.Age(l.now) < 0 {
			u = l.publication.Whole(u)
		}
		text, err := cbor.Marshal(u)
		Expect(err).NotTo(HaveOccurred())
		l.bytes += len(text)
		l.entry.Apply(l.now, u)
	}
}

func newLoad(seed uint64, total int) *load {
	return &load{random: rand.New(rand.NewPCG(seed, 1)), companion: NewCache(), now: start, total: total}
}

var _ = Describe("Shared beginnings of 6,300 tokens with popular adapters, Zipf 1.2, on an engine whose memory is nearly full", func() {
	// Guards against an estimate that sends calls to engines that have evicted the beginning.
	It("are cached at admission about as often as the probability says", func() {
		l := newLoad(3, 160_000)
		popular := rand.NewZipf(l.random, 1.2, 1, 400)
		sure, sureCached, unlikely, unlikelyCached := 0, 0, 0, 0
		for step := range 12_000 {
			l.advance(10 * time.Millisecond)
			if step%13 != 0 {
				continue
			}
			adapter := uint32(popular.Uint64()) + 1
			x := l.entry.Expect(l.now, Prompt{Parts: []uint32{adapter}, Tokens: []int{sharedTokens}, Total: sharedTokens + ownTokens}, Demand{FullRate: 38_000})
			_, cached := l.companion.parts[adapter]
			switch {
			case x.Probability >= highProbability:
				sure++
				if cached {
					sureCached++
				}
			default:
				unlikely++
				if cached {
					unlikelyCached++
				}
			}
			l.begin(adapter)
		}
		Expect(sure).To(BeNumerically(">", 100))
		Expect(unlikely).To(BeNumerically(">", 100))
		Expect(float64(sureCached)).To(BeNumerically(">=", highProbability*float64(sure)))
		Expect(float64(unlikelyCached) / float64(unlikely)).To(BeNumerically("<", float64(sureCached)/float64(sure)))
		GinkgoWriter.Printf("sure %d of %d, others %d of %d, %d bytes in 120 s\n", sureCached, sure, unlikelyCached, unlikely, l.bytes)
		// The entry's link allows some hundred bytes per engine and second.
		Expect(l.bytes / 120).To(BeNumerically("<", 500))
	})
})

// Guards against a probability that rises while memory gets scarcer, which would draw calls to
// the engines that evict most.
func TestPropertyProbabilityFallsWithMemoryPressure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		margin, unseen := rapid.Float64Range(-1e5, 1e6).Draw(t, "margin"), rapid.Float64Range(0, 1e6).Draw(t, "unseen")
		less, more := rapid.Float64Range(0, 1e5).Draw(t, "less"), rapid.Float64Range(0, 1e5).Draw(t, "more")
		p := Probability(margin, unseen)
		if p < 0 || p > 1 {
			t.Fatal(p)
		}
		if Probability(margin-less, unseen) > p || Probability(margin, unseen+more) > p {
			t.Fatal("rises with memory pressure")
		}
	})
}

// Guards against an entry whose state departs from the companion's after any number of deltas.
func TestPropertyDeltasGiveTheMarginsOfTheCompanion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		RegisterTestingT(t)
		l := newLoad(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(30_000, 300_000).Draw(t, "total"))
		l.advance(0)
		for range rapid.IntRange(1, 60).Draw(t, "prompts") {
			l.begin(uint32(rapid.IntRange(1, 40).Draw(t, "adapter")))
			l.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause")) * 10 * time.Millisecond)
		}
		for range 1 + (MaxWholeParts+60)/MaxChangedParts {
			u := l.publication.Change(l.companion)
			l.entry.Apply(l.now, u)
		}
		published := make(map[uint32]int64)
		for _, m := range l.companion.margins(MaxWholeParts) {
			published[m.hash] = m.tokens
		}
		for hash, margin := range published {
			got := l.entry.margin(l.entry.positions[hash])
			if _, known := l.entry.positions[hash]; known != (margin > 0) && margin >= tolerance || known && max(got-margin, margin-got) >= tolerance {
				t.Fatalf("part %d: margin %d, published %d (%v)", hash, margin, got, known)
			}
		}
		for hash := range l.entry.positions {
			if _, is := published[hash]; !is {
				t.Fatalf("part %d is not cached any more", hash)
			}
		}
	})
}

var _ = Describe("A cache", func() {
	It("evicts the least recently used part first, and none that a running request uses", func() {
		c := NewCache()
		c.SetMemory(Memory{Total: 20_000}, c.Snapshot())
		first := c.Begin("a", []Part{{Hash: 1, Tokens: 6000}, {Hash: 2, Tokens: 10}}, 6010)
		c.End(c.Begin("b", []Part{{Hash: 3, Tokens: 6000}, {Hash: 4, Tokens: 10}}, 6010))
		c.Begin("c", []Part{{Hash: 5, Tokens: 9000}, {Hash: 6, Tokens: 10}}, 9010)
		Expect(c.parts).To(HaveKey(uint32(1)))
		Expect(c.parts).NotTo(HaveKey(uint32(3)))
		c.End(first)
		Expect(c.parts).To(HaveKey(uint32(1)))
	})

	It("drops the parts of an adapter that is unloaded, and everything with a restart", func() {
		c := NewCache()
		c.SetMemory(Memory{Total: 20_000}, c.Snapshot())
		u := c.Begin("a", []Part{{Hash: 1, Tokens: 6000}, {Hash: 2, Tokens: 10}}, 6010)
		c.End(c.Begin("b", []Part{{Hash: 3, Tokens: 6000}, {Hash: 4, Tokens: 10}}, 6010))
		c.Retain(func(owner string) bool { return owner == "a" })
		Expect(c.parts).To(HaveKey(uint32(1)))
		Expect(c.parts).NotTo(HaveKey(uint32(3)))
		before := c.Snapshot()
		c.Clear()
		c.End(u)
		c.SetMemory(Memory{Total: 20_000}, before)
		Expect(c.parts).To(BeEmpty())
		Expect(c.room()).To(Equal(20_000))
	})
})

var _ = Describe("The mode", func() {
	It("of a service is weighed by default only if its backend servers report a slowdown factor", func() {
		Expect(ModeAuto.Resolve(false)).To(Equal(ModeAffinity))
		Expect(ModeAuto.Resolve(true)).To(Equal(ModeWeighed))
		Expect(ModeOff.Resolve(true)).To(Equal(ModeOff))
	})

	It("is read by its name alone", func() {
		for name, mode := range map[string]Mode{"": ModeAuto, "auto": ModeAuto, "off": ModeOff, "affinity": ModeAffinity, "weighed": ModeWeighed} {
			Expect(ParseMode(name)).To(Equal(mode))
		}
		_, err := ParseMode("Weighed")
		Expect(err).To(HaveOccurred())
	})
})
