package modeler_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/modeler"
)

func TestModeler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Modeler")
}

func simulate(pattern string, without ...modeler.Mechanism) modeler.Row {
	GinkgoHelper()
	p, err := modeler.FindPattern(pattern)
	Expect(err).NotTo(HaveOccurred())
	const seeds, atOnce = 2, 2
	row, err := modeler.SimulateSeeds(p, without, seeds, atOnce)
	Expect(err).NotTo(HaveOccurred())
	GinkgoWriter.Printf("%+v\n", row)
	return row
}

// mostEngines is the number of engines from which a pattern is simulated for a shorter time.
const mostEngines = 200

var _ = Describe("A simulation", func() {
	It("is reproducible with the same seed", func() {
		p, err := modeler.FindPattern("FewServers")
		Expect(err).NotTo(HaveOccurred())
		first, err := modeler.Simulate(modeler.Settings{Pattern: p, Seed: 7})
		Expect(err).NotTo(HaveOccurred())
		second, err := modeler.Simulate(modeler.Settings{Pattern: p, Seed: 7})
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
	})

	It("counts every call with exactly one outcome", func() {
		for _, p := range modeler.Patterns() {
			counted := 4 * time.Second
			if p.Engines > mostEngines {
				p.WarmUp, counted = 500*time.Millisecond, time.Second
				p.PowerLossAt, p.Outage = min(p.PowerLossAt, time.Second), min(p.Outage, 200*time.Millisecond)
			}
			p.Length = p.WarmUp + counted
			r, err := modeler.Simulate(modeler.Settings{Pattern: p, Seed: 3})
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Origin).NotTo(BeEmpty())
			Expect(r.InTime()+r.Late()+r.Lost()).To(BeNumerically("~", 1, 0.002), p.Name)
		}
	})

	It("rejects unknown names of patterns and mechanisms", func() {
		_, err := modeler.FindPattern("Bogus")
		Expect(err).To(MatchError(ContainSubstring("PowerLoss")))
		_, err = modeler.FindMechanism("Bogus")
		Expect(err).To(MatchError(ContainSubstring("Pacing")))
	})
})

// Guards against one request that crashes engines over and over: up to six of twelve engines
// were down at any time for a quarter of a minute, their calls were lost and other calls
// could not be placed. The request crashes the engine that begins to run it, its entry sends
// it to a second engine, and the caller retries at another entry, while each engine is back
// after three seconds. Without quarantine, no state about the request outlives one attempt of
// its caller, and entries don't share what it did. At every crash the request is recognized
// by its identity.
var _ = DescribeTable("A request that crashes the backend servers that run it is quarantined",
	func(pattern string) {
		p, err := modeler.FindPattern(pattern)
		Expect(err).NotTo(HaveOccurred())
		const mostRepeated = 3
		for seed := range uint64(4) {
			r, err := modeler.Simulate(modeler.Settings{Pattern: p, Seed: seed + 1})
			Expect(err).NotTo(HaveOccurred())
			GinkgoWriter.Printf("%d: %d ended, %d repeated, in time %.3f, lost %.3f\n", seed, r.Ended, r.Repeated, r.InTime(), r.Lost())
			Expect(r.Ended).To(BeNumerically(">=", 3), "too few crashes to test the quarantine")
			Expect(r.Repeated).To(BeNumerically("<=", mostRepeated))
			Expect(r.Quarantined).NotTo(BeZero())
			Expect(r.Innocent).To(BeZero(), "no other request may be quarantined")
		}
	},
	Entry("engines", "EndingEngines"),
	Entry("servers of a plain service", "EndingServers"),
)

// Each of these loads has one bottleneck, which the mechanism addresses.
var _ = Describe("A mechanism", func() {
	It("that sends misplaced calls back helps many entries, which get states of other domains late", func() {
		with, without := simulate("Large"), simulate("Large", modeler.MechanismSendingBack)
		Expect(with.InTime).To(BeNumerically(">", without.InTime+0.015))
		Expect(with.Lost).To(BeNumerically("<", without.Lost))
	})

	It("that reports to many entries less often costs little", func() {
		sparing, all := simulate("Large"), simulate("Large", modeler.MechanismSparing)
		Expect(sparing.InTime).To(BeNumerically(">", all.InTime-0.03))
	})

	It("that allows more concurrent loads helps in a burst that waits for loads", func() {
		// Guards against unused store capacity: on a day of high load, eight in ten late
		// calls waited for loads, with a median of half a second, while the store served
		// half of what it could.
		with, without := simulate("Burst"), simulate("Burst", modeler.MechanismWidth)
		Expect(with.InTime).To(BeNumerically(">", without.InTime+0.04))
		Expect(with.Worst).To(BeNumerically(">", without.Worst+0.05))
	})

	It("that prefers loads in time serves more calls in time after a power loss", func() {
		// Guards against persistent lateness: for seconds after a power loss nearly all
		// answers were late, because each load served calls that were late already and
		// made the next ones late too.
		with, without := simulate("PowerLoss"), simulate("PowerLoss", modeler.MechanismSlack)
		Expect(with.InTime).To(BeNumerically(">", without.InTime+0.03))
	})

	It("that reports the state of engines avoids half of the repeated loads", func() {
		with, without := simulate("PowerLoss"), simulate("PowerLoss", modeler.MechanismStates)
		Expect(with.Copies).To(BeNumerically("<", without.Copies/2))
		Expect(with.InTime).To(BeNumerically(">", without.InTime+0.1))
	})

	It("that quarantines crash requests serves the other calls", func() {
		for _, pattern := range []string{"EndingEngines", "EndingServers"} {
			with, without := simulate(pattern), simulate(pattern, modeler.MechanismQuarantine)
			Expect(with.InTime).To(BeNumerically(">", without.InTime+0.3), pattern)
			Expect(with.Lost).To(BeNumerically("<", without.Lost/4), pattern)
		}
	})

	It("that limits plain calls serves in time what the one remaining server of three can", func() {
		// Guards against an overloaded server: after two of three application servers had
		// left, the remaining one rejected three of five sends and served the others late.
		with, without := simulate("FewServers"), simulate("FewServers", modeler.MechanismThrottling)
		Expect(with.InTime).To(BeNumerically(">", without.InTime+0.08))
		Expect(with.TurnedAway).To(BeNumerically("<", without.TurnedAway/20))
	})
})
