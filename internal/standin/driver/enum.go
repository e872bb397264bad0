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
	// StreamedChat and the three after it are calls to an engine that may be
	// repeated.
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

// Promise is one thing that must hold for every call.
type Promise int

// The promises, in the order of reports.
const (
	// RightVersion: the answer is by the adapter and version that was asked for.
	RightVersion Promise = iota
	// WholeAnswer: an answer given as complete has all its text, in order.
	WholeAnswer
	// OwnAnswer: the answer belongs to the request it was given to.
	OwnAnswer
	// HonestEnd: a stream that was cut does not end as if it were complete.
	HonestEnd
	// OutcomeTold: the answer's header names request, outcome and, where there is
	// one, the adapter.
	OutcomeTold
	// NotRunDidNotRun: what was refused as not run ran nowhere.
	NotRunDidNotRun
	// AtMostOnce: a call under an Idempotency-Key ran once or not at all.
	AtMostOnce
	// StaysInUse: no adapter is unloaded while a request uses it.
	StaysInUse

	promises = iota
)

// Ending is how a call ended, as its caller sees it.
type Ending int

// The endings of a call.
const (
	// Completed means that the whole answer came, a plain service's own refusal
	// included.
	Completed Ending = iota
	// NotRun means that the deployment refused the call as not run.
	NotRun
	// Unknown means that the deployment answered without knowing whether the call
	// ran.
	Unknown
	// Cut means that the answer began and did not come to its end.
	Cut
	// Unanswered means that no answer came: no connection, or it broke before the
	// header, or the caller's deadline passed.
	Unanswered

	endings = iota
)

// Balance is how the entry for a call is chosen among the ready ones.
type Balance int

// The ways to choose an entry.
const (
	RoundRobin Balance = iota
	Random
)

// isChat reports whether the call goes to the chat endpoint.
func (k CallKind) isChat() bool { return k == StreamedChat || k == WholeChat || k == Review }

// isStreamed reports whether the answer comes as a stream.
func (k CallKind) isStreamed() bool { return k == StreamedChat || k == StreamedCompletion }

// isService reports whether the call goes to a plain service.
func (k CallKind) isService() bool { return k == ServiceRead || k == ServiceWrite }

// isKeyed reports whether the call runs at most once.
func (k CallKind) isKeyed() bool { return k == Review || k == ServiceWrite }

// MarshalText writes the kind by its name.
func (k CallKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind by its name.
func (k *CallKind) UnmarshalText(text []byte) error { return parseName(k, text, callKinds) }

// MarshalText writes the promise by its name.
func (p Promise) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a promise by its name.
func (p *Promise) UnmarshalText(text []byte) error { return parseName(p, text, promises) }

// MarshalText writes the ending by its name.
func (e Ending) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText reads an ending by its name.
func (e *Ending) UnmarshalText(text []byte) error { return parseName(e, text, endings) }

// MarshalText writes the way by its name.
func (b Balance) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText reads a way by its name.
func (b *Balance) UnmarshalText(text []byte) error { return parseName(b, text, Random+1) }

// parseName sets target to the value below the limit that text names.
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
