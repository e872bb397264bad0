package driver

import (
	"fmt"

	"github.com/juju/errors"
)

//go:generate stringer -type=CallKind,Promise,Ending,Balance -output=enum_string.go

// CallKind is a kind of call.
type CallKind int

// The kinds of calls.
const (
	// StreamedChat and the next three kinds are calls to an engine that may be repeated.
	StreamedChat CallKind = iota
	WholeChat
	StreamedCompletion
	WholeCompletion
	// Review is a chat that runs at most once, under an Idempotency-Key.
	Review
	// ServiceRead is an idempotent call to a plain service.
	ServiceRead
	// ServiceWrite is a call to a plain service that runs at most once, under an
	// Idempotency-Key.
	ServiceWrite

	callKinds = iota
)

// Promise is a guarantee of the deployment that is checked.
type Promise int

// The promises, in the order of reports.
const (
	// RightVersion means that the requested adapter and version gave the answer.
	RightVersion Promise = iota
	// WholeAnswer means that an answer marked as complete has all its text, in order.
	WholeAnswer
	// OwnAnswer means that the answer belongs to the request.
	OwnAnswer
	// HonestEnd means that an interrupted stream, or an interrupted answer of a plain service,
	// does not end as a complete one does.
	HonestEnd
	// OutcomeTold means that the answer states the request id, a consistent outcome and,
	// with a status that asks to retry, the time to do so.
	OutcomeTold
	// NotRunDidNotRun means that a call refused as not run did not run anywhere.
	NotRunDidNotRun
	// AtMostOnce means that a call with an Idempotency-Key ran at most once.
	AtMostOnce
	// StaysInUse means that no adapter is unloaded while a request uses it.
	StaysInUse

	promises = iota
)

// Ending is the result of a call as seen by its caller.
type Ending int

// The endings of a call.
const (
	// Completed means that the complete answer was received. It may be a refusal by the
	// plain service itself.
	Completed Ending = iota
	// NotRun means that the deployment refused the call as not run.
	NotRun
	// Unknown means that the deployment answered without knowing whether the call
	// ran.
	Unknown
	// Cut means that the answer began but is incomplete.
	Cut
	// Unanswered means that no header was received: the connection failed, or the
	// caller's deadline passed.
	Unanswered

	endings = iota
)

// Balance is the strategy by which the entry for a call is chosen among the ready ones.
type Balance int

// The strategies to choose an entry.
const (
	RoundRobin Balance = iota
	Random
)

// isChat reports whether the call goes to the chat endpoint.
func (k CallKind) isChat() bool { return k == StreamedChat || k == WholeChat || k == Review }

// isStreamed reports whether the answer is a stream.
func (k CallKind) isStreamed() bool { return k == StreamedChat || k == StreamedCompletion }

// isService reports whether the call goes to a plain service.
func (k CallKind) isService() bool { return k == ServiceRead || k == ServiceWrite }

// isKeyed reports whether the call has an Idempotency-Key and runs at most once.
func (k CallKind) isKeyed() bool { return k == Review || k == ServiceWrite }

// MarshalText encodes the kind as its name.
func (k CallKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes the name of a kind.
func (k *CallKind) UnmarshalText(text []byte) error { return parseName(k, text, callKinds) }

// MarshalText encodes the promise as its name.
func (p Promise) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText decodes the name of a promise.
func (p *Promise) UnmarshalText(text []byte) error { return parseName(p, text, promises) }

// MarshalText encodes the ending as its name.
func (e Ending) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText decodes the name of an ending.
func (e *Ending) UnmarshalText(text []byte) error { return parseName(e, text, endings) }

// MarshalText encodes the strategy as its name.
func (b Balance) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText decodes the name of a strategy.
func (b *Balance) UnmarshalText(text []byte) error { return parseName(b, text, Random+1) }

// parseName sets target to the value below limit whose name is text. If there is none, it
// returns a NotValid error.
func parseName[T interface {
	~int
	fmt.Stringer
}](target *T, text []byte, limit T) error {
	for v := T(0); v < limit; v++ {
		if v.String() == string(text) {
			*target = v
			return nil
		}
	}
	return errors.NotValidf("%T %q", *target, text)
}
