package indexer

import (
	"testing"

	"pgregory.net/rapid"
)

// TestPropertyTable compares a table, whose records collide, with a map. The value of a
// record is its hash.
func TestPropertyTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d table
		var records []uint64
		hashAt := func(position uint32) uint64 { return records[position] }
		find := func(h uint64) (uint32, bool) {
			return d.find(h, func(position uint32) bool { return records[position] == h })
		}
		held := map[uint64]uint32{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			// Many hashes have equal low bits, and some also have equal tags.
			h := rapid.Uint64Range(0, 20).Draw(t, "hash")<<43 | rapid.Uint64Range(0, 3).Draw(t, "slot")
			position, ok := find(h)
			if want, exists := held[h]; ok != exists || ok && position != want {
				t.Fatalf("%x: found %d, %v, want %d, %v", h, position, ok, want, exists)
			}
			if ok {
				d.remove(h, position)
				delete(held, h)
				continue
			}
			records = append(records, h)
			held[h] = uint32(len(records) - 1)
			d.insert(h, held[h], hashAt)
		}
		for h, want := range held {
			if position, ok := find(h); !ok || position != want {
				t.Fatalf("%x: found %d, %v, want %d", h, position, ok, want)
			}
		}
	})
}
