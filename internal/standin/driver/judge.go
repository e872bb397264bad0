package driver

import (
	"fmt"
	"net/http"
	"strings"

	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

// Finding is the result of one check of a promise.
type Finding struct {
	Promise Promise
	Broken  bool
	// Detail describes the violation; empty if the promise was kept.
	Detail string
}

// Judge checks the promises that can be checked on a single answer, appends the findings to
// dst and returns the extended slice. Without checkText, which needs stand-in engines, the
// text of answers is not compared.
func Judge(dst []Finding, c *Call, a *Answer, checkText bool) []Finding {
	if a.Status == 0 {
		return dst
	}
	j := judge{call: c, answer: a, found: dst}
	j.checkOutcome()
	switch {
	case c.Kind.isService():
		j.checkService()
	case a.Status == http.StatusOK:
		j.checkVersion()
		j.checkIdentity()
		if checkText {
			j.compareText()
		}
		if c.Kind.isStreamed() {
			j.checkStreamEnd()
		}
	}
	return j.found
}

type judge struct {
	call   *Call
	answer *Answer
	found  []Finding
}

// record appends a finding on promise p. Format and args describe a violation.
func (j *judge) record(p Promise, kept bool, format string, args ...any) {
	f := Finding{Promise: p, Broken: !kept}
	if !kept {
		f.Detail = fmt.Sprintf("call %d (%s of %s): ", j.call.Number, j.call.Kind, j.call.WorkspaceName) + fmt.Sprintf(format, args...)
	}
	j.found = append(j.found, f)
}

// checkOutcome checks that the answer states the request id and the outcome, without which
// a caller can't tell whether it may repeat the call.
func (j *judge) checkOutcome() {
	a := j.answer
	switch {
	case a.Request == "":
		j.record(OutcomeTold, false, "status %d without %s", a.Status, translator.HeaderRequest)
	case a.Outcome == "" && a.Failure == "":
		j.record(OutcomeTold, false, "status %d without %s", a.Status, translator.HeaderOutcome)
	case a.Done && !a.ErrorEvent && a.Status == http.StatusOK && a.Outcome != outcomeCompleted:
		j.record(OutcomeTold, false, "a whole answer with the outcome %q", a.Outcome)
	case a.Outcome == outcomeNotRun && a.Status != http.StatusOK && retriable(a.Status) && !a.RetryAfter:
		j.record(OutcomeTold, false, "status %d without %s", a.Status, translator.HeaderRetryAfter)
	default:
		j.record(OutcomeTold, true, "")
	}
}

// retriable reports whether the status asks the caller to retry.
func retriable(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// checkVersion checks that the requested version answered: an answer of another version is
// worse than none.
func (j *judge) checkVersion() {
	a, want := j.answer, j.call.Version
	switch {
	case a.Adapter != want:
		j.record(RightVersion, false, "asked %s for %s, %s says %q", j.call.Model, want, translator.HeaderAdapter, a.Adapter)
	case a.Model != "" && a.Model != want:
		j.record(RightVersion, false, "asked %s for %s, the answer's model is %q", j.call.Model, want, a.Model)
	default:
		j.record(RightVersion, true, "")
	}
}

// checkIdentity checks that the body has no parts of two answers and belongs to the request.
func (j *judge) checkIdentity() {
	a := j.answer
	switch {
	case a.Mixed:
		j.record(OwnAnswer, false, "parts of the answer differ in id or model")
	case a.ID != "" && !j.call.Resend && !strings.Contains(a.ID, a.Request):
		j.record(OwnAnswer, false, "the answer has id %q, the request is %q", a.ID, a.Request)
	default:
		j.record(OwnAnswer, true, "")
	}
}

// compareText compares the text with the one that the version generates for the prompt.
func (j *judge) compareText() {
	a := j.answer
	if !a.Done || a.ErrorEvent {
		return // Not marked as complete.
	}
	want := generator.Expected(j.call.Version, j.call.enginePrompt(), j.call.MaxTokens)
	switch {
	case a.Text == want:
		j.record(WholeAnswer, true, "")
	case isOtherText(a.Text, want):
		j.record(OwnAnswer, false, "the text is that of another request: %.40q instead of %.40q", a.Text, want)
	case j.call.Kind.isStreamed() && strings.HasPrefix(want, a.Text):
		j.record(HonestEnd, false, "ended as complete after %d of %d bytes", len(a.Text), len(want))
	default:
		j.record(WholeAnswer, false, "%d bytes that are not the %d expected", len(a.Text), len(want))
	}
}

// isOtherText reports whether the first token of text is not among the tokens of want: text
// then belongs to another prompt or model, and is not want with pieces lost, duplicated or
// reordered.
func isOtherText(text, want string) bool {
	first, _, _ := strings.Cut(strings.TrimPrefix(text, " "), " ")
	if first == "" {
		return false
	}
	return !strings.Contains(want+" ", " "+first+" ")
}

// checkStreamEnd checks that a stream ends with its end marker, an error event or a broken
// connection. A clean end without marker or error lets a caller that does not check for the
// marker take an incomplete answer for a complete one.
func (j *judge) checkStreamEnd() {
	a := j.answer
	if !a.Done && !a.ErrorEvent && a.Failure == "" {
		j.record(HonestEnd, false, "ended after %d bytes without mark or error", len(a.Text))
		return
	}
	j.record(HonestEnd, true, "")
}

// checkService checks the answer of a plain service, which echoes the request.
func (j *judge) checkService() {
	a := j.answer
	if a.Status != http.StatusOK || !a.Done {
		return
	}
	switch {
	case a.Service.Path != "" && !strings.HasSuffix(a.Service.Path, j.call.Path):
		j.record(OwnAnswer, false, "asked for %s, answered for %s", j.call.Path, a.Service.Path)
	case !j.call.Resend && a.Service.Request != a.Request:
		j.record(OwnAnswer, false, "the answer is for request %q, the request is %q", a.Service.Request, a.Request)
	default:
		j.record(OwnAnswer, true, "")
		j.record(WholeAnswer, true, "")
	}
}
