package placer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PartHash identifies a prompt part as processed with a version of an adapter. The
// version is 0 and the adapter empty for the bare model. The cache holds a part for one
// version only, and only together with all preceding parts: before is the hash of the
// preceding part, or 0 for the first.
//
// Entries and companions must compute the same hash. When one side left out the
// version, entries found none of the parts cached on behalf of other entries, and a
// quarter of the prompt tokens sent were read again.
func PartHash(model, adapter string, version uint64, before uint32, part uint64) uint32 {
	var b [20]byte
	binary.LittleEndian.PutUint32(b[:], before)
	binary.LittleEndian.PutUint64(b[4:], part)
	binary.LittleEndian.PutUint64(b[12:], version)
	d := xxhash.New()
	// Writes to a Digest never return an error.
	_, _ = d.WriteString(model + "/" + adapter)
	_, _ = d.Write(b[:])
	return uint32(d.Sum64())
}
