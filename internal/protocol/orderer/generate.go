package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// Call is one generation call.
type Call struct {
	// Request is the request id, which is unique across all calls.
	Request  string
	Endpoint Endpoint
	// Model is the name of the adapter at the engine, WORKSPACE/ADAPTER@VERSION. The
	// call fails with ErrWrongModel if the engine answers with another model.
	Model string
	// Priority orders waiting requests at the engine, lowest value first.
	Priority int
	// IdempotencyKey is forwarded unless it is empty.
	IdempotencyKey string
	// Body is the caller's request in the format of OpenAI. Its model, priority,
	// stream and stream_options fields are replaced; all others reach the engine
	// unchanged.
	Body json.RawMessage
	// OnLimit, if set, receives what the engine's answer says about its limit of requests.
	OnLimit func(regulator.Notice)
}

// Piece is one event of an answer.
type Piece struct {
	// Number is the number of the event in the stream. Numbers start at 1 and increase
	// by one.
	Number int64
	// Data is the data of the event as sent by the engine. The receiver may retain it.
	Data []byte
	// Model is the adapter that the engine reports it used. It is empty if Done is set.
	Model string
	// Text is the text that the piece adds to the answer.
	Text         string
	FinishReason string
	// Usage is set on the last piece but one.
	Usage *Usage
	// Done marks the last piece of a complete answer.
	Done bool
}

// requestFields is a JSON object whose values are not decoded, so that unknown fields
// reach the engine exactly as the caller wrote them.
type requestFields map[string]json.RawMessage

func (c *Call) body() ([]byte, error) {
	fields := requestFields{}
	if err := json.Unmarshal(c.Body, &fields); err != nil {
		return nil, errors.Annotate(err, "request body")
	}
	model, err := json.Marshal(c.Model)
	if err != nil {
		return nil, errors.Annotate(err, "model")
	}
	fields["model"] = model
	fields["priority"] = strconv.AppendInt(nil, int64(c.Priority), 10)
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	data, err := json.Marshal(fields)
	return data, errors.Trace(err)
}

// Generate sends the call at most once and passes the pieces of the answer to deliver, in
// order and each once, up to the piece with Done set. If the connection breaks or becomes
// silent, Generate requests the rest on a new one. An error of deliver ends the call and
// is returned unchanged; the engine continues the request for a short grace period unless
// Cancel is called. All other errors match ErrNotRun or ErrUnknown.
func (e *Engine) Generate(ctx context.Context, c Call, deliver func(Piece) error) error {
	body, err := c.body()
	if err != nil {
		return &Error{Cause: err}
	}
	f := &answerReader{engine: e, request: c.Request, model: c.Model, deliver: deliver}
	end, err := f.readConnection(ctx, func(ctx context.Context) (*http.Response, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.client.url(c.Endpoint.Path()), bytes.NewReader(body))
		if err != nil {
			return nil, &Error{Cause: err}
		}
		r.GetBody = nil
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set(HeaderRequest, c.Request)
		if c.IdempotencyKey != "" {
			r.Header.Set(HeaderIdempotencyKey, c.IdempotencyKey)
		}
		answer, err := e.client.sendOnce(r)
		if err == nil {
			reportLimit(answer, c.OnLimit)
		}
		return answer, err
	})
	if end {
		return err
	}
	return f.resume(ctx, err)
}

// Resume passes to deliver the pieces after the given number of a request that the engine
// already has: one that a previous companion sent, or one that was imported. It never
// starts the request. Errors are as for Generate.
func (e *Engine) Resume(ctx context.Context, request, model string, after int64, deliver func(Piece) error) error {
	f := &answerReader{engine: e, request: request, model: model, last: after, deliver: deliver}
	return f.resume(ctx, nil)
}

// answerReader reads one answer over several connections. It is not safe for concurrent
// use.
type answerReader struct {
	engine  *Engine
	request string
	model   string
	deliver func(Piece) error
	// last is the number of the last piece delivered.
	last int64
	// incarnation is the incarnation of the engine that started the answer.
	incarnation string
}

// resume requests the rest of the answer until it is complete, or until ResumeAttempts
// consecutive attempts have yielded no new event.
func (f *answerReader) resume(ctx context.Context, cause error) error {
	s := &f.engine.client.settings
	for attempt := 0; attempt < s.ResumeAttempts && ctx.Err() == nil; attempt++ {
		if attempt > 0 && !pauser.Pause(ctx, s.ResumePause) {
			break
		}
		before := f.last
		end, err := f.readConnection(ctx, f.requestRest)
		if end {
			return err
		}
		cause = err
		if f.last > before {
			attempt = 0
		}
	}
	if ctx.Err() != nil {
		cause = context.Cause(ctx)
	}
	return f.unknownOutcome(nil, errors.Annotatef(cause, "stream %s after event %d", f.request, f.last))
}

func (f *answerReader) requestRest(ctx context.Context) (*http.Response, error) {
	path := streamPath(f.request) + "?" + QueryStartingAfter + "=" + strconv.FormatInt(f.last, 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.engine.client.url(path), http.NoBody)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	answer, err := f.engine.client.sendOnce(r)
	if err != nil {
		// Only the attempt to resume failed; the request itself may have begun.
		return nil, f.unknownOutcome(nil, err)
	}
	if answer.StatusCode == http.StatusOK {
		return answer, nil
	}
	defer func() { _ = answer.Body.Close() }()
	e := refusal(answer)
	e.MayHaveBegun = true
	if e.Status == http.StatusNotFound {
		e.Reason = ErrRequestNotFound
	}
	return nil, e
}

// readConnection opens one connection and delivers the pieces received on it. It returns
// true if there is nothing to resume: the answer is complete, or the error is final.
func (f *answerReader) readConnection(ctx context.Context, open func(context.Context) (*http.Response, error)) (bool, error) {
	limit := f.engine.client.settings.SilenceLimit
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A connection whose state a middlebox has lost stays open and delivers nothing.
	// Since the engine sends heartbeats, silence indicates this.
	watchdog := time.AfterFunc(limit, func() { cancel(ErrSilent) })
	defer watchdog.Stop()
	resetWatchdog := func() { watchdog.Reset(limit) }

	answer, err := open(ctx)
	if err != nil {
		return f.isFinal(err), err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return true, refusal(answer)
	}
	incarnation := answer.Header.Get(HeaderIncarnation)
	if f.incarnation == "" {
		f.incarnation = incarnation
	}
	if f.incarnation != incarnation {
		return true, f.unknownOutcome(ErrRequestNotFound, errors.Errorf("engine restarted as %s", incarnation))
	}
	events := newEventReader(answer.Body, f.engine.client.settings.MaxEventBytes, resetWatchdog)
	end, err := f.readEvents(events, func(p Piece) error {
		// The time that the receiver takes doesn't count as silence of the engine.
		watchdog.Stop()
		defer resetWatchdog()
		return f.deliver(p)
	})
	if cause := context.Cause(ctx); !end && cause != nil {
		err = cause
	}
	return end, err
}

// isFinal reports whether nothing can be resumed after err, an error of opening a
// connection.
func (f *answerReader) isFinal(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return true
	}
	switch {
	case errors.Is(e, ErrMoved):
		return true
	case errors.Is(e, ErrRequestNotFound):
		// A request of which nothing was received may still arrive at the engine.
		return f.last > 0 || f.incarnation != ""
	default:
		return !e.MayHaveBegun
	}
}

// readEvents delivers the events of one connection. It returns true if the answer is
// complete or the error is final.
func (f *answerReader) readEvents(events *eventReader, deliver func(Piece) error) (bool, error) {
	for {
		e, err := events.next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return false, errors.Trace(err)
		}
		if e.number <= f.last {
			continue
		}
		if e.number != f.last+1 {
			return false, errors.Errorf("event %d follows event %d", e.number, f.last)
		}
		piece, err := f.decode(e)
		if err != nil {
			return true, err
		}
		f.last = e.number
		if err := deliver(piece); err != nil {
			return true, err
		}
		if piece.Done {
			return true, nil
		}
	}
}

// eventBody contains the fields that are used of the data of an event, which is a Chunk
// or an error. Decoding it is half of the client's work per token, so unused fields are
// left out.
type eventBody struct {
	Model   string        `json:"model"`
	Choices []eventChoice `json:"choices"`
	Usage   *Usage        `json:"usage"`
	Error   *ErrorDetail  `json:"error"`
}

type eventChoice struct {
	Text         string     `json:"text"`
	Delta        eventDelta `json:"delta"`
	FinishReason string     `json:"finish_reason"`
}

type eventDelta struct {
	Content string `json:"content"`
}

func (f *answerReader) decode(e event) (Piece, error) {
	piece := Piece{Number: e.number, Data: e.data}
	if string(e.data) == DoneMark {
		piece.Done = true
		return piece, nil
	}
	var body eventBody
	if err := json.Unmarshal(e.data, &body); err != nil {
		return piece, f.unknownOutcome(nil, errors.Annotatef(err, "event %d", e.number))
	}
	if body.Error != nil {
		failure := f.unknownOutcome(reasonForType(0, body.Error.Type), nil)
		failure.Type = body.Error.Type
		failure.Message = body.Error.Message
		return piece, failure
	}
	if body.Model != f.model {
		return piece, f.unknownOutcome(ErrWrongModel, errors.Errorf("called %q, answered by %q", f.model, body.Model))
	}
	piece.Model = body.Model
	piece.Usage = body.Usage
	for _, c := range body.Choices {
		piece.Text += c.Text + c.Delta.Content
		piece.FinishReason = c.FinishReason
	}
	return piece, nil
}

func (f *answerReader) unknownOutcome(reason, cause error) *Error {
	return &Error{MayHaveBegun: true, Reason: reason, Incarnation: f.incarnation, Cause: cause}
}
