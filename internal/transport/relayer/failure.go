package relayer

import "net/http"

// claimsNotRun reports whether callers conclude from the status that the call did not run.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayHaveRunAnswer returns a backend server's answer to a call that may have run, as it is sent to
// the caller. A status that claims that it did not run becomes 502 without a Retry-After: callers
// repeat such calls, also those that may run only once. A signed answer is never changed, since its
// caller checks it.
func (j *job) mayHaveRunAnswer(response *http.Response, head Head, body []byte) wholeAnswer {
	w := wholeAnswer{status: response.StatusCode, header: j.relayer.settings.Translator.AnswerHeader(response.Header), body: body}
	if !head.Signed && claimsNotRun(w.status) {
		w.status = http.StatusBadGateway
		w.header.Del("Retry-After")
	}
	return w
}
