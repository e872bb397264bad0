package messenger

import (
	"fmt"
	"time"
)

//go:generate stringer -type=Reason -trimprefix=Reason

// Reason tells why a call was refused.
type Reason int

// The reasons. Each of them means that the call had no effect, unless its
// comment says otherwise.
const (
	ReasonNone Reason = iota
	// ReasonMalformed means that the parameters could not be read.
	ReasonMalformed
	// ReasonUnsupported means that the role does not serve the method.
	ReasonUnsupported
	// ReasonNotLeader means that another control host leads; Leader tells it.
	ReasonNotLeader
	// ReasonUnavailable means that the process can't serve the call now.
	ReasonUnavailable
	// ReasonStopping means that the process takes nothing new.
	ReasonStopping
	// ReasonOverloaded means that a queue or limit is full.
	ReasonOverloaded
	// ReasonDeadline means that the deadline can't be met.
	ReasonDeadline
	// ReasonStaleEpoch means that the membership meant has been replaced.
	ReasonStaleEpoch
	// ReasonNeverSeen means that the request never arrived and, if it arrives
	// later, will be refused.
	ReasonNeverSeen
	// ReasonDuplicate means that the request is known under another attempt.
	ReasonDuplicate
	// ReasonLoadFailed means that the version could not be loaded.
	ReasonLoadFailed
	// ReasonOutcomeUnknown means that the call may or may not take effect.
	ReasonOutcomeUnknown
	// ReasonCompacted means that the history asked for is no longer held.
	ReasonCompacted
	// ReasonEngine means that the backend server refused the request before
	// beginning it.
	ReasonEngine
	// ReasonCancelled means that the caller gave the request up before it began.
	ReasonCancelled
	// ReasonInternal means that the handler failed; the effect is unknown.
	ReasonInternal
	// ReasonForbidden means that the sender may not make the call.
	ReasonForbidden
	// ReasonMisled means that the request would wait much longer than the sender
	// expected; RetryAfterMillis is that wait.
	ReasonMisled
)

// Refusal is the typed error of a call that the other end answered.
type Refusal struct {
	Reason Reason
	Detail string
	// RetryAfterMillis tells when to ask again; 0 means that it is not known.
	RetryAfterMillis int64
	// Leader is the address of the leader, with ReasonNotLeader, where known.
	Leader string
}

// Error returns the reason and detail.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return r.Reason.String()
	}
	return fmt.Sprintf("%s: %s", r.Reason, r.Detail)
}

// RetryAfter returns the time to wait before asking again.
func (r *Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// NewRefusal returns a refusal with a detail.
func NewRefusal(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Detail: detail}
}

// BrokenError is the error of a call whose connection failed before the answer.
type BrokenError struct {
	// Sent is false where the other end certainly did not receive the call.
	Sent bool
	// Cause is the connection's error.
	Cause error
}

// Error tells the cause and whether the call may have arrived.
func (b *BrokenError) Error() string {
	if b.Sent {
		return fmt.Sprintf("connection broke after sending: %v", b.Cause)
	}
	return fmt.Sprintf("not sent: %v", b.Cause)
}

// Unwrap returns the connection's error.
func (b *BrokenError) Unwrap() error { return b.Cause }
