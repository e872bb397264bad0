package gatekeeper

import (
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
)

// result is how one attempt ended.
type result struct {
	outcome    messenger.Outcome
	reason     messenger.Reason
	detail     string
	retryAfter time.Duration
	// suspect tells that the backend server could not be reached.
	suspect bool
	// left tells that the caller is gone.
	left bool
	// final forbids another attempt whatever the outcome.
	final bool
	// code is the cause, where reason doesn't tell it.
	code translator.Code
}

func notRun(reason messenger.Reason, detail string) result {
	return result{outcome: messenger.OutcomeNotRun, reason: reason, detail: detail}
}

func unknown(reason messenger.Reason, detail string) result {
	return result{outcome: messenger.OutcomeUnknown, reason: reason, detail: detail}
}

// refused returns the result of a dispatch that the companion refused. A refusal
// means that the attempt didn't run, unless its reason says otherwise.
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

// shape is how an error looks to the caller.
type shape struct {
	status int
	code   translator.Code
}

// notRunShape returns the error of a request that didn't run.
func notRunShape(r messenger.Reason) shape {
	switch r {
	case messenger.ReasonOverloaded:
		return shape{http.StatusTooManyRequests, translator.CodeOverloaded}
	case messenger.ReasonDeadline:
		return shape{http.StatusServiceUnavailable, translator.CodeDeadline}
	case messenger.ReasonLoadFailed:
		return shape{http.StatusServiceUnavailable, translator.CodeLoadFailed}
	case messenger.ReasonEngine:
		return shape{http.StatusServiceUnavailable, translator.CodeEngineRefused}
	case messenger.ReasonCancelled:
		return shape{http.StatusServiceUnavailable, translator.CodeCancelled}
	default:
		return shape{http.StatusServiceUnavailable, translator.CodeNoBackend}
	}
}

// unknownShape returns the error of a request that may have run.
func unknownShape(r messenger.Reason) shape {
	if r == messenger.ReasonDeadline {
		return shape{http.StatusGatewayTimeout, translator.CodeDeadline}
	}
	return shape{http.StatusBadGateway, translator.CodeOutcomeUnknown}
}

// fault returns the error for the request's last result. NotRun is said only if
// no attempt may have run.
func (q *request) fault(last result) *translator.Fault {
	if last.outcome == messenger.OutcomeNotRun && !q.ran {
		s := notRunShape(last.reason)
		f := translator.NewFault(s.status, s.code, "no backend server ran the request: %s", told(last))
		f.RetryAfter = max(last.retryAfter, q.entry.random.jitter(time.Second))
		return f
	}
	s := unknownShape(last.reason)
	if last.code != "" {
		s.code = last.code
	}
	if q.answer.begun && last.code == "" {
		s.code = translator.CodeAnswerCut
	}
	f := translator.NewFault(s.status, s.code, "the request may have run: %s", told(last))
	f.Outcome = messenger.OutcomeUnknown
	return f
}

func told(r result) string {
	if r.detail == "" {
		return r.reason.String()
	}
	return r.reason.String() + ", " + r.detail
}
