// Package journaler implements a write-ahead journal in one data folder.
//
// A journal is a sequence of records with consecutive indices, stored in segment
// files. Each segment starts with a checksummed header that contains the index of
// its first record, and its file name contains the same index. Each record is
// framed by its length, a CRC32C, its index, and the offset up to which its segment
// was known to be synced when the record was written.
//
// The synced offset distinguishes the two reasons for an unreadable record. A crash
// can leave a tail that was never synced, and therefore never acknowledged: Open
// removes it. If a later record shows that the unreadable record had been synced,
// the storage medium has lost data: Open refuses the journal with ErrDamaged, which
// names the file and the offset. Damage to the last synced records, after which
// nothing was written, can't be distinguished from a torn tail.
//
// Append returns once its records are synced; concurrent calls share one sync.
// After a failed write or sync the contents of the page cache are unknown, and a
// second sync could report success for data that was dropped. The journal is then
// permanently failed (ErrFailed), and has to be opened again. Open rewrites what is not
// proven to be synced before it syncs it.
//
// All file access goes through FileSystem. Sizes and offsets are in bytes; indices
// start at 1.
package journaler
