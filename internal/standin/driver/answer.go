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

// Wait is a waiting time of a call as reported by the deployment.
type Wait struct {
	// Known is false where the deployment did not report the time.
	Known  bool
	Length time.Duration
}

// Answer is the answer to a call. Its durations count from the start of the run, as
// Call.Intended does.
type Answer struct {
	// Status is the HTTP status; 0 if no header was received.
	Status int
	// Failure is the connection error; empty if there was none.
	Failure string

	Request string
	Adapter string
	Backend string
	Outcome string
	// Code is the error code of a refusal or an error event.
	Code string
	// RetryAfter reports whether the answer has a Retry-After header.
	RetryAfter bool
	Stall      Wait
	Queue      Wait

	// Model and ID are those of the body; Mixed reports whether parts of the body
	// differ in one of them.
	Model string
	ID    string
	Mixed bool
	// Text is the text received, possibly incomplete.
	Text string
	// Done reports whether the answer is complete: the end marker of a stream or a
	// complete body was received.
	Done bool
	// ErrorEvent reports whether the body is an error or the stream ended with an error event.
	ErrorEvent bool
	// Service is the body of a plain service's answer.
	Service responder.Answer

	// SentAt is the wall-clock time at which the call was sent, for comparison with the
	// records of engines and services.
	SentAt time.Time
	// Sent and Ended are the times at which the call was sent and its answer ended.
	Sent  time.Duration
	Ended time.Duration
	// FirstToken is the time at which the first text was received; 0 if there was none.
	FirstToken time.Duration
	// Gaps are the times between successive pieces of text.
	Gaps []time.Duration
}

// Ending classifies how the call ended.
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

// readFields sets the fields that h, the header or the trailer of a stream, contains.
func (a *Answer) readFields(h http.Header) {
	set := func(field *string, name string) {
		if v := h.Get(name); v != "" {
			*field = v
		}
	}
	set(&a.Request, translator.HeaderRequest)
	set(&a.Adapter, translator.HeaderAdapter)
	set(&a.Backend, translator.HeaderBackend)
	set(&a.Outcome, translator.HeaderOutcome)
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
