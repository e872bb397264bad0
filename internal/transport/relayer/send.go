package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

// send sends the call to the chosen backend server, and forwards its answer to the
// caller.
func (j *job) send(ctx context.Context, a Attempt, current *attempt) verdict {
	r := j.relayer
	conn, response, err := j.exchange(ctx, a) //nolint:bodyclose // Each verdict reads the body to its end or aborts the connection.
	if err != nil {
		return j.unanswered(err) //nolint:contextcheck // The report of a loss outlives the call.
	}
	j.recordContact()
	j.answerBody = exchanger.BodyOf(response)
	defer j.countFraming()
	head := r.settings.Translator.Head(response.StatusCode, response.Header)
	j.recordLimit(head.Limit) //nolint:contextcheck // The report of an end outlives the call.
	j.recordNotices(head)
	if head.Calls >= 0 {
		r.settings.Placer.ReportLoad(r.settings.Now(), &j.choice, head.Calls)
	}
	j.recordSlowdown(head)
	if head.NotRun {
		if head.OtherIncarnation {
			// The incarnation that was meant did not receive the call.
			j.uncountServer()
			j.count(endElsewhere)
		} else {
			j.count(endUnread)
		}
		if j.service.Engine == nil && !head.OtherIncarnation {
			r.settings.Placer.TurnedAway(r.settings.Now(), &j.choice)
		}
		j.discard(conn, response, head)
		j.logFailure(nil, "not run: "+strconv.Itoa(response.StatusCode))
		j.release(placer.OutcomeNotRun)
		return verdictNotRun
	}
	if response.StatusCode >= http.StatusInternalServerError || !head.Signed {
		return j.keepFailure(conn, response, head) //nolint:contextcheck // The report of a loss outlives the call.
	}
	if j.isStream(response) {
		return j.stream(conn, response, head, current) //nolint:contextcheck // The report of a loss outlives the call.
	}
	return j.answerWhole(conn, response, head) //nolint:contextcheck // The report of a loss outlives the call.
}

// isStream reports whether the answer is a stream. Errors of the caller and answers without a
// body are not, even on a route that streams.
func (j *job) isStream(response *http.Response) bool {
	success := response.StatusCode < http.StatusMultipleChoices && response.StatusCode != http.StatusNoContent
	return j.route.Stream && success && j.request.Method != http.MethodHead
}

// exchange sends the call to the chosen backend server. The end of the context resets
// the connection, which makes the backend server cancel the request.
func (j *job) exchange(ctx context.Context, a Attempt) (*exchanger.Conn, *http.Response, error) {
	t := j.relayer.settings.Translator
	j.countServer()
	j.reached++
	j.bytesBeforeAttempt = j.answer.bytes
	j.attemptAt, j.knownRevision = j.relayer.settings.Now(), j.relayer.settings.View().Revision
	j.answerBody, j.survived = nil, false
	if j.choice.Limit.Named {
		j.relayer.metrics.limited.WithLabelValues(j.service.Name).Inc()
	}
	conn, response, err := j.relayer.settings.Pool.Exchange(ctx, j.choice.Address,
		func() *http.Request {
			a.TimeLeft = j.deadline.Sub(j.relayer.settings.Now())
			return j.outgoing(a)
		},
		func(h http.Header) bool { return j.accepts(t.Head(0, h).Request) })
	j.recordArrival(err)
	if errors.Is(err, exchanger.ErrNotSent) {
		j.uncountServer()
		j.reached--
	}
	return conn, response, err
}

// countServer counts the chosen backend server as one that the call is sent to, unless the call was
// sent there before.
func (j *job) countServer() {
	if !j.resumesAtSource() {
		j.sent++
	}
}

// uncountServer takes back what countServer has counted.
func (j *job) uncountServer() {
	if !j.resumesAtSource() {
		j.sent--
	}
}

// accepts reports whether an answer with the given id of a request is the answer to this attempt.
// Backend servers echo the id, so that one without an id belongs to no request: it says nothing of
// whether this one ran. The answer that is due may still follow it.
func (j *job) accepts(id string) bool {
	if id == "" {
		j.relayer.metrics.unidentified.WithLabelValues(j.service.Name).Inc()
		j.relayer.settings.Log.Info().Str("Request", j.call.ID).Str("Backend", j.choice.Name).Str("Incarnation", j.choice.Incarnation).
			Msg("answer without an id")
	}
	return id == j.call.ID
}

// countFraming counts the answer to an attempt by its framing and by whether it ended inside
// an event.
func (j *job) countFraming() {
	b := j.answerBody
	j.relayer.metrics.framings.WithLabelValues(j.service.Name, b.Framing().String(), strconv.FormatBool(b.Unfinished() > 0)).Inc()
}

// outgoing returns the request for the backend server.
func (j *job) outgoing(a Attempt) *http.Request {
	out := &http.Request{
		Method: j.request.Method, Host: j.request.Host, URL: targetURL(target(j.request)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: j.relayer.settings.Translator.Header(j.request.Header, a), ContentLength: int64(len(j.body)),
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		out.Header["User-Agent"] = []string{""}
	}
	if len(j.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(j.body))
	}
	return out
}

// target returns the path and query as the caller sent them.
func target(r *http.Request) string {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// targetURL returns a URL that is written as the given path and query. An opaque part that begins
// with two slashes would be written with a scheme; such a path with characters that a URL must not
// contain is written escaped.
func targetURL(target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Opaque: target}
	}
	path, query, hasQuery := strings.Cut(target, "?")
	u := &url.URL{RawPath: path, RawQuery: query, ForceQuery: hasQuery}
	if decoded, err := url.PathUnescape(path); err == nil {
		u.Path = decoded
	}
	return u
}

// unanswered handles an attempt that got no complete answer.
func (j *job) unanswered(err error) verdict {
	notSent := errors.Is(err, exchanger.ErrNotSent)
	switch {
	case j.ctx.Err() != nil:
		if !notSent {
			j.count(endGivenUp)
		}
		j.release(placer.OutcomeCanceled)
		return verdictAborted
	case j.current != nil && errors.Is(context.Cause(j.current.ctx), errQuarantined):
		j.release(placer.OutcomeCanceled)
		if notSent {
			return verdictNotRun
		}
		j.count(endGivenUp)
		return verdictUnknown
	case notSent:
		if errors.Is(err, syscall.ECONNREFUSED) && j.service.Engine != nil {
			j.relayer.inspectInBackground(j.choice)
		}
		j.count(endNotSent)
		j.logFailure(err, "not sent")
		j.release(placer.OutcomeUnreachable)
		return verdictNotRun
	default:
		if j.route.Stream {
			j.relayer.recordStreamLoss()
		}
		j.count(j.brokenEnd())
		j.relayer.recordLoss(j)
		j.logFailure(err, "no answer")
		j.release(placer.OutcomeBroken)
		return verdictUnknown
	}
}

// logFailure logs and counts an attempt that did not answer the call.
func (j *job) logFailure(err error, what string) {
	j.relayer.metrics.failures.WithLabelValues(j.service.Name).Inc()
	e := j.relayer.settings.Log.Info().Err(err).Str("Request", j.call.ID).Str("Backend", j.choice.Name).
		Str("Incarnation", j.choice.Incarnation).Int("Sent", j.sent)
	if defect := exchanger.DefectOf(err); defect != exchanger.DefectNone {
		j.relayer.metrics.defects.WithLabelValues(j.service.Name, defect.String()).Inc()
		e.Stringer("Defect", defect)
	}
	j.addFraming(e)
	j.addSoftware(e)
	e.Msg(what)
}

// maxDiscardedBytes is the length up to which an answer that is not needed is read. Opening another
// connection costs less than reading a longer one.
const maxDiscardedBytes = 64 << 10

// discard reads an answer that is not needed, so that the connection can be reused, or closes the
// connection if the answer is too long.
func (j *job) discard(conn *exchanger.Conn, response *http.Response, head Head) {
	if _, err := io.CopyN(io.Discard, response.Body, maxDiscardedBytes+1); !errors.Is(err, io.EOF) {
		conn.Abort()
		return
	}
	conn.Finish(response, head.KeepAlive)
}

// keepFailure reads the answer of a backend server that failed. It goes to the caller
// if no other answer does.
func (j *job) keepFailure(conn *exchanger.Conn, response *http.Response, head Head) verdict {
	body, err := j.readAnswer(response)
	failed := j.mayHaveRunAnswer(response, head, body)
	switch {
	case errors.Is(err, allotter.ErrNoRoom):
		conn.Abort()
		failed = wholeAnswer{status: http.StatusBadGateway, header: http.Header{"Content-Type": {"text/plain"}}, body: []byte(maxFailureAnswer)}
	case err != nil:
		conn.Abort()
		return j.unanswered(errors.WithType(err, exchanger.ErrSent))
	default:
		conn.Finish(response, head.KeepAlive)
	}
	j.failed = &failed
	j.count(endFailed)
	if head.Signed {
		j.recordSurvival()
		j.clearSuspect()
	}
	j.logFailure(nil, "failed: "+strconv.Itoa(response.StatusCode))
	j.release(placer.OutcomeServerError)
	return verdictFailed
}

// answerWhole reads the complete answer before it forwards any of it: a partial answer
// can then be retried, and is never taken for a complete one.
func (j *job) answerWhole(conn *exchanger.Conn, response *http.Response, head Head) verdict {
	body, err := j.readAnswer(response)
	if errors.Is(err, allotter.ErrNoRoom) && !j.answer.begun() {
		return j.forward(conn, response, head, body)
	}
	if err == nil {
		err = j.checkCrash(response)
	}
	if err != nil {
		conn.Abort()
		return j.unanswered(errors.WithType(err, exchanger.ErrSent))
	}
	conn.Finish(response, head.KeepAlive)
	j.recordAnswered()
	j.sendWhole(outcomeAnswered, j.mayHaveRunAnswer(response, head, body), "")
	return verdictAnswered
}

// recordAnswered records that the answer to the current attempt was received in full.
func (j *job) recordAnswered() {
	now := j.relayer.settings.Now()
	j.relayer.durations.record(now, j.route.Name, now.Sub(j.attemptAt))
	j.count(endAnswered)
	j.recordSurvival()
	j.clearSuspect()
	j.release(placer.OutcomeSuccess)
}

// sendWhole sends a complete answer and logs the call with the given outcome and reason. If part
// of another answer was sent, it sends nothing, and logs the call as broken for that reason.
func (j *job) sendWhole(outcome string, w wholeAnswer, reason string) {
	w.header.Set("Content-Length", strconv.Itoa(len(w.body)))
	switch err := j.answer.sendWhole(w.status, w.header, w.body); {
	case errors.Is(err, errBegun):
		j.log(outcomeBroken, j.answer.status, reason)
	case err != nil:
		j.logUnsent(err)
	default:
		j.log(outcome, w.status, reason)
	}
}
