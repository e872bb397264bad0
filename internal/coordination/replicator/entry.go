package replicator

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// entryHeadSize is the size of term and kind in an encoded entry; the index is
// the journal's.
const entryHeadSize = 8 + 1

// entryOverhead is what an entry is counted for besides its data.
const entryOverhead = 64

// encodeEntry returns the entry's record for the journal.
func encodeEntry(e Entry) []byte {
	b := make([]byte, 0, entryHeadSize+len(e.Data))
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = append(b, byte(e.Kind))
	return append(b, e.Data...)
}

// decodeEntry reads a record of the journal. The entry's data aliases it.
func decodeEntry(index uint64, record []byte) (Entry, error) {
	if len(record) < entryHeadSize {
		return Entry{}, errors.Errorf("entry %d has only %d bytes", index, len(record))
	}
	return Entry{
		Index: index,
		Term:  binary.LittleEndian.Uint64(record),
		Kind:  EntryKind(record[entryHeadSize-1]),
		Data:  record[entryHeadSize:],
	}, nil
}

// entrySize returns what an entry counts for in bounds on bytes.
func entrySize(e Entry) int { return len(e.Data) + entryOverhead }
