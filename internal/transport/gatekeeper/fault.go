package gatekeeper

import (
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
)

// result is the result of one attempt.
type result struct {
	outcome    messenger.Outcome
	reason     messenger.Reason
	detail     string
	retryAfter time.Duration
	// suspect means that the backend server could not be reached.
	suspect bool
	// callerLeft means that the caller has left.
	callerLeft bool
	// final rules out another attempt, whatever the outcome.
	final bool
	// code overrides the error code that follows from reason, if it is set.
	code translator.Code
}

func notRun(reason messenger.Reason, detail string) result {
	return result{outcome: messenger.OutcomeNotRun, reason: reason, detail: detail}
}

func unknown(reason messenger.Reason, detail string) result {
	return result{outcome: messenger.OutcomeUnknown, reason: reason, detail: detail}
}

// refused returns the result of a dispatch that the companion refused. A refused
// attempt did not run, unless the reason says otherwise.
func refused(r *messenger.Refusal) result {
	switch r.Reason {
	case messenger.ReasonInternal, messenger.ReasonOutcomeUnknown, messenger.ReasonCompacted:
		return unknown(r.Reason, r.Detail)
	default:
		res := notRun(r.Reason, r.Detail)
		res.retryAfter = r.RetryAfter()
		return res
	}
}

// errorKind is the HTTP status and code of an error.
type errorKind struct {
	status int
	code   translator.Code
}

// notRunError returns the kind of error for a request that did not run.
func notRunError(r messenger.Reason) errorKind {
	switch r {
	case messenger.ReasonOverloaded:
		return errorKind{http.StatusTooManyRequests, translator.CodeOverloaded}
	case messenger.ReasonDeadline:
		return errorKind{http.StatusServiceUnavailable, translator.CodeDeadline}
	case messenger.ReasonLoadFailed:
		return errorKind{http.StatusServiceUnavailable, translator.CodeLoadFailed}
	case messenger.ReasonEngine:
		return errorKind{http.StatusServiceUnavailable, translator.CodeEngineRefused}
	case messenger.ReasonCancelled:
		return errorKind{http.StatusServiceUnavailable, translator.CodeCancelled}
	default:
		return errorKind{http.StatusServiceUnavailable, translator.CodeNoBackend}
	}
}

// unknownOutcomeError returns the kind of error for a request that may have run.
func unknownOutcomeError(r messenger.Reason) errorKind {
	if r == messenger.ReasonDeadline {
		return errorKind{http.StatusGatewayTimeout, translator.CodeDeadline}
	}
	return errorKind{http.StatusBadGateway, translator.CodeOutcomeUnknown}
}

// fault returns the error for the request's last result. Its outcome is NotRun only if
// no attempt may have run.
func (q *request) fault(last result) *translator.Fault {
	if last.outcome == messenger.OutcomeNotRun && !q.mayHaveRun {
		s := notRunError(last.reason)
		f := translator.NewFault(s.status, s.code, "no backend server ran the request: %s", describe(last))
		f.RetryAfter = max(last.retryAfter, q.entry.random.jitter(time.Second))
		return f
	}
	s := unknownOutcomeError(last.reason)
	if last.code != "" {
		s.code = last.code
	}
	if q.answer.headerSent && last.code == "" {
		s.code = translator.CodeAnswerCut
	}
	f := translator.NewFault(s.status, s.code, "the request may have run: %s", describe(last))
	f.Outcome = messenger.OutcomeUnknown
	return f
}

func describe(r result) string {
	if r.detail == "" {
		return r.reason.String()
	}
	return r.reason.String() + ", " + r.detail
}
