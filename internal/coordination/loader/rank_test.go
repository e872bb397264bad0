package loader

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Ranked loads", func() {
	// loads returns the versions in the order of their loads, one at a time.
	loads := func(t *Table, now time.Time, rounds int, arrive func(round int) []Want) []string {
		var order []string
		for round := range rounds {
			now = now.Add(300 * time.Millisecond)
			for _, w := range arrive(round) {
				t.Want(now, w)
			}
			for _, permitted := range t.Loads(now) {
				order = append(order, permitted.Version)
				load := single[LoadAction](t.Permitted(now, permitted.Version))
				t.Loaded(now, load.Version, load.Fence, OutcomeDone, "")
			}
		}
		return order
	}
	ranked := func(request, version string, rank int, due time.Time) Want {
		w := want(request, version)
		w.Due, w.Rank, w.Ranked = due, rank, true
		return w
	}

	It("go by rank and then by slack, the longest wait at every fourth", func() {
		t := newTable(Settings{Slots: 100, MaxPermits: 1, SlotWaitTimeout: time.Hour})
		due := start.Add(time.Hour)
		order := loads(t, start, 6, func(round int) []Want {
			if round > 0 {
				return nil
			}
			return []Want{
				ranked("0", "m/first@1", 3, due), ranked("1", "m/low@1", 2, due), ranked("2", "m/middle@1", 1, due),
				ranked("3", "m/high@1", 0, due), ranked("4", "m/urgent@1", 0, due.Add(-time.Minute)),
			}
		})
		Expect(order).To(Equal([]string{"m/first@1", "m/urgent@1", "m/high@1", "m/middle@1", "m/low@1"}))
	})

	// Guards against a single request that never gets its load behind versions that many
	// requests want.
	It("serve a single request within four loads for each version that waits", func() {
		t := newTable(Settings{Slots: 1000, MaxPermits: 1, SlotWaitTimeout: time.Hour})
		const arrival = 4
		waiting := 0
		order := loads(t, start, 60, func(round int) []Want {
			var all []Want
			if round == arrival {
				all = append(all, ranked("single", "m/single@1", 3, start))
				waiting = len(t.waiting) + 1
			}
			for i := range 8 {
				name := fmt.Sprint("m/v", round*2+i/4, "@1")
				all = append(all, ranked(fmt.Sprint(round, "-", i), name, 0, start.Add(time.Hour-time.Duration(round)*time.Second)))
			}
			return all
		})
		Expect(order).To(ContainElement("m/single@1"))
		Expect(slices.Index(order, "m/single@1") - arrival).To(BeNumerically("<=", oldestFirstInterval*waiting))
		Expect(t.Stats().OutOfOrder).To(BeNumerically(">", 0))
	})
})
