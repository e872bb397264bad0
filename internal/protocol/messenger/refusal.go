package messenger

import (
	"fmt"
	"time"
)

//go:generate stringer -type=Reason -trimprefix=Reason

// Reason is the reason for which a call was refused.
type Reason int

// The reasons. Each means that the call had no effect, unless its comment states
// otherwise.
const (
	ReasonNone Reason = iota
	// ReasonMalformed means that the parameters could not be decoded.
	ReasonMalformed
	// ReasonUnsupported means that the role does not support the method.
	ReasonUnsupported
	// ReasonNotLeader means that another control host is the leader, see
	// Refusal.Leader.
	ReasonNotLeader
	// ReasonUnavailable means that the process can't handle the call at present.
	ReasonUnavailable
	// ReasonStopping means that the process is stopping and accepts no new calls.
	ReasonStopping
	// ReasonOverloaded means that a queue or limit is full.
	ReasonOverloaded
	// ReasonDeadline means that the deadline can't be met.
	ReasonDeadline
	// ReasonStaleEpoch means that the membership named in the call has been replaced.
	ReasonStaleEpoch
	// ReasonNeverSeen means that the request has not arrived and will be refused if it
	// arrives later.
	ReasonNeverSeen
	// ReasonDuplicate means that another attempt of the request is already known.
	ReasonDuplicate
	// ReasonLoadFailed means that the version could not be loaded.
	ReasonLoadFailed
	// ReasonOutcomeUnknown means that the call may or may not take effect.
	ReasonOutcomeUnknown
	// ReasonCompacted means that the requested history is no longer retained.
	ReasonCompacted
	// ReasonEngine means that the backend server refused the request before it started.
	ReasonEngine
	// ReasonCancelled means that the caller canceled the request before it started.
	ReasonCancelled
	// ReasonInternal means that the handler failed; the effect is unknown.
	ReasonInternal
	// ReasonForbidden means that the sender may not make the call.
	ReasonForbidden
	// ReasonMisled means that the request would wait much longer than the sender
	// expected; Refusal.RetryAfterMillis is the wait.
	ReasonMisled
	// ReasonLimited means that the request would exceed the limit of requests that the
	// backend server has named, until the deadline has passed.
	ReasonLimited
)

// Refusal is the error with which the peer answered a call.
type Refusal struct {
	Reason Reason
	Detail string
	// RetryAfterMillis is the time in milliseconds to wait before the next attempt; 0
	// means that it is not known.
	RetryAfterMillis int64
	// SlowdownPercent is the slowdown factor of the backend server's machine in percent with
	// ReasonMisled, if the request is refused because the machine is slowed; else 0.
	SlowdownPercent int `json:",omitempty"`
	// Leader is the address of the leader with ReasonNotLeader, or empty if unknown.
	Leader string
}

// Error returns the reason and detail.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return r.Reason.String()
	}
	return fmt.Sprintf("%s: %s", r.Reason, r.Detail)
}

// RetryAfter returns the time to wait before the next attempt; 0 means that it is not
// known.
func (r *Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// NewRefusal returns a refusal with a detail.
func NewRefusal(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Detail: detail}
}

// BrokenError is the error of a call whose connection failed before the answer was
// received.
type BrokenError struct {
	// Sent is false if the peer certainly did not receive the call.
	Sent bool
	// Cause is the connection's error.
	Cause error
}

// Error returns the cause and whether the call may have been received.
func (b *BrokenError) Error() string {
	if b.Sent {
		return fmt.Sprintf("connection broke after sending: %v", b.Cause)
	}
	return fmt.Sprintf("not sent: %v", b.Cause)
}

// Unwrap returns the connection's error.
func (b *BrokenError) Unwrap() error { return b.Cause }
