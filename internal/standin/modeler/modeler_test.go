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

func play(pattern string, without ...modeler.Mechanism) modeler.Row {
	GinkgoHelper()
	p, err := modeler.FindPattern(pattern)
	Expect(err).NotTo(HaveOccurred())
	const seeds, atOnce = 2, 2
	row, err := modeler.SimulateSeeds(p, without, seeds, atOnce)
	Expect(err).NotTo(HaveOccurred())
	GinkgoWriter.Printf("%+v\n", row)
	return row
}

var _ = Describe("A play", func() {
	It("is the same each time", func() {
		p, err := modeler.FindPattern("FewServers")
		Expect(err).NotTo(HaveOccurred())
		first, err := modeler.Simulate(modeler.Settings{Pattern: p, Seed: 7})
		Expect(err).NotTo(HaveOccurred())
		second, err := modeler.Simulate(modeler.Settings{Pattern: p, Seed: 7})
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
	})

	It("accounts for every call", func() {
		for _, p := range modeler.Patterns() {
			p.Length = p.WarmUp + 4*time.Second
			r, err := modeler.Simulate(modeler.Settings{Pattern: p, Seed: 3})
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Origin).NotTo(BeEmpty())
			Expect(r.InTime()+r.Late()+r.Lost()).To(BeNumerically("~", 1, 0.002), p.Name)
		}
	})

	It("knows no other names", func() {
		_, err := modeler.FindPattern("Bogus")
		Expect(err).To(MatchError(ContainSubstring("PowerLoss")))
		_, err = modeler.FindMechanism("Bogus")
		Expect(err).To(MatchError(ContainSubstring("Pacing")))
	})
})

// Symptom: of twelve engines up to six are gone at any time for a quarter of a minute,
// whatever they ran goes with them, and calls find nobody to take them.
// Sequence: one caller's request ends the engine that begins to run it. Its entry hands it
// to a second engine, the caller sends it again to another entry, and so on; each is back
// after three seconds.
// Cause: nothing remembers a request beyond one attempt of its caller, and no entry knows
// what it did at the others. Proved by the identity of the request at every end.
var _ = DescribeTable("A request that ends the backend servers that run it is kept from them",
	func(pattern string) {
		p, err := modeler.FindPattern(pattern)
		Expect(err).NotTo(HaveOccurred())
		const mostRepeated = 3
		for seed := range uint64(4) {
			r, err := modeler.Simulate(modeler.Settings{Pattern: p, Seed: seed + 1})
			Expect(err).NotTo(HaveOccurred())
			GinkgoWriter.Printf("%d: %d ended, %d repeated, in time %.3f, lost %.3f\n", seed, r.Ended, r.Repeated, r.InTime(), r.Lost())
			Expect(r.Ended).To(BeNumerically(">=", 3), "fewer prove nothing")
			Expect(r.Repeated).To(BeNumerically("<=", mostRepeated))
			Expect(r.Quarantined).NotTo(BeZero())
			Expect(r.Innocent).To(BeZero(), "nobody else's request is kept from them")
		}
	},
	Entry("engines", "EndingEngines"),
	Entry("servers of a plain service", "EndingServers"),
)

// Each of these loads binds by one thing, which the mechanism is there for.
var _ = Describe("A mechanism", func() {
	It("that sends misled calls back serves many entries, which know other domains late", func() {
		with, without := play("Large"), play("Large", modeler.MechanismSendingBack)
		Expect(with.InTime).To(BeNumerically(">", without.InTime+0.015))
		Expect(with.Lost).To(BeNumerically("<", without.Lost))
	})

	It("that tells many entries seldomer costs them little", func() {
		sparing, all := play("Large"), play("Large", modeler.MechanismSparing)
		Expect(sparing.InTime).To(BeNumerically(">", all.InTime-0.03))
	})

	It("that loads wider serves a burst that waits for loads", func() {
		// Symptom: eight in ten late calls of a heavy day wait for loads, half a second in
		// the middle, while the store serves half of what it can.
		with, without := play("Burst"), play("Burst", modeler.MechanismWidth)
		Expect(with.InTime).To(BeNumerically(">", without.InTime+0.04))
		Expect(with.Worst).To(BeNumerically(">", without.Worst+0.05))
	})

	It("that begins with loads in time serves more after a loss of power", func() {
		// Symptom: for seconds after a loss of power nearly all answers are late: each load
		// serves calls that are late already, and makes the next ones late too.
		with, without := play("PowerLoss"), play("PowerLoss", modeler.MechanismSlack)
		Expect(with.InTime).To(BeNumerically(">", without.InTime+0.03))
	})

	It("that tells what engines hold spares half of the loads", func() {
		with, without := play("PowerLoss"), play("PowerLoss", modeler.MechanismStates)
		Expect(with.Copies).To(BeNumerically("<", without.Copies/2))
		Expect(with.InTime).To(BeNumerically(">", without.InTime+0.1))
	})

	It("that keeps what ends backend servers from them serves the others", func() {
		for _, pattern := range []string{"EndingEngines", "EndingServers"} {
			with, without := play(pattern), play(pattern, modeler.MechanismQuarantine)
			Expect(with.InTime).To(BeNumerically(">", without.InTime+0.3), pattern)
			Expect(with.Lost).To(BeNumerically("<", without.Lost/4), pattern)
		}
	})

	It("that bounds plain calls serves in time what one server of three can", func() {
		// Symptom: two of three application servers have left; the one that is left turns
		// away three sends of five, and serves the others late.
		with, without := play("FewServers"), play("FewServers", modeler.MechanismThrottling)
		Expect(with.InTime).To(BeNumerically(">", without.InTime+0.08))
		Expect(with.TurnedAway).To(BeNumerically("<", without.TurnedAway/20))
	})
})
