package journaler

import "fmt"

// ErrDamaged reports that synced data can't be read back.
type ErrDamaged struct {
	// File is the path of the damaged file.
	File string
	// Offset is the offset in File, in bytes, of the first unreadable range.
	Offset int64
	// Reason describes the damage.
	Reason string
}

// Error implements error.
func (e ErrDamaged) Error() string {
	return fmt.Sprintf("damaged file %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

// ErrFailed reports that a file operation of the journal has failed. It is unknown
// which data reached the storage medium. The error is permanent; the journal has to be
// closed, and Open continues with what can be read back.
type ErrFailed struct {
	// Operation names the failed file operation.
	Operation string
	// Cause is the error of that operation.
	Cause error
}

// Error implements error.
func (e ErrFailed) Error() string {
	return fmt.Sprintf("journal failed: %s: %v", e.Operation, e.Cause)
}

// Unwrap returns Cause.
func (e ErrFailed) Unwrap() error { return e.Cause }

// ErrFull reports that an append would exceed Settings.MaximumBytes. Nothing was
// written; appends can succeed again after a truncation.
type ErrFull struct {
	// Bytes is the size that the journal would have had, in bytes.
	Bytes int64
	// Limit is the maximum size in bytes.
	Limit int64
}

// Error implements error.
func (e ErrFull) Error() string {
	return fmt.Sprintf("journal full: %d bytes would pass the limit of %d", e.Bytes, e.Limit)
}
