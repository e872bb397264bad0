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
)

// answer is what the caller is given. An answer that was not asked for as a
// stream is held until it is whole, so that its status and headers tell how it
// ended; one larger than wholeLimit is given as it comes.
type answer struct {
	request *request
	control *http.ResponseController
	// begun tells that the caller was sent a part.
	begun   bool
	backend string
	// first is the answer's head.
	first *messenger.Head
	held  []byte
	// hedged keeps all of the answer back until it is finished, because another
	// attempt may be whole before it.
	hedged bool
	// gone tells that the caller takes no more.
	gone bool
}

// wholeLimit is the size up to which an answer is held until it is whole.
const wholeLimit = 4 << 20

func newAnswer(q *request) *answer {
	return &answer{request: q, control: http.NewResponseController(q.w)}
}

// head takes the answer's head. Another attempt's replaces it, which is allowed
// as long as nothing was sent.
func (a *answer) head(h *messenger.Head, backend string) {
	a.first, a.backend, a.held = h, backend, nil
}

func (a *answer) write(data []byte) error {
	if !a.begun && !a.request.stream {
		a.held = append(a.held, data...)
		if a.hedged || len(a.held) <= wholeLimit {
			return nil
		}
		data, a.held = a.held, nil
	}
	if !a.begun {
		a.begin(false)
	}
	if err := a.send(data); err != nil {
		return err
	}
	return errors.Trace(ignoreUnsupported(a.control.Flush()))
}

// begin sends the header. The outcome of an answer that is not whole yet comes
// in the trailer.
func (a *answer) begin(whole bool) {
	q := a.request
	a.begun = true
	q.entry.metrics.firstBytes.WithLabelValues(q.dispatch.Workspace).Observe(q.entry.settings.Now().Sub(q.began).Seconds())
	patience := q.deadline.Sub(q.entry.settings.Now()) + writePatience
	if err := ignoreUnsupported(a.control.SetWriteDeadline(time.Now().Add(patience))); err != nil {
		q.entry.settings.Log.Debug().Err(err).Str("Request", q.id).Msg("no deadline for a slow reader")
	}
	h := q.w.Header()
	status := http.StatusOK
	if a.first != nil {
		translator.CopyAnswer(h, a.first.Header)
		if a.first.ContentType != "" {
			h.Set(translator.HeaderContentType, a.first.ContentType)
		}
		if a.first.Status != 0 {
			status = a.first.Status
		}
	}
	h.Set(translator.HeaderBackend, a.backend)
	if v := q.dispatch.Version; v != "" {
		h.Set(translator.HeaderAdapter, v)
	}
	if whole {
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
	if a.gone {
		return http.ErrAbortHandler
	}
	if _, err := a.request.w.Write(data); err != nil {
		a.gone = true
		return errors.Annotate(err, "write to the caller")
	}
	return nil
}

// finish ends an answer that is whole.
func (a *answer) finish(end *messenger.End) error {
	q := a.request
	if !a.begun {
		a.waits(end)
		a.begin(true)
		return a.send(a.held)
	}
	a.waits(end)
	q.w.Header().Set(translator.HeaderOutcome, messenger.OutcomeCompleted.String())
	if a.events() {
		return a.send(fmt.Appendf(nil, ": %s %s\n\n", translator.HeaderOutcome, messenger.OutcomeCompleted))
	}
	return nil
}

// waits tells the caller what the request waited for, in the header or, once
// that is sent, in the trailer.
func (a *answer) waits(end *messenger.End) {
	h := a.request.w.Header()
	h.Set(translator.HeaderQueueMillis, formatMillis(end.QueueMillis))
	if a.request.dispatch.Version != "" {
		h.Set(translator.HeaderStallMillis, formatMillis(end.StallMillis))
	}
}

func formatMillis(n float64) string { return strconv.FormatFloat(n, 'f', 1, 64) }

// events reports whether the answer is a stream of server-sent events.
func (a *answer) events() bool {
	return a.request.dispatch.Kind != messenger.CallKindService && a.request.stream
}

// cut ends an answer of which a part was sent. A stream of events gets an error
// event; any other connection is broken off, since a reader would take a clean
// end for the answer's.
func (a *answer) cut(f *translator.Fault) {
	q := a.request
	q.w.Header().Set(translator.HeaderOutcome, f.Outcome.String())
	if !a.events() {
		panic(http.ErrAbortHandler)
	}
	if err := a.send(f.Event(q.id)); err != nil {
		q.entry.settings.Log.Debug().Err(err).Str("Request", q.id).Msg("the caller left before the error")
		return
	}
	if err := ignoreUnsupported(a.control.Flush()); err != nil {
		q.entry.settings.Log.Debug().Err(err).Str("Request", q.id).Msg("the caller left before the error")
	}
}

func ignoreUnsupported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
