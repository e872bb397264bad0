package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// Layout of a segment header: magic, index of the first record (8 bytes), CRC32C (4
// bytes). All integers are little-endian.
const (
	magic             = "MGPJRN01"
	segmentHeaderSize = len(magic) + 8 + 4
)

// Layout of a record: length of the payload, CRC32C of all other fields, index,
// offset up to which the segment is known to be synced, payload.
const (
	lengthOffset     = 0
	checksumOffset   = 4
	indexOffset      = 8
	syncedOffset     = 16
	recordHeaderSize = 24
)

// MaximumRecordBytes is the maximum size of a record's payload. It keeps a damaged
// length field from causing a huge allocation.
const MaximumRecordBytes = 64 << 20

// castagnoliTable is the table of CRC32C, for which processors have instructions.
var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// frame is one record. The payload of a parsed frame aliases the parsed buffer.
type frame struct {
	index uint64
	// syncedEnd is the offset up to which the segment was known to be synced when
	// the record was written.
	syncedEnd int64
	payload   []byte
}

func (f frame) size() int64 { return int64(recordHeaderSize + len(f.payload)) }

// appendFrame appends the encoding of f to b.
func appendFrame(b []byte, f frame) []byte {
	start := len(b)
	var header [recordHeaderSize]byte
	binary.LittleEndian.PutUint32(header[lengthOffset:], uint32(len(f.payload)))
	binary.LittleEndian.PutUint64(header[indexOffset:], f.index)
	binary.LittleEndian.PutUint64(header[syncedOffset:], uint64(f.syncedEnd))
	b = append(b, header[:]...)
	b = append(b, f.payload...)
	binary.LittleEndian.PutUint32(b[start+checksumOffset:], frameChecksum(b[start:]))
	return b
}

// frameChecksum returns the checksum of an encoded record, which covers all of it
// except the checksum field.
func frameChecksum(b []byte) uint32 {
	c := crc32.Update(0, castagnoliTable, b[:checksumOffset])
	return crc32.Update(c, castagnoliTable, b[indexOffset:])
}

// parseFrame parses the record at the start of b. It reports whether the record is
// complete and its checksum matches.
func parseFrame(b []byte) (frame, bool) {
	if len(b) < recordHeaderSize {
		return frame{}, false
	}
	length := binary.LittleEndian.Uint32(b[lengthOffset:])
	if length > MaximumRecordBytes || int(length) > len(b)-recordHeaderSize {
		return frame{}, false
	}
	encoded := b[:recordHeaderSize+int(length)]
	if binary.LittleEndian.Uint32(b[checksumOffset:]) != frameChecksum(encoded) {
		return frame{}, false
	}
	return frame{
		index:     binary.LittleEndian.Uint64(b[indexOffset:]),
		syncedEnd: int64(binary.LittleEndian.Uint64(b[syncedOffset:])),
		payload:   encoded[recordHeaderSize:],
	}, true
}

// laterRecordProvesSync reports whether a valid record after offset from was written
// when the segment was already synced beyond from. The record at from is unreadable,
// so that its length can't be used to find the next one: every offset is tried. The
// check of the record index avoids computing a checksum at most offsets.
func laterRecordProvesSync(b []byte, from int64, index uint64) bool {
	for at := from + 1; at+recordHeaderSize <= int64(len(b)); at++ {
		found := binary.LittleEndian.Uint64(b[at+indexOffset:])
		if found < index || found-index > uint64(len(b)) {
			continue
		}
		if f, ok := parseFrame(b[at:]); ok && f.syncedEnd > from {
			return true
		}
	}
	return false
}

// encodeSegmentHeader returns the header of a segment whose first record has the
// index first.
func encodeSegmentHeader(first uint64) []byte {
	b := binary.LittleEndian.AppendUint64([]byte(magic), first)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoliTable))
}

// parseSegmentHeader parses the segment header at the start of b and returns the
// index of the first record.
func parseSegmentHeader(b []byte) (first uint64, ok bool) {
	if len(b) < segmentHeaderSize {
		return 0, false
	}
	first = binary.LittleEndian.Uint64(b[len(magic):])
	return first, bytes.Equal(b[:segmentHeaderSize], encodeSegmentHeader(first))
}
