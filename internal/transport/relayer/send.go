package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

// send hands the call to the backend server chosen, and its answer to the caller.
func (j *job) send(ctx context.Context, a Attempt, followed *attempt) verdict {
	r := j.relayer
	conn, response, err := j.exchange(ctx, a) //nolint:bodyclose // Each verdict reads the body to its end or aborts the connection.
	if err != nil {
		return j.unanswered(err) //nolint:contextcheck // What a loss tells outlives the call.
	}
	head := r.settings.Translator.Head(response.StatusCode, response.Header)
	if head.Calls >= 0 {
		r.settings.Placer.Loaded(r.settings.Now(), &j.choice, head.Calls)
	}
	if head.NotRun {
		if head.OtherIncarnation {
			// The backend server that was meant never got it.
			j.sent--
			j.count(endElsewhere)
		} else {
			j.count(endUnread)
		}
		if j.service.Engine == nil && !head.OtherIncarnation {
			r.settings.Placer.TurnedAway(r.settings.Now(), &j.choice)
		}
		j.discard(conn, response, head)
		j.note(nil, "not run: "+strconv.Itoa(response.StatusCode))
		j.release(placer.EndingRefused)
		return verdictNotRun
	}
	if response.StatusCode >= http.StatusInternalServerError || !head.Signed {
		return j.keep(conn, response, head) //nolint:contextcheck // The same.
	}
	if j.route.Stream {
		return j.stream(conn, response, head, followed) //nolint:contextcheck // The same.
	}
	return j.whole(conn, response, head) //nolint:contextcheck // The same.
}

// exchange sends the call to the backend server chosen. The end of the context resets the
// connection, which has the backend server drop the request.
func (j *job) exchange(ctx context.Context, a Attempt) (*exchanger.Conn, *http.Response, error) {
	t := j.relayer.settings.Translator
	j.sent++
	j.arrivals++
	j.bytesBefore = j.bytes
	conn, response, err := j.relayer.settings.Pool.Exchange(ctx, j.choice.Address,
		func() *http.Request { return j.outgoing(a) },
		func(h http.Header) bool {
			id := t.Head(0, h).Request
			return id == "" || id == j.call.ID
		})
	if errors.Is(err, exchanger.ErrNotSent) {
		j.sent--
		j.arrivals--
	}
	return conn, response, err
}

// outgoing returns the request as the backend server is to get it.
func (j *job) outgoing(a Attempt) *http.Request {
	out := &http.Request{
		Method: j.request.Method, Host: j.request.Host, URL: &url.URL{Opaque: target(j.request)},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: j.relayer.settings.Translator.Header(j.request.Header, a), ContentLength: int64(len(j.body)),
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty one keeps net/http from adding its own.
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

// unanswered judges a attempt that got no answer.
func (j *job) unanswered(err error) verdict {
	notSent := errors.Is(err, exchanger.ErrNotSent)
	switch {
	case j.ctx.Err() != nil:
		if !notSent {
			j.count(endGivenUp)
		}
		j.release(placer.EndingGivenUp)
		return verdictEnded
	case j.followed != nil && errors.Is(context.Cause(j.followed.ctx), errQuarantined):
		j.release(placer.EndingGivenUp)
		if notSent {
			return verdictNotRun
		}
		j.count(endGivenUp)
		return verdictUnknown
	case notSent:
		j.count(endNotSent)
		j.note(err, "not sent")
		j.release(placer.EndingUnreached)
		return verdictNotRun
	default:
		if j.route.Stream {
			j.relayer.noteLoss()
		}
		j.count(j.broke())
		j.relayer.recordLoss(j)
		j.note(err, "no answer")
		j.release(placer.EndingBroken)
		return verdictUnknown
	}
}

// note logs what became of one attempt that did not answer the call.
func (j *job) note(err error, what string) {
	j.relayer.metrics.failures.WithLabelValues(j.service.Name).Inc()
	j.relayer.settings.Log.Info().Err(err).Str("Request", j.call.ID).Str("Backend", j.choice.Name).
		Str("Incarnation", j.choice.Incarnation).Int("Sent", j.sent).Msg(what)
}

// discard reads an answer that nobody needs, so that the connection can be used
// again.
func (j *job) discard(conn *exchanger.Conn, response *http.Response, head Head) {
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		conn.Abort()
		return
	}
	conn.Finish(response, head.KeepAlive)
}

// keep reads a backend server's own failure, which is the caller's answer if no
// other comes.
func (j *job) keep(conn *exchanger.Conn, response *http.Response, head Head) verdict {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		conn.Abort()
		return j.unanswered(errors.Annotatef(exchanger.ErrSent, "%v", err))
	}
	conn.Finish(response, head.KeepAlive)
	header := j.relayer.settings.Translator.AnswerHeader(response.Header)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	j.failed = &kept{status: response.StatusCode, header: header, body: body}
	j.count(endFailed)
	if head.Signed {
		j.survived()
	}
	j.note(nil, "failed: "+strconv.Itoa(response.StatusCode))
	j.release(placer.EndingFailed)
	return verdictFailed
}

// whole reads an answer to its end before any of it goes to the caller: one that
// breaks off can then be asked for again, and never looks complete.
func (j *job) whole(conn *exchanger.Conn, response *http.Response, head Head) verdict {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		conn.Abort()
		return j.unanswered(errors.Annotatef(exchanger.ErrSent, "%v", err))
	}
	conn.Finish(response, head.KeepAlive)
	j.count(endAnswered)
	j.survived()
	j.release(placer.EndingWell)
	j.begin(response)
	j.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.writer.WriteHeader(response.StatusCode)
	// A caller that has gone needs no answer.
	_, _ = j.writer.Write(body)
	j.bytes += int64(len(body))
	j.log(outcomeAnswered, response.StatusCode, "")
	return verdictAnswered
}

// begin copies the answer's head.
func (j *job) begin(response *http.Response) {
	j.began = true
	h := j.writer.Header()
	for k, v := range j.relayer.settings.Translator.AnswerHeader(response.Header) {
		h[k] = v
	}
}
