package indexer

const (
	// positionBits is the number of bits of a slot for the record's position; the
	// other bits are a tag from the record's hash.
	positionBits = 20
	positionMask = 1<<positionBits - 1
	// tombstone marks a slot whose record was removed.
	tombstone = 1<<32 - 1
	// maxRecords is the maximum number of records in one table.
	maxRecords = positionMask - 1

	minSlots = 8
)

// table is a hash table with open addressing that maps hashes to record positions. The
// records are stored elsewhere, and the caller compares their names. The 12-bit tag of a
// slot avoids all but one in 4096 of the comparisons that would fail.
type table struct {
	// slots contains 0 for an empty slot, tombstone, or a tag and a position plus one.
	// The number of slots is 0 or a power of two; at least a quarter of them is empty.
	slots []uint32
	// usedSlots is the number of slots that are not empty, including tombstones;
	// liveSlots is the number of slots with a record.
	usedSlots, liveSlots int
}

func makeSlot(hash uint64, position uint32) uint32 {
	return tagOf(hash)<<positionBits | (position + 1)
}

// tagOf returns the tag of a hash. It uses bits that determine neither the shard nor the
// first slot.
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

// insert adds a record that is not in the table. hashOf returns the hash of a record that
// is already in the table.
func (t *table) insert(hash uint64, position uint32, hashOf func(position uint32) uint64) {
	if position >= maxRecords {
		panic("indexer: too many records in one shard")
	}
	if 4*(t.usedSlots+1) > 3*len(t.slots) {
		t.resize(t.liveSlots+1, hashOf)
	}
	t.put(hash, position)
}

func (t *table) put(hash uint64, position uint32) {
	mask := uint64(len(t.slots) - 1)
	i := hash & mask
	for t.slots[i] != 0 {
		i = (i + 1) & mask
	}
	t.slots[i] = makeSlot(hash, position)
	t.usedSlots++
	t.liveSlots++
}

// remove removes the record with the hash at a position.
func (t *table) remove(hash uint64, position uint32) {
	mask := uint64(len(t.slots) - 1)
	for i := hash & mask; t.slots[i] != 0; i = (i + 1) & mask {
		if t.slots[i] == makeSlot(hash, position) {
			t.slots[i] = tombstone
			t.liveSlots--
			return
		}
	}
}

// resize rebuilds the table with room for n records and without tombstones.
func (t *table) resize(n int, hashOf func(position uint32) uint64) {
	old := t.slots
	size := minSlots
	for 3*size < 4*(n+1) {
		size *= 2
	}
	t.slots, t.usedSlots, t.liveSlots = make([]uint32, size), 0, 0
	for _, s := range old {
		if s != 0 && s != tombstone {
			position := s&positionMask - 1
			t.put(hashOf(position), position)
		}
	}
}
