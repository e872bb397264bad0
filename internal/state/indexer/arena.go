package indexer

import "strings"

const (
	// chunkBits is the number of bits of a text's offset within its chunk.
	chunkBits = 14
	// maxChunkBytes is the maximum size of a chunk, and therefore of a text, since a
	// text never extends beyond its chunk.
	maxChunkBytes = 1 << chunkBits
	// minChunkBytes is the minimum size of a chunk whose size is not known in advance.
	minChunkBytes = 1 << 7
	// wasteDivisor limits the released bytes to 1/32 of the live bytes. A shard of the
	// planned size is then rebuilt after some hundred changes.
	wasteDivisor = 32
	// growthDivisor makes an arena grow by 1/8 of the live bytes.
	growthDivisor = 8
)

// textRef is the location of a text in an arena: chunk number and offset.
type textRef uint32

// arena stores texts. It only grows; a shard with too many released bytes is rebuilt
// with a new arena. It is protected by the lock of the struct that contains it.
//
// A chunk is written by a strings.Builder, never beyond its initial capacity. Its buffer
// is therefore never reallocated, and a substring of it that was returned is never
// overwritten.
type arena struct {
	// chunks contains the part of each chunk that has been written.
	chunks []string
	// builder writes the last chunk; it is nil if there is none.
	builder *strings.Builder
	// expectedBytes is the number of bytes that will still be added, or 0 if it is not
	// known in advance. The next chunk gets this size, limited to maxChunkBytes.
	expectedBytes int
	// liveBytes and deadBytes are the total lengths of the texts in use and of the
	// released texts.
	liveBytes, deadBytes int
}

// add copies the concatenated parts into the arena. It panics if they are longer than
// maxChunkBytes.
func (a *arena) add(parts ...string) textRef {
	length := 0
	for _, p := range parts {
		length += len(p)
	}
	if length > maxChunkBytes {
		panic("indexer: text longer than a chunk")
	}
	a.reserve(length)
	ref := textRef((len(a.chunks)-1)<<chunkBits | a.builder.Len())
	for _, p := range parts {
		a.builder.WriteString(p)
	}
	a.chunks[len(a.chunks)-1] = a.builder.String()
	a.liveBytes += length
	a.expectedBytes = max(0, a.expectedBytes-length)
	return ref
}

// reserve starts a new chunk unless the last one has room for length bytes.
func (a *arena) reserve(length int) {
	// The offset must fit into chunkBits bits, also that of an empty text.
	if a.builder != nil && a.builder.Cap()-a.builder.Len() >= length && a.builder.Len() < maxChunkBytes {
		return
	}
	size := a.expectedBytes
	if size == 0 {
		size = max(a.liveBytes/growthDivisor, minChunkBytes)
	}
	a.builder = &strings.Builder{}
	a.builder.Grow(max(min(size, maxChunkBytes), length))
	a.chunks = append(a.chunks, "")
}

// text returns the text of length bytes at ref.
func (a *arena) text(ref textRef, length int) string {
	offset := int(ref & (maxChunkBytes - 1))
	return a.chunks[ref>>chunkBits][offset : offset+length]
}

// release records that a text of length bytes is no longer in use.
func (a *arena) release(length int) {
	a.liveBytes -= length
	a.deadBytes += length
}

// needsCompaction reports whether enough bytes were released to justify a rebuild.
func (a *arena) needsCompaction() bool { return a.deadBytes > minChunkBytes+a.liveBytes/wasteDivisor }
