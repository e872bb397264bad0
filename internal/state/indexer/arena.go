package indexer

import "strings"

const (
	// chunkBits is the number of bits of a text's place within its chunk.
	chunkBits = 14
	// maxChunk is the size of a full chunk in bytes. A text never crosses a
	// chunk's end, so it bounds the length of a text.
	maxChunk = 1 << chunkBits
	minChunk = 1 << 7
	// wasteShare is the part of the live bytes that may be waste besides: 1/32.
	// A shard of the planned size is then built anew after some hundred changes.
	wasteShare = 32
	// growthShare is the part of the live bytes by which an arena grows: 1/8.
	growthShare = 8
)

// textRef is the place of a text in an arena: chunk and offset.
type textRef uint32

// arena holds texts. It only grows; a shard which has dropped much is built
// anew. It is guarded by the lock of what holds it.
//
// A chunk is written by a strings.Builder, never beyond the capacity which that
// began with. Its buffer therefore never moves, and a part of it that was handed
// out is never written again.
type arena struct {
	// chunks hold what is written of each chunk.
	chunks []string
	// last writes the last chunk; nil before the first.
	last *strings.Builder
	// expected is the number of bytes that are still to come, where they are
	// known beforehand: the next chunk gets just that size, if it is less than
	// a full one.
	expected int
	// live and dead are the bytes of texts in use and of texts dropped.
	live, dead int
}

// add copies the parts, joined, into the arena.
func (a *arena) add(parts ...string) textRef {
	length := 0
	for _, p := range parts {
		length += len(p)
	}
	if length > maxChunk {
		panic("indexer: text longer than a chunk")
	}
	a.makeRoom(length)
	ref := textRef((len(a.chunks)-1)<<chunkBits | a.last.Len())
	for _, p := range parts {
		a.last.WriteString(p)
	}
	a.chunks[len(a.chunks)-1] = a.last.String()
	a.live += length
	a.expected = max(0, a.expected-length)
	return ref
}

// makeRoom begins a new chunk unless the last one has room for length bytes.
func (a *arena) makeRoom(length int) {
	// An offset must fit its bits, also that of an empty text.
	if a.last != nil && a.last.Cap()-a.last.Len() >= length && a.last.Len() < maxChunk {
		return
	}
	size := a.expected
	if size == 0 {
		size = max(a.live/growthShare, minChunk)
	}
	a.last = &strings.Builder{}
	a.last.Grow(max(min(size, maxChunk), length))
	a.chunks = append(a.chunks, "")
}

// text returns length bytes at ref.
func (a *arena) text(ref textRef, length int) string {
	offset := int(ref & (maxChunk - 1))
	return a.chunks[ref>>chunkBits][offset : offset+length]
}

// drop counts a text of length bytes as no longer in use.
func (a *arena) drop(length int) {
	a.live -= length
	a.dead += length
}

// wasteful reports whether so much was dropped that building anew pays.
func (a *arena) wasteful() bool { return a.dead > minChunk+a.live/wasteShare }
