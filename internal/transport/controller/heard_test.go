package controller

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Heartbeats that were heard", func() {
	It("tell one that was overtaken on its way", func() {
		// Symptom: the lease of a backend server that has crashed is renewed.
		// Events: a heartbeat is held up, and a later one overtakes it.
		// Cause: routine heartbeats were not told apart.
		h := &heard{}
		Expect(h.note("a", "i 1", 4)).To(BeTrue())
		Expect(h.note("a", "i 1", 3)).To(BeFalse())
		Expect(h.note("a", "i 1", 4)).To(BeTrue(), "the same once more, since its answer was lost")
		Expect(h.note("a", "i 2", 1)).To(BeTrue(), "another life counts anew")
		Expect(h.note("a", "i 2", 0)).To(BeTrue(), "one that tells no count")
		Expect(h.note("b", "i 1", 1)).To(BeTrue())
	})
})
