package generator

import (
	"slices"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// slot is one occupied adapter slot.
type slot struct {
	name  string
	path  string
	phase orderer.AdapterPhase
}

// slotTable is the table of an engine's adapter slots. It is not safe for concurrent use.
type slotTable struct {
	// limit is the number of slots; len(occupied) never exceeds it.
	limit    int
	occupied []*slot
}

func (t *slotTable) find(name string) *slot {
	for _, s := range t.occupied {
		if s.name == name {
			return s
		}
	}
	return nil
}

// resident reports whether the adapter is loaded and can be used.
func (t *slotTable) resident(name string) bool {
	s := t.find(name)
	return s != nil && s.phase == orderer.Resident
}

// reserve occupies a slot for a load and returns it, or nil if none is free.
func (t *slotTable) reserve(name, path string) *slot {
	if len(t.occupied) >= t.limit {
		return nil
	}
	s := &slot{name: name, path: path}
	t.occupied = append(t.occupied, s)
	return s
}

// free frees the slot.
func (t *slotTable) free(s *slot) {
	t.occupied = slices.DeleteFunc(t.occupied, func(o *slot) bool { return o == s })
}
