// Package journaler keeps a write-ahead journal in one data folder.
//
// A journal is a run of records numbered without gaps, cut into segment files.
// Each segment starts with a checksummed header that holds the index of its
// first record and is named for it; each record is framed by its length, a
// CRC32C, its index, and the offset up to which its segment was known to be
// synced when the record was written.
//
// That last field separates the two ways in which a record can be unreadable.
// A crash leaves a tail that was never synced, and so never acknowledged: Open
// cuts it. A record that a later record knows to have been synced can only be
// unreadable because the medium lost it: Open refuses the journal with
// ErrDamaged, naming file and offset. Damage to the very last synced records,
// after which nothing was written, can't be told from a torn tail.
//
// Append returns once its records are synced; concurrent calls share one sync.
// A failed write or sync leaves the contents of the page cache unknown, and a
// second sync could report success for data that was dropped. The journal is
// therefore failed for good (ErrFailed), and its process has to stop.
//
// All access to files goes through FileSystem. Byte counts are in bytes,
// indices start at 1.
package journaler
