package orderer

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Sentinel errors, to be matched with errors.Is. Every *Error matches either ErrNotRun or
// ErrUnknown, and at most one of the others in addition.
const (
	// ErrNotRun means that the work can't have begun.
	ErrNotRun = errors.ConstError("not run")
	// ErrUnknown means that the work may have begun, and may have ended.
	ErrUnknown = errors.ConstError("outcome unknown")
	// ErrNotResident means that the named adapter is not resident in the engine.
	ErrNotResident = errors.ConstError("adapter not resident")
	// ErrFenced means that the engine has received a higher fencing number.
	ErrFenced = errors.ConstError("fencing number too low")
	// ErrNoSlot means that a load found no free adapter slot.
	ErrNoSlot = errors.ConstError("no free adapter slot")
	// ErrAlreadyLoaded means that the adapter is already resident or loading.
	ErrAlreadyLoaded = errors.ConstError("adapter already loaded")
	// ErrLoadFailed means that the engine began a load and aborted it. The adapter is
	// not resident. An error with this reason matches ErrUnknown, since the load began.
	ErrLoadFailed = errors.ConstError("adapter load failed")
	// ErrMoved means that the KV cache of the request was exported. The stream continues
	// at the engine that imports it.
	ErrMoved = errors.ConstError("request moved")
	// ErrWrongModel means that the engine answered with a model other than the requested
	// one.
	ErrWrongModel = errors.ConstError("answer of another model")
	// ErrRequestNotFound means that the engine doesn't know a request. An error with
	// this reason matches ErrUnknown, since the request may still arrive or may have run
	// before.
	ErrRequestNotFound = errors.ConstError("request not known to the engine")
	// ErrSilent means that nothing was received on a connection for the silence limit.
	ErrSilent = errors.ConstError("connection silent")
)

// Error is the error of a failed call, with its outcome as far as known.
type Error struct {
	// MayHaveBegun reports whether the work may have begun. The error then matches
	// ErrUnknown, otherwise ErrNotRun.
	MayHaveBegun bool
	// Reason is a more specific sentinel error, or nil.
	Reason error
	// Status is the HTTP status of the answer, or 0 if none was received.
	Status int
	// Type and Message are the error type and message sent by the backend server, if
	// any.
	Type    string
	Message string
	// RetryAfter is the waiting time that a refusal requested, or 0.
	RetryAfter time.Duration
	// Incarnation is the incarnation of the engine, if an answer contained it.
	Incarnation string
	// Cause is the underlying error, or nil.
	Cause error
}

// Error returns the outcome, reason, status, message and cause on one line.
func (e *Error) Error() string {
	outcome := ErrNotRun
	if e.MayHaveBegun {
		outcome = ErrUnknown
	}
	text := outcome.Error()
	if e.Reason != nil {
		text += ": " + e.Reason.Error()
	}
	if e.Status != 0 {
		text += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Message != "" {
		text += ": " + e.Message
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Is reports whether target is ErrUnknown or ErrNotRun according to MayHaveBegun, or the
// reason of e or of an *Error in its cause.
func (e *Error) Is(target error) bool {
	switch target {
	case ErrUnknown:
		return e.MayHaveBegun
	case ErrNotRun:
		return !e.MayHaveBegun
	}
	if e.Reason != nil && target == e.Reason {
		return true
	}
	inner := e.inner()
	return inner != nil && inner.Is(target)
}

// Unwrap returns the innermost cause, skipping all nested *Errors.
//
// The cause of a failed call may be the *Error of a subordinate call: an attempt to
// resume a stream is "not run" if its connection is refused. If Unwrap returned that
// error, the request would match ErrNotRun although it may have run, and its caller would
// send it a second time.
func (e *Error) Unwrap() error {
	if inner := e.inner(); inner != nil {
		return inner.Unwrap()
	}
	return e.Cause
}

// inner returns the outermost *Error in the cause of e, or nil.
func (e *Error) inner() *Error {
	var inner *Error
	if errors.As(e.Cause, &inner) {
		return inner
	}
	return nil
}
