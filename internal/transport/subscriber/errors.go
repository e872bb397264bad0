package subscriber

import (
	"context"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// The errors of changes.
const (
	// ErrNotAccepted tells that a change certainly has no effect.
	ErrNotAccepted = errors.ConstError("not accepted")
	// ErrOutcomeUnknown tells that a change may have, or may still take, effect.
	ErrOutcomeUnknown = errors.ConstError("outcome unknown")
	// ErrStale tells that a membership was replaced by a later one.
	ErrStale = errors.ConstError("a later membership has begun")
	// ErrCompacted tells that the history no longer reaches back.
	ErrCompacted = errors.ConstError("the history no longer reaches back")
	// ErrUnavailable tells that no control host could answer.
	ErrUnavailable = errors.ConstError("no control host can answer")
)

// effect tells what is known of a failed call.
type effect int

const (
	// effectNone means that the call had none, and another try may succeed.
	effectNone effect = iota
	// effectRefused means that the call had none, and will be refused again.
	effectRefused
	// effectUnknown means that the call may have had, or have yet, an effect.
	effectUnknown
)

// effectOf classifies the error of a call.
func effectOf(err error) effect {
	var refusal *messenger.Refusal
	var broken *messenger.BrokenError
	switch {
	case errors.As(err, &refusal):
		switch refusal.Reason {
		case messenger.ReasonOutcomeUnknown, messenger.ReasonInternal:
			return effectUnknown
		case messenger.ReasonMalformed, messenger.ReasonUnsupported, messenger.ReasonStaleEpoch,
			messenger.ReasonOverloaded, messenger.ReasonCompacted, messenger.ReasonForbidden:
			return effectRefused
		default:
			return effectNone
		}
	case errors.As(err, &broken):
		if broken.Sent {
			return effectUnknown
		}
		return effectNone
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return effectUnknown
	default:
		return effectNone
	}
}
