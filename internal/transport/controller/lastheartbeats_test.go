package controller

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Last heartbeats", func() {
	It("identify a reordered heartbeat", func() {
		// Guards against a delayed heartbeat, received after a later one, that renews the
		// lease of a backend server that has crashed.
		h := &lastHeartbeats{}
		Expect(h.observe("a", "i 1", 4)).To(BeTrue())
		Expect(h.observe("a", "i 1", 3)).To(BeFalse())
		Expect(h.observe("a", "i 1", 4)).To(BeTrue(), "resent, since its answer was lost")
		Expect(h.observe("a", "i 2", 1)).To(BeTrue(), "another incarnation has its own sequence")
		Expect(h.observe("a", "i 2", 0)).To(BeTrue(), "without a sequence")
		Expect(h.observe("b", "i 1", 1)).To(BeTrue())
	})
})
