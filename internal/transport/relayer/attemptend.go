package relayer

import "marigoldpoint.example/marigoldpoint/internal/state/storer"

//go:generate stringer -type=attemptEnd -trimprefix=end

// attemptEnd is the way in which one attempt at a call ended. The names of the values
// are written to metrics.
type attemptEnd int

const (
	// endAnswered means that the backend server's answer was received in full.
	endAnswered attemptEnd = iota
	// endFailed means that the backend server answered with an error of its own.
	endFailed
	// endUnread means that the backend server refused the call without reading it.
	endUnread
	// endElsewhere means that a different incarnation of the backend server answered.
	endElsewhere
	// endNotSent means that no byte of the call was sent.
	endNotSent
	// endBroken means that the connection ended before any part of the answer was
	// forwarded to the caller.
	endBroken
	// endCut means that the connection ended after part of the answer was forwarded.
	endCut
	// endGivenUp means that the caller disconnected, the deadline passed or the request
	// was quarantined.
	endGivenUp
)

// count adds an ended attempt to the metrics.
func (j *job) count(e attemptEnd) {
	j.relayer.metrics.attempts.WithLabelValues(j.service.Name, e.String()).Inc()
}

// brokenEnd returns the end of an attempt whose answer was not received in full.
func (j *job) brokenEnd() attemptEnd {
	if j.progressed() {
		return endCut
	}
	return endBroken
}

// stage returns how much of the answer to the current attempt has arrived.
func (j *job) stage() storer.RunStage {
	switch {
	case j.answerBody == nil:
		return storer.RunStageSent
	case j.answerBody.Events() == 0:
		return storer.RunStageBegun
	default:
		return storer.RunStageProgressed
	}
}

// progressed reports whether any part of the current attempt's answer was forwarded.
func (j *job) progressed() bool { return j.answer.bytes > j.bytesBeforeAttempt }
