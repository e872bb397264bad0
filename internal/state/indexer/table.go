package indexer

const (
	// positionBits is the number of bits of a record's position in a slot; the
	// rest is a tag of the record's hash.
	positionBits = 20
	positionMask = 1<<positionBits - 1
	// tombstone marks a slot whose record was removed.
	tombstone = 1<<32 - 1
	// maxRecords is the number of records one table can hold.
	maxRecords = positionMask - 1

	minSlots = 8
)

// table is a hash table with open addressing from hashes to record positions.
// The records lie elsewhere, as does the comparison of their names: a slot's
// tag spares all but one comparison in 4096 of those that would fail.
type table struct {
	// slots are zero when empty, tombstone, or tag and position plus one. Their
	// number is zero or a power of two, and a quarter of them or more is empty.
	slots []uint32
	// used counts the slots that are not empty, live those with a record.
	used, live int
}

func slotOf(hash uint64, position uint32) uint32 {
	return tagOf(hash)<<positionBits | (position + 1)
}

// tagOf takes bits which choose neither the shard nor the first slot.
func tagOf(hash uint64) uint32 { return uint32(hash>>32) & (1<<(32-positionBits) - 1) }

// find returns the position of the record with the hash for which equal holds.
func (t *table) find(hash uint64, equal func(position uint32) bool) (position uint32, ok bool) {
	if len(t.slots) == 0 {
		return 0, false
	}
	mask := uint64(len(t.slots) - 1)
	tag := tagOf(hash)
	for i := hash & mask; t.slots[i] != 0; i = (i + 1) & mask {
		s := t.slots[i]
		if s != tombstone && s>>positionBits == tag && equal(s&positionMask-1) {
			return s&positionMask - 1, true
		}
	}
	return 0, false
}

// insert adds a record which the table does not hold. hashOf gives the hash of
// a record that it does hold.
func (t *table) insert(hash uint64, position uint32, hashOf func(position uint32) uint64) {
	if position >= maxRecords {
		panic("indexer: too many records in one shard")
	}
	if 4*(t.used+1) > 3*len(t.slots) {
		t.resize(t.live+1, hashOf)
	}
	t.put(hash, position)
}

func (t *table) put(hash uint64, position uint32) {
	mask := uint64(len(t.slots) - 1)
	i := hash & mask
	for t.slots[i] != 0 {
		i = (i + 1) & mask
	}
	t.slots[i] = slotOf(hash, position)
	t.used++
	t.live++
}

// remove takes out the record at a position.
func (t *table) remove(hash uint64, position uint32) {
	mask := uint64(len(t.slots) - 1)
	for i := hash & mask; t.slots[i] != 0; i = (i + 1) & mask {
		if t.slots[i] == slotOf(hash, position) {
			t.slots[i] = tombstone
			t.live--
			return
		}
	}
}

// resize makes room for n records.
func (t *table) resize(n int, hashOf func(position uint32) uint64) {
	old := t.slots
	size := minSlots
	for 3*size < 4*(n+1) {
		size *= 2
	}
	t.slots, t.used, t.live = make([]uint32, size), 0, 0
	for _, s := range old {
		if s != 0 && s != tombstone {
			position := s&positionMask - 1
			t.put(hashOf(position), position)
		}
	}
}
