package replicator

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// entryHeadSize is the size in bytes of the term and kind in an encoded entry. The index is not
// encoded; it is that of the journal record.
const entryHeadSize = 8 + 1

// entryOverhead is the number of bytes that an entry counts for in addition to its data.
const entryOverhead = 64

// encodeEntry returns the entry's record for the journal.
func encodeEntry(e Entry) []byte {
	b := make([]byte, 0, entryHeadSize+len(e.Data))
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = append(b, byte(e.Kind))
	return append(b, e.Data...)
}

// decodeEntry decodes a journal record. The entry's data aliases the record.
func decodeEntry(index uint64, record []byte) (Entry, error) {
	if len(record) < entryHeadSize {
		return Entry{}, errors.Errorf("entry %d is too short: %d bytes", index, len(record))
	}
	return Entry{
		Index: index,
		Term:  binary.LittleEndian.Uint64(record),
		Kind:  EntryKind(record[entryHeadSize-1]),
		Data:  record[entryHeadSize:],
	}, nil
}

// entrySize returns the number of bytes that an entry counts for in size limits.
func entrySize(e Entry) int { return len(e.Data) + entryOverhead }
