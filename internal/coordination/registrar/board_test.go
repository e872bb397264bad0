package registrar_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
)

var _ = Describe("Board", func() {
	// Guards against an entry that routes to a backend server for a version it has evicted. A
	// companion moves to another control host, and its last report over the old path arrives after
	// the first one over the new path. The latest report must win, not the latest arrival.
	It("ignores a report that arrives after a newer one", func() {
		b := registrar.NewBoard()
		Expect(b.Apply(registrar.ServerChange{Name: "s", Epoch: 3, Sequence: 2, Loaded: []string{"w/new@1"}})).To(BeTrue())
		Expect(b.Apply(registrar.ServerChange{Name: "s", Epoch: 3, Sequence: 1, Loaded: []string{"w/old@1"}})).To(BeTrue())
		Expect(b.Apply(registrar.ServerChange{Name: "s", Epoch: 2, Sequence: 9, Loaded: []string{"w/old@1"}})).To(BeTrue())
		s, _ := b.State("s")
		Expect(s.Resident).To(Equal([]string{"w/new@1"}))
	})

	It("publishes no change of load within a level", func() {
		b := registrar.NewBoard()
		b.Apply(registrar.ServerChange{Name: "s", Epoch: 1, Sequence: 1, Load: registrar.Load{Running: 1, MaxBatch: 16}})
		Expect(b.Collect().Changes).To(HaveLen(1))
		b.Apply(registrar.ServerChange{Name: "s", Epoch: 1, Sequence: 2, Base: 1, Load: registrar.Load{Running: 2, MaxBatch: 16}})
		Expect(b.Collect().Changes).To(BeEmpty())
		b.Apply(registrar.ServerChange{Name: "s", Epoch: 1, Sequence: 3, Base: 2, Load: registrar.Load{Running: 16, MaxBatch: 16}})
		Expect(b.Collect().Changes).To(HaveLen(1))
	})
})

var _ = Describe("Board at the planned number of backend servers", func() {
	// Guards against entries whose network carries mostly the loads of backend servers that they
	// never call. The load of a whole region changes at once; it must not cause a message for each
	// change.
	It("defers changes of load alone, publishes the largest first, and defers no change of residency", func() {
		b := registrar.NewBoard()
		report := func(sequence uint64, i, running int, resident ...string) {
			b.Apply(registrar.ServerChange{
				Name: fmt.Sprintf("s%d", i), Epoch: 1, Sequence: sequence,
				Load: registrar.Load{Running: running, MaxBatch: 8}, Loaded: resident,
			})
		}
		for i := range 10 {
			report(1, i, 0)
		}
		b.Collect()
		for i := range 9 {
			report(2, i, 1)
		}
		report(2, 9, 8)
		report(3, 0, 1, "w/a@1")
		first := b.Collect().Changes
		Expect(first).To(HaveLen(1 + registrar.MaxLoadChanges))
		Expect(first[0].Name).To(Equal("s0"))
		Expect(first[len(first)-1].Name).To(Equal("s9"))
		Expect(b.Collect().Changes).To(HaveLen(registrar.MaxLoadChanges))
		Expect(b.Collect().Changes).To(HaveLen(1))
		Expect(b.Collect().Changes).To(BeEmpty())
	})
})

// A subscriber that received Whole once and every Collect after it holds the state that the board
// published, whenever it subscribed.
func TestPropertyBoardFollowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := registrar.NewBoard(), registrar.NewBoard()
		following := false
		state := make(map[string]registrar.ServerState)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(t, "server"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if s, ok := state[name]; ok {
					source.Drop(name, s.Epoch)
					state[name] = registrar.ServerState{Name: name, Epoch: s.Epoch + 1}
				}
			case 1:
				batch := source.Collect()
				if !following {
					following = true
					batch = source.Whole()
				}
				for _, gone := range batch.Gone {
					follower.Drop(gone, ^uint64(0))
				}
				for _, c := range batch.Changes {
					if !follower.Apply(c) {
						t.Fatalf("the follower lacks the base of %+v", c)
					}
				}
				for name, s := range state {
					want, _ := source.State(name)
					got, _ := follower.State(name)
					if !want.Equivalent(got) {
						t.Fatalf("%s: source %+v, follower %+v, state %+v", name, want, got, s)
					}
				}
			default:
				previous, ok := state[name]
				if !ok {
					previous = registrar.ServerState{Name: name, Epoch: 1}
				}
				next := previous
				next.Sequence++
				next.Load = registrar.Load{Running: rapid.IntRange(0, 8).Draw(t, "running"), MaxBatch: 8}
				next.Resident = nil
				for v := range 3 {
					if rapid.Bool().Draw(t, "resident") {
						next.Resident = append(next.Resident, fmt.Sprintf("w/a%d@1", v))
					}
				}
				if !source.Apply(next.ChangeFrom(previous)) {
					t.Fatalf("the source lacks the base of a change built from its own state")
				}
				state[name] = next
			}
		}
	})
}
