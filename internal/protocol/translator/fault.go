package translator

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// Code is the machine-readable cause of an error.
type Code string

// The codes. docs/CALLERS.md describes how callers should handle each.
const (
	CodeInvalidKey       Code = "invalid_api_key"
	CodeInvalidRequest   Code = "invalid_request"
	CodeHeaderTooLarge   Code = "header_too_large"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeBodyTimeout      Code = "body_timeout"
	CodeNotFound         Code = "not_found"
	CodeMethod           Code = "method_not_allowed"
	CodeModelNotFound    Code = "model_not_found"
	CodeNoCurrentVersion Code = "no_current_version"
	CodeServiceNotFound  Code = "service_not_found"
	CodeWorkspaceLimit   Code = "workspace_limit"
	CodeOverShare        Code = "over_share"
	CodeOverQuota        Code = "over_quota"
	CodeQuarantined      Code = "request_quarantined"
	CodeEntryLimit       Code = "entry_limit"
	CodeStopping         Code = "stopping"
	CodeNotReady         Code = "configuration_lease_lost"
	CodeNoBackend        Code = "no_backend"
	CodeOverloaded       Code = "overloaded"
	CodeDeadline         Code = "deadline_exceeded"
	CodeLoadFailed       Code = "load_failed"
	CodeEngineRefused    Code = "engine_refused"
	CodeClaimUnavailable Code = "claim_unavailable"
	CodeKeyInProgress    Code = "idempotency_key_in_progress"
	CodeKeyUnknown       Code = "idempotency_key_outcome_unknown"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeAnswerNotKept    Code = "answer_not_kept"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeAnswerCut        Code = "answer_cut"
	CodeWrongModel       Code = "wrong_model"
	CodeCancelled        Code = "cancelled"
)

// Type is the class of an error as defined by OpenAI.
type Type string

// The types.
const (
	TypeInvalidRequest Type = "invalid_request_error"
	TypeAuthentication Type = "authentication_error"
	TypeRateLimit      Type = "rate_limit_error"
	TypeServer         Type = "server_error"
)

// Fault is an error that is sent to the caller.
type Fault struct {
	Status  int
	Code    Code
	Message string
	// Param is the name of the invalid field of the request; it may be empty.
	Param   string
	Outcome messenger.Outcome
	// KeyUndecided means that this attempt has not run, and that the outcome is unknown
	// only because it could not be determined whether a request with the same
	// idempotency key has run before.
	KeyUndecided bool
	// RetryAfter is the time to wait before the next attempt; 0 means unspecified.
	RetryAfter time.Duration
}

// NewFault returns a fault of a request that has not run. The message is formatted as by
// fmt.Sprintf.
func NewFault(status int, code Code, format string, args ...any) *Fault {
	return &Fault{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Outcome: messenger.OutcomeNotRun}
}

// Error returns the code and the message.
func (f *Fault) Error() string { return string(f.Code) + ": " + f.Message }

// AlwaysRefused reports whether the request itself is invalid. Every entry would refuse
// it at any time, so it has never run.
func (f *Fault) AlwaysRefused() bool {
	switch f.Status {
	case http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity,
		http.StatusRequestHeaderFieldsTooLarge:
		return true
	default:
		return f.Code == CodeNotFound
	}
}

// Type returns the error class of the status.
func (f *Fault) Type() Type {
	switch {
	case f.Status == http.StatusUnauthorized:
		return TypeAuthentication
	case f.Status == http.StatusTooManyRequests:
		return TypeRateLimit
	case f.Status < http.StatusInternalServerError:
		return TypeInvalidRequest
	default:
		return TypeServer
	}
}

// errorBody is an error in the format of OpenAI, with the outcome added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    Type    `json:"type"`
	Param   *string `json:"param"`
	Code    Code    `json:"code"`
	Outcome string  `json:"outcome"`
	Request string  `json:"request,omitempty"`
}

// Body returns the fault encoded in the format of OpenAI. The parameter request is the
// request id, which may be empty.
func (f *Fault) Body(request string) []byte {
	d := errorDetail{Message: f.Message, Type: f.Type(), Code: f.Code, Outcome: f.Outcome.String(), Request: request}
	if f.Param != "" {
		d.Param = &f.Param
	}
	data, err := json.Marshal(errorBody{Error: d})
	if err != nil {
		panic("translator: an error body can't be encoded")
	}
	return data
}

// Event returns the fault encoded as the last event of a stream.
func (f *Fault) Event(request string) []byte {
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", f.Body(request))
}

// Write sends the fault as the answer to a request. No part of the answer may have been
// written before.
func (f *Fault) Write(w http.ResponseWriter, request string) {
	h := w.Header()
	h.Set(HeaderContentType, "application/json")
	h.Set(HeaderOutcome, f.Outcome.String())
	h.Set("X-Content-Type-Options", "nosniff")
	if f.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
		h.Set(HeaderRetryAfterMillis, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	h.Set(HeaderShouldRetry, strconv.FormatBool(f.mayRetry()))
	if f.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(f.Status)
	w.Write(append(f.Body(request), '\n'))
}

// mayRetry reports whether a client library may retry the request automatically. Without
// this information the libraries of OpenAI retry every request that is answered with
// status 409, 429 or at least 500, even one that may have run.
func (f *Fault) mayRetry() bool {
	switch f.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return f.Outcome == messenger.OutcomeNotRun || f.KeyUndecided
	default:
		return f.Code == CodeKeyInProgress
	}
}

// Malformed returns the fault for a parsing error of this package.
func Malformed(err error) *Fault {
	return NewFault(http.StatusBadRequest, CodeInvalidRequest, "%s", errors.Cause(err).Error())
}
