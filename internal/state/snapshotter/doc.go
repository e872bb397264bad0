// Package snapshotter stores, in one folder, the small files of a replica that are
// always replaced as a whole: snapshots of a state machine, the identity of the host,
// and the hard state (term and vote) of its consensus.
//
// Each file is written under a temporary name, synced and renamed, and then its folder
// is synced, so that a crash leaves either the old or the new file. Each file ends
// with a CRC32C of its contents; a file that can't be read back is reported as
// journaler.ErrDamaged.
//
// The last two snapshots are retained, so that a damaged one can be replaced by its
// predecessor and the journal since then. A snapshot is transferred between hosts as
// the raw bytes of its file, in pieces. The receiver stores the pieces in a file named
// for the snapshot's checksum, so that a transfer can be resumed after a restart, also
// with another sender of the same bytes.
//
// Sizes and offsets are in bytes.
package snapshotter
