package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// Layout of a segment's header: magic, index of the first record, checksum.
const (
	magic           = "MGPJRN01"
	segmentHeadSize = len(magic) + 8 + 4
)

// Layout of a record: length of the payload, checksum of all other fields,
// index, offset known to be synced, payload.
const (
	lengthAt       = 0
	checksumAt     = 4
	indexAt        = 8
	syncedAt       = 16
	recordHeadSize = 24
)

// MaximumRecordBytes bounds the payload of one record, so that a damaged
// length can't ask for more memory than a segment may hold.
const MaximumRecordBytes = 64 << 20

// castagnoli is the polynomial of CRC32C, which processors compute in hardware.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is one parsed record; its payload aliases the parsed buffer.
type frame struct {
	index   uint64
	synced  int64
	payload []byte
}

func (f frame) size() int64 { return int64(recordHeadSize + len(f.payload)) }

// appendFrame appends the encoded record to b.
func appendFrame(b []byte, f frame) []byte {
	start := len(b)
	var head [recordHeadSize]byte
	binary.LittleEndian.PutUint32(head[lengthAt:], uint32(len(f.payload)))
	binary.LittleEndian.PutUint64(head[indexAt:], f.index)
	binary.LittleEndian.PutUint64(head[syncedAt:], uint64(f.synced))
	b = append(b, head[:]...)
	b = append(b, f.payload...)
	binary.LittleEndian.PutUint32(b[start+checksumAt:], frameChecksum(b[start:]))
	return b
}

// frameChecksum covers all of an encoded record but the checksum's own field.
func frameChecksum(b []byte) uint32 {
	c := crc32.Update(0, castagnoli, b[:checksumAt])
	return crc32.Update(c, castagnoli, b[indexAt:])
}

// parseFrame reads the record at the start of b and reports whether it is whole.
func parseFrame(b []byte) (frame, bool) {
	if len(b) < recordHeadSize {
		return frame{}, false
	}
	length := binary.LittleEndian.Uint32(b[lengthAt:])
	if length > MaximumRecordBytes || int(length) > len(b)-recordHeadSize {
		return frame{}, false
	}
	whole := b[:recordHeadSize+int(length)]
	if binary.LittleEndian.Uint32(b[checksumAt:]) != frameChecksum(whole) {
		return frame{}, false
	}
	return frame{
		index:   binary.LittleEndian.Uint64(b[indexAt:]),
		synced:  int64(binary.LittleEndian.Uint64(b[syncedAt:])),
		payload: whole[recordHeadSize:],
	}, true
}

// knownSynced reports whether any whole record after offset from was written
// when the segment was already synced beyond from. Lengths can't be trusted
// there, so each offset is tried; the test of the index keeps checksums rare.
func knownSynced(b []byte, from int64, index uint64) bool {
	for at := from + 1; at+recordHeadSize <= int64(len(b)); at++ {
		found := binary.LittleEndian.Uint64(b[at+indexAt:])
		if found < index || found-index > uint64(len(b)) {
			continue
		}
		if f, ok := parseFrame(b[at:]); ok && f.synced > from {
			return true
		}
	}
	return false
}

// segmentHead encodes the header of a segment.
func segmentHead(first uint64) []byte {
	b := binary.LittleEndian.AppendUint64([]byte(magic), first)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// parseSegmentHead reads the header at the start of b.
func parseSegmentHead(b []byte) (first uint64, ok bool) {
	if len(b) < segmentHeadSize {
		return 0, false
	}
	first = binary.LittleEndian.Uint64(b[len(magic):])
	return first, bytes.Equal(b[:segmentHeadSize], segmentHead(first))
}
