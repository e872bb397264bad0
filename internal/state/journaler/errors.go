package journaler

import "fmt"

// ErrDamaged reports records which were synced and can't be read back.
type ErrDamaged struct {
	// File is the path of the damaged file.
	File string
	// Offset is the offset in File of the first unreadable byte range.
	Offset int64
	// Reason says what was found there.
	Reason string
}

// Error returns a text that names file and offset.
func (e ErrDamaged) Error() string {
	return fmt.Sprintf("damaged file %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

// ErrFailed reports that a write or sync has failed. The journal stays failed:
// what reached the medium is unknown, so its process has to stop.
type ErrFailed struct {
	// Operation names the file operation which failed.
	Operation string
	// Cause is the error of that operation.
	Cause error
}

// Error returns a text that names the operation and its cause.
func (e ErrFailed) Error() string {
	return fmt.Sprintf("journal failed for good: %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e ErrFailed) Unwrap() error { return e.Cause }

// ErrFull reports that an append would pass the bound on the use of the disk.
// Nothing was written; the journal can be used again once it is truncated.
type ErrFull struct {
	// Bytes is the size that the journal would have had.
	Bytes int64
	// Limit is the bound.
	Limit int64
}

// Error returns a text that names size and bound.
func (e ErrFull) Error() string {
	return fmt.Sprintf("journal full: %d bytes would pass the limit of %d", e.Bytes, e.Limit)
}
