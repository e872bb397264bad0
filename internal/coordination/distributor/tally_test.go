package distributor_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
)

var _ = Describe("Merge", func() {
	// Guards against a list of nodes that differs from one query to the next: which of two
	// reports of a node was listed depended on the order of the answers.
	It("lists the same report of a node in whatever order the hosts answer", func() {
		connected := distributor.NodeRevision{Node: "n", Revision: 3, Connected: true, BehindMillis: 10}
		gone := distributor.NodeRevision{Node: "n", Revision: 5, BehindMillis: 900}
		older := distributor.NodeRevision{Node: "n", Revision: 4, BehindMillis: 400}
		answer := func(m distributor.NodeRevision) distributor.TallyAnswer {
			return distributor.TallyAnswer{Missing: []distributor.NodeRevision{m}}
		}
		all := []distributor.TallyAnswer{answer(connected), answer(gone), answer(older)}
		for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
			f := distributor.Merge(9, []distributor.TallyAnswer{all[order[0]], all[order[1]], all[order[2]]}, nil)
			Expect(f.Missing).To(Equal([]distributor.NodeRevision{connected}), "in the order %v", order)
		}
	})
})
