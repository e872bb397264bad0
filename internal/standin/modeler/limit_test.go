package modeler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/modeler"
)

// mostUnderLimit is the largest number of requests in 4 s that a limit in requests per
// second allows.
func mostUnderLimit(rate float64) float64 { return 1.5*rate*4 + 5 }

// Guards against more requests at a backend server than it has named, from all entries
// together: each entry sends what its callers want, or keeps the limit by itself.
var _ = DescribeTable("The limits of requests are kept",
	func(pattern string, rate float64) {
		p, err := modeler.FindPattern(pattern)
		Expect(err).NotTo(HaveOccurred())
		if rate > 0 {
			p.LimitedRate = rate
		}
		if p.Engines > 100 {
			p.WarmUp, p.LimitedAt, p.LimitedFor, p.Length = time.Second, time.Second, 5*time.Second, 6*time.Second
		}
		for seed := range uint64(3) {
			r, err := modeler.Simulate(modeler.Settings{Pattern: p, Seed: seed + 1})
			Expect(err).NotTo(HaveOccurred())
			GinkgoWriter.Printf("%d: most %d, use %.2f, in time %.3f, lost %.3f\n", seed, r.LimitedMost, r.LimitedUse, r.InTime(), r.Lost())
			Expect(float64(r.LimitedMost)).To(BeNumerically("<=", mostUnderLimit(p.LimitedRate)))
			Expect(r.LimitedMost).NotTo(BeZero())
		}
	},
	Entry("two of 12 engines", "LimitedEngines", 0.0),
	Entry("two of 12 engines, a fraction", "LimitedEngines", 0.4),
	Entry("two of 12 engines, a higher limit", "LimitedEngines", 3.0),
	Entry("all engines of a service", "LimitedService", 0.0),
	Entry("a plain service", "LimitedServers", 0.0),
	Entry("a tenth of a large deployment's engines", "LargeLimited", 0.0),
)

var _ = Describe("A mechanism for limits of requests", func() {
	It("that keeps them costs callers little where others have room", func() {
		with, without := simulate("LimitedEngines"), simulate("LimitedEngines", modeler.MechanismLimits)
		Expect(with.InTime).To(BeNumerically(">", without.InTime-0.03))
		Expect(float64(without.LimitedMost)).To(BeNumerically(">", mostUnderLimit(1)))
	})

	It("that counts at one process serves more in time than equal shares of the entries", func() {
		with, without := simulate("LimitedService"), simulate("LimitedService", modeler.MechanismCounting)
		Expect(with.InTime).To(BeNumerically(">", without.InTime+0.04))
		Expect(with.Worst).To(BeNumerically(">", without.Worst+0.08))
	})
})
