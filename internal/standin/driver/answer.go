package driver

import (
	"net/http"
	"strconv"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
)

// Values of the outcome header.
const (
	outcomeCompleted = "Completed"
	outcomeNotRun    = "NotRun"
	outcomeUnknown   = "Unknown"
)

// Wait is a time that the deployment reports of a call.
type Wait struct {
	// Known is false where the deployment did not report the time.
	Known  bool
	Length time.Duration
}

// Answer is what a caller got. Its moments are on the clock of Call.Intended.
type Answer struct {
	// Status is 0 where no header came.
	Status int
	// Failure is the error of the connection, if there was one.
	Failure string

	Request string
	Adapter string
	Backend string
	Outcome string
	// Code is the machine-readable cause of an error.
	Code string
	// RetryAfter tells that the answer says when to ask again.
	RetryAfter bool
	Stall      Wait
	Queue      Wait

	// Model and ID are those of the body; Mixed tells that parts of the body
	// differed in one of them.
	Model string
	ID    string
	Mixed bool
	// Text is the text as far as it came.
	Text string
	// Done tells that the body came to its end: the mark of a stream, or a whole
	// body.
	Done bool
	// ErrorEvent tells that the body is an error or that the stream ended in one.
	ErrorEvent bool
	// Service is the body of a plain service's answer.
	Service responder.Answer

	// SentAt is when the call was sent, to be compared with the records of engines and
	// services.
	SentAt time.Time
	// Sent is when the call was sent, Ended when its answer ended, since the run began.
	Sent  time.Duration
	Ended time.Duration
	// FirstToken is when the first text came; 0 if none came.
	FirstToken time.Duration
	// Gaps are the times between the pieces of text.
	Gaps []time.Duration
}

// Ending returns how the call ended.
func (a *Answer) Ending() Ending {
	switch {
	case a.Status == 0:
		return Unanswered
	case a.Outcome == outcomeNotRun:
		return NotRun
	case a.Done && !a.ErrorEvent && a.Status == http.StatusOK:
		return Completed
	case a.Outcome == outcomeUnknown && a.Status != http.StatusOK:
		return Unknown
	case a.Status == http.StatusOK:
		return Cut
	case a.Outcome == outcomeCompleted:
		return Completed
	default:
		return Unknown
	}
}

// readFields takes what the header tells, or the trailer of a stream.
func (a *Answer) readFields(h http.Header) {
	take := func(field *string, name string) {
		if v := h.Get(name); v != "" {
			*field = v
		}
	}
	take(&a.Request, translator.HeaderRequest)
	take(&a.Adapter, translator.HeaderAdapter)
	take(&a.Backend, translator.HeaderBackend)
	take(&a.Outcome, translator.HeaderOutcome)
	a.RetryAfter = a.RetryAfter || h.Get(translator.HeaderRetryAfter) != ""
	readWait(&a.Stall, h.Get(translator.HeaderStallMillis))
	readWait(&a.Queue, h.Get(translator.HeaderQueueMillis))
}

func readWait(w *Wait, text string) {
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil || millis < 0 {
		return
	}
	*w = Wait{Known: true, Length: time.Duration(millis * float64(time.Millisecond))}
}
