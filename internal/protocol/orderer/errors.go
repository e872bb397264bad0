package orderer

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Sentinel errors, to be matched with errors.Is. Every *Error matches ErrNotRun
// or ErrUnknown, and at most one of the others besides.
const (
	// ErrNotRun means that the work can't have begun.
	ErrNotRun = errors.ConstError("not run")
	// ErrUnknown means that the work may have begun, and perhaps ended.
	ErrUnknown = errors.ConstError("outcome unknown")
	// ErrNotResident means that the engine doesn't hold the adapter named.
	ErrNotResident = errors.ConstError("adapter not resident")
	// ErrFenced means that the engine has seen a higher fencing number.
	ErrFenced = errors.ConstError("fencing number too low")
	// ErrNoSlot means that a load found no free adapter slot.
	ErrNoSlot = errors.ConstError("no free adapter slot")
	// ErrAlreadyLoaded means that the adapter to load is resident or loading.
	ErrAlreadyLoaded = errors.ConstError("adapter already loaded")
	// ErrLoadFailed means that the engine began a load and gave it up. The adapter
	// is not resident. It matches ErrUnknown, since the load did begin.
	ErrLoadFailed = errors.ConstError("adapter load failed")
	// ErrMoved means that the request's KV cache was exported, so that its stream
	// goes on at the engine that imports it.
	ErrMoved = errors.ConstError("request moved")
	// ErrWrongModel means that the engine named another model than the one called.
	ErrWrongModel = errors.ConstError("answer of another model")
	// ErrForgotten means that the engine no longer knows, or never knew, a request.
	// It matches ErrUnknown: the request may still be on its way.
	ErrRequestNotFound = errors.ConstError("request not known to the engine")
	// ErrSilent means that a connection delivered nothing for the silence limit.
	ErrSilent = errors.ConstError("connection silent")
)

// Error is a failed call with what is known of its outcome.
type Error struct {
	// Begun tells whether the work may have begun. It decides between ErrUnknown
	// and ErrNotRun.
	MayHaveBegun bool
	// Reason is the sentinel that says more, or nil.
	Reason error
	// Status is the HTTP status of the answer, or 0 where none came.
	Status int
	// Type and Message are the backend server's own words, where it gave any.
	Type    string
	Message string
	// RetryAfter is the wait that a refusal asked for, or 0.
	RetryAfter time.Duration
	// Incarnation is the engine's incarnation, where an answer named it.
	Incarnation string
	// Cause is the error underneath, or nil.
	Cause error
}

// Error says what happened in one line.
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

// Is matches ErrUnknown or ErrNotRun by Begun, and its own reason and those of the
// errors underneath.
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

// Unwrap returns the cause underneath all *Errors.
//
// The cause of a call's failure may itself be that of a lesser call: a question
// about a request, refused because nobody listens, is "not run". Unwrapped to that
// error, the request would match ErrNotRun though it may have run, and its caller
// would send it a second time.
func (e *Error) Unwrap() error {
	if inner := e.inner(); inner != nil {
		return inner.Unwrap()
	}
	return e.Cause
}

// inner returns the outermost *Error in the cause, or nil.
func (e *Error) inner() *Error {
	var inner *Error
	if errors.As(e.Cause, &inner) {
		return inner
	}
	return nil
}
