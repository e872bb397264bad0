package driver

import (
	"fmt"
	"net/http"
	"strings"

	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

// Finding is one check of one promise.
type Finding struct {
	Promise Promise
	Broken  bool
	// Detail tells what was wrong, where something was.
	Detail string
}

// Judge appends to dst what the answer says of the promises that one answer can
// prove or break, and returns the extended slice. Without checkText the text of
// answers is not compared, for engines other than the stand-ins.
func Judge(dst []Finding, c *Call, a *Answer, checkText bool) []Finding {
	if a.Status == 0 {
		return dst
	}
	j := judge{call: c, answer: a, found: dst}
	j.outcomeTold()
	switch {
	case c.Kind.isService():
		j.service()
	case a.Status == http.StatusOK:
		j.version()
		j.identity()
		if checkText {
			j.text()
		}
		if c.Kind.isStreamed() {
			j.honestEnd()
		}
	}
	return j.found
}

type judge struct {
	call   *Call
	answer *Answer
	found  []Finding
}

// check notes that the promise was tried, and whether it held.
func (j *judge) check(p Promise, held bool, format string, args ...any) {
	f := Finding{Promise: p, Broken: !held}
	if !held {
		f.Detail = fmt.Sprintf("call %d (%s of %s): ", j.call.Number, j.call.Kind, j.call.WorkspaceName) + fmt.Sprintf(format, args...)
	}
	j.found = append(j.found, f)
}

// outcomeTold: a caller who isn't told the outcome must guess whether to repeat.
func (j *judge) outcomeTold() {
	a := j.answer
	switch {
	case a.Request == "":
		j.check(OutcomeTold, false, "status %d without %s", a.Status, translator.HeaderRequest)
	case a.Outcome == "" && a.Failure == "":
		j.check(OutcomeTold, false, "status %d without %s", a.Status, translator.HeaderOutcome)
	case a.Done && !a.ErrorEvent && a.Status == http.StatusOK && a.Outcome != outcomeCompleted:
		j.check(OutcomeTold, false, "a whole answer with the outcome %q", a.Outcome)
	case a.Outcome == outcomeNotRun && a.Status != http.StatusOK && retriable(a.Status) && !a.RetryAfter:
		j.check(OutcomeTold, false, "status %d without %s", a.Status, translator.HeaderRetryAfter)
	default:
		j.check(OutcomeTold, true, "")
	}
}

// retriable reports whether the status asks the caller to come again.
func retriable(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// version: an answer by another version is worse than none.
func (j *judge) version() {
	a, want := j.answer, j.call.Version
	switch {
	case a.Adapter != want:
		j.check(RightVersion, false, "asked %s for %s, %s says %q", j.call.Model, want, translator.HeaderAdapter, a.Adapter)
	case a.Model != "" && a.Model != want:
		j.check(RightVersion, false, "asked %s for %s, the answer's model is %q", j.call.Model, want, a.Model)
	default:
		j.check(RightVersion, true, "")
	}
}

// identity: parts of two answers in one body, or the body of another request.
func (j *judge) identity() {
	a := j.answer
	switch {
	case a.Mixed:
		j.check(OwnAnswer, false, "parts of the answer differ in id or model")
	case a.ID != "" && !j.call.Resend && !strings.Contains(a.ID, a.Request):
		j.check(OwnAnswer, false, "the answer has id %q, the request is %q", a.ID, a.Request)
	default:
		j.check(OwnAnswer, true, "")
	}
}

// text compares the text with the one that the version gives to the prompt.
func (j *judge) text() {
	a := j.answer
	if !a.Done || a.ErrorEvent {
		return // Not given as complete.
	}
	want := generator.Expected(j.call.Version, j.call.enginePrompt(), j.call.MaxTokens)
	switch {
	case a.Text == want:
		j.check(WholeAnswer, true, "")
	case foreign(a.Text, want):
		j.check(OwnAnswer, false, "the text is that of another request: %.40q instead of %.40q", a.Text, want)
	case j.call.Kind.isStreamed() && strings.HasPrefix(want, a.Text):
		j.check(HonestEnd, false, "ended as complete after %d of %d bytes", len(a.Text), len(want))
	default:
		j.check(WholeAnswer, false, "%d bytes that are not the %d expected", len(a.Text), len(want))
	}
}

// foreign reports whether the text's first token is not among the tokens of the
// text that was expected: the text of another prompt or model, and not this one
// with pieces lost, doubled or out of order.
func foreign(text, want string) bool {
	first, _, _ := strings.Cut(strings.TrimPrefix(text, " "), " ")
	if first == "" {
		return false
	}
	return !strings.Contains(want+" ", " "+first+" ")
}

// honestEnd: a stream ends in its mark, in an error event, or by a broken
// connection. A clean end without mark or error lets a caller who does not look
// for the mark take a part for the whole.
func (j *judge) honestEnd() {
	a := j.answer
	if !a.Done && !a.ErrorEvent && a.Failure == "" {
		j.check(HonestEnd, false, "ended after %d bytes without mark or error", len(a.Text))
		return
	}
	j.check(HonestEnd, true, "")
}

// service checks the answer of a plain service, which echoes the request.
func (j *judge) service() {
	a := j.answer
	if a.Status != http.StatusOK || !a.Done {
		return
	}
	switch {
	case a.Service.Path != "" && !strings.HasSuffix(a.Service.Path, j.call.Path):
		j.check(OwnAnswer, false, "asked for %s, answered for %s", j.call.Path, a.Service.Path)
	case !j.call.Resend && a.Service.Request != a.Request:
		j.check(OwnAnswer, false, "the answer is for request %q, the request is %q", a.Service.Request, a.Request)
	default:
		j.check(OwnAnswer, true, "")
		j.check(WholeAnswer, true, "")
	}
}
