package suspecter_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// BenchmarkTable measures what a call pays: with no suspects, with as many as there may be
// and none at its place, and where it is one.
func BenchmarkTable(b *testing.B) {
	RegisterTestingT(b)
	table, none, full := suspecter.NewTable(suspecter.Settings{}), newControl(), newControl()
	for i := range storer.MaxSuspects {
		full.apply(ended(1, "n"+strconv.Itoa(i)))
	}
	place, other := request("n7").Place(), request("other").Place()
	id := identifier.Identify(request("n7"))
	b.Run("None", func(b *testing.B) {
		for b.Loop() {
			if table.HasSuspects(none.tracker.View()) {
				b.Fatal("a suspect")
			}
		}
	})
	b.Run("Others", func(b *testing.B) {
		for b.Loop() {
			if table.SuspectAt(full.tracker.View(), other) {
				b.Fatal("a suspect")
			}
		}
	})
	b.Run("Same", func(b *testing.B) {
		for b.Loop() {
			if !table.SuspectAt(full.tracker.View(), place) {
				b.Fatal("no suspect")
			}
			table.Quarantine(full.tracker.View(), start, id)
		}
	})
}
