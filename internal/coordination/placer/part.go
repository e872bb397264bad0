package placer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PartHash identifies a prompt part as it was read for an adapter. Parts are
// cached for one adapter each, behind all parts before them.
func PartHash(adapter string, before uint32, part uint64) uint32 {
	var b [12]byte
	binary.LittleEndian.PutUint32(b[:], before)
	binary.LittleEndian.PutUint64(b[4:], part)
	d := xxhash.New()
	// A digest's writes never fail.
	_, _ = d.WriteString(adapter)
	_, _ = d.Write(b[:])
	return uint32(d.Sum64())
}
