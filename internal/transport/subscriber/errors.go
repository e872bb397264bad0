package subscriber

import (
	"context"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// The errors of calls.
const (
	// ErrNotAccepted means that a change certainly has no effect.
	ErrNotAccepted = errors.ConstError("not accepted")
	// ErrOutcomeUnknown means that a change may have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.ConstError("outcome unknown")
	// ErrStale means that a membership was replaced by a later one.
	ErrStale = errors.ConstError("a later membership has begun")
	// ErrCompacted means that the history no longer contains the requested revision.
	ErrCompacted = errors.ConstError("the history no longer reaches back")
	// ErrUnavailable means that no control host could answer.
	ErrUnavailable = errors.ConstError("no control host can answer")
)

// effect is the effect that a failed call may have had.
type effect int

const (
	// effectNone means that the call had no effect, and that another attempt may succeed.
	effectNone effect = iota
	// effectRefused means that the call had no effect, and would be refused again.
	effectRefused
	// effectUnknown means that the call may have had an effect, or may still have one.
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
