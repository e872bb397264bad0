// Package snapshotter keeps, in one folder, the small files of a replica that
// are replaced as a whole: snapshots of a state machine, the identity of the
// host, and the hard state (term and vote) of its consensus.
//
// Each file is written under a temporary name, synced, renamed, and its folder
// synced, so that a crash leaves the old one or the new one. Each carries a
// CRC32C over all of it; one that can't be read back is reported as
// journaler.ErrDamaged.
//
// The last two snapshots are kept, so that a damaged one can be replaced by the
// one before it and the journal since then. A snapshot travels between hosts as
// the raw bytes of its file in pieces; the receiver keeps the pieces in a file
// named for the snapshot's checksum, so that a transfer goes on where it
// stopped, also after a restart and from another sender of the same bytes.
//
// Sizes and offsets are in bytes.
package snapshotter
