package gatekeeper

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

// answer is the answer to the caller. An answer that was not requested as a stream is
// buffered until it is complete, so that its status and header show how it ended; one
// larger than maxBufferedBytes is forwarded as it arrives.
type answer struct {
	request *request
	control *http.ResponseController
	// headerSent means that the header and possibly part of the body were sent to the
	// caller.
	headerSent bool
	backend    string
	// answerHead is the metadata of the backend server's answer.
	answerHead *messenger.Head
	buffered   []byte
	// hedged means that the whole answer is buffered until it is finished, because
	// another attempt may complete before this one.
	hedged bool
	// callerGone means that a write to the caller failed. The caller may have left, or still
	// read the part that was sent.
	callerGone bool
	// end withholds the end of an event stream.
	end endEventFilter
}

// maxBufferedBytes is the size up to which an answer is buffered until it is complete.
const maxBufferedBytes = 4 << 20

func newAnswer(q *request) *answer {
	return &answer{request: q, control: http.NewResponseController(q.w)}
}

// head sets the answer's metadata. That of another attempt may replace it as long as
// nothing was sent.
func (a *answer) head(h *messenger.Head, backend string) {
	a.answerHead, a.backend, a.buffered = h, backend, nil
}

func (a *answer) write(data []byte) error {
	if !a.headerSent && !a.request.stream {
		a.buffered = append(a.buffered, data...)
		if a.hedged || len(a.buffered) <= maxBufferedBytes {
			return nil
		}
		data, a.buffered = a.buffered, nil
	}
	if a.isEventStream() {
		if data = a.end.pass(data); len(data) == 0 {
			return nil
		}
	}
	if !a.headerSent {
		a.sendHeader(false)
	}
	if err := a.send(data); err != nil {
		return err
	}
	return a.flush()
}

// flush sends what was written to the caller.
func (a *answer) flush() error {
	if err := ignoreUnsupported(a.control.Flush()); err != nil {
		a.callerGone = true
		return errors.Annotate(err, "write to the caller")
	}
	return nil
}

// sendHeader sends the header. The outcome of an answer that is not complete yet
// follows in the trailer.
func (a *answer) sendHeader(whole bool) {
	q := a.request
	a.headerSent = true
	q.entry.metrics.firstBytes.WithLabelValues(q.dispatch.Workspace).Observe(q.entry.settings.Now().Sub(q.began).Seconds())
	timeout := q.deadline.Sub(q.entry.settings.Now()) + writeGrace
	if err := ignoreUnsupported(a.control.SetWriteDeadline(time.Now().Add(timeout))); err != nil {
		q.entry.settings.Log.Debug().Err(err).Str("Request", q.id).Msg("no deadline for a slow reader")
	}
	h := q.w.Header()
	status := http.StatusOK
	if a.answerHead != nil {
		translator.CopyAnswerHeader(h, a.answerHead.Header)
		if a.answerHead.ContentType != "" {
			h.Set(translator.HeaderContentType, a.answerHead.ContentType)
		}
		if a.answerHead.Status != 0 {
			status = a.answerHead.Status
		}
	}
	h.Set(translator.HeaderBackend, a.backend)
	if v := q.dispatch.Version; v != "" {
		h.Set(translator.HeaderAdapter, v)
	}
	if whole {
		if len(a.buffered) > 0 {
			// Otherwise a caller of HTTP/1.0 can't tell a part of the answer from the whole. An
			// answer without a body may be one to HEAD, whose length is another.
			h.Set("Content-Length", strconv.Itoa(len(a.buffered)))
		}
		h.Set(translator.HeaderOutcome, messenger.OutcomeCompleted.String())
	} else {
		h.Set("Trailer", strings.Join([]string{
			translator.HeaderOutcome, translator.HeaderStallMillis, translator.HeaderQueueMillis,
		}, ", "))
		h.Set("Cache-Control", "no-store")
	}
	q.w.WriteHeader(status)
}

func (a *answer) send(data []byte) error {
	if a.callerGone {
		return http.ErrAbortHandler
	}
	if _, err := a.request.w.Write(data); err != nil {
		a.callerGone = true
		return errors.Annotate(err, "write to the caller")
	}
	return nil
}

// finish sends the rest of an answer that is complete.
func (a *answer) finish(end *messenger.End) error {
	q := a.request
	if !a.headerSent && len(a.end.withheld) == 0 {
		a.setWaitHeaders(end)
		a.sendHeader(true)
		return a.send(a.buffered)
	}
	if !a.headerSent {
		a.sendHeader(false)
	}
	a.setWaitHeaders(end)
	q.w.Header().Set(translator.HeaderOutcome, messenger.OutcomeCompleted.String())
	if a.isEventStream() {
		return a.send(fmt.Appendf(a.end.withheld, ": %s %s\n\n", translator.HeaderOutcome, messenger.OutcomeCompleted))
	}
	return nil
}

// setWaitHeaders sets the fields for the times that the request waited, which are sent
// in the header, or in the trailer if the header was sent before.
func (a *answer) setWaitHeaders(end *messenger.End) {
	h := a.request.w.Header()
	h.Set(translator.HeaderQueueMillis, formatMillis(end.QueueMillis))
	if a.request.dispatch.Version != "" {
		h.Set(translator.HeaderStallMillis, formatMillis(end.StallMillis))
	}
}

func formatMillis(n float64) string { return strconv.FormatFloat(n, 'f', 1, 64) }

// isEventStream reports whether the answer is a stream of server-sent events.
func (a *answer) isEventStream() bool {
	return a.request.dispatch.Kind != messenger.CallKindService && a.request.stream
}

// abort ends an answer that was sent in part. An event stream gets an error event; any
// other connection is broken off, since the caller would take a regular end for the end
// of a complete answer.
func (a *answer) abort(f *translator.Fault) {
	q := a.request
	q.w.Header().Set(translator.HeaderOutcome, f.Outcome.String())
	if !a.isEventStream() {
		listener.AbortAnswer(q.w, q.r)
	}
	err := a.send(f.Event(q.id))
	if err == nil {
		err = a.flush()
	}
	if err != nil {
		q.entry.settings.Log.Debug().Err(err).Str("Request", q.id).Msg("the caller left before the error")
		listener.AbortAnswer(q.w, q.r)
	}
}

func ignoreUnsupported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
