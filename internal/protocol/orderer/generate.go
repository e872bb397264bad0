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

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// Call is one generation call.
type Call struct {
	// Request is the request id; it is unique over all calls.
	Request  string
	Endpoint Endpoint
	// Model is the adapter's name at the engine, WORKSPACE/ADAPTER@VERSION. The
	// call fails with ErrWrongModel if the engine names another in its answer.
	Model string
	// Priority orders waiting requests at the engine, the lowest first.
	Priority int
	// IdempotencyKey is passed on where it is not empty.
	IdempotencyKey string
	// Body is the caller's request in OpenAI's shape. Its model, priority and
	// stream fields are replaced; all others reach the engine as they are.
	Body json.RawMessage
}

// Piece is one event of an answer.
type Piece struct {
	// Number is the event's number in the stream. It rises by one from 1.
	Number int64
	// Data is the event's data as the engine sent it. The receiver may keep it.
	Data []byte
	// Model is the adapter that the engine says it used. It is empty when Done.
	Model string
	// Text is the text that the piece adds.
	Text         string
	FinishReason string
	// Usage is set on the piece that carries it, the last but one.
	Usage *Usage
	// Done marks the last piece of a whole answer.
	Done bool
}

// requestFields is a JSON object whose values stay undecoded, so that fields this
// project knows nothing of reach the engine as the caller wrote them.
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

// Generate sends the call at most once and gives the pieces of the answer to
// give, in order and each once, until the piece that is Done. When the connection
// breaks or goes silent it asks for the rest on a new one. An error of give ends
// the call and is returned as it is; the engine goes on with the request for a
// short grace unless Cancel is called. All other errors match ErrNotRun or
// ErrUnknown.
func (e *Engine) Generate(ctx context.Context, c Call, give func(Piece) error) error {
	body, err := c.body()
	if err != nil {
		return &Error{Cause: err}
	}
	f := &follower{engine: e, request: c.Request, model: c.Model, give: give}
	end, err := f.follow(ctx, func(ctx context.Context) (*http.Response, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.caller.url(c.Endpoint.Path()), bytes.NewReader(body))
		if err != nil {
			return nil, &Error{Cause: err}
		}
		r.GetBody = nil
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set(HeaderRequest, c.Request)
		if c.IdempotencyKey != "" {
			r.Header.Set(HeaderIdempotencyKey, c.IdempotencyKey)
		}
		return e.caller.once(r)
	})
	if end {
		return err
	}
	return f.resume(ctx, err)
}

// Resume gives the pieces after the numbered one of a request that the engine
// already has: one that an earlier companion dispatched, or that was imported.
// It never starts the request. Errors are as for Generate.
func (e *Engine) Resume(ctx context.Context, request, model string, after int64, give func(Piece) error) error {
	f := &follower{engine: e, request: request, model: model, last: after, give: give}
	return f.resume(ctx, nil)
}

// follower follows one answer over several connections.
type follower struct {
	engine  *Engine
	request string
	model   string
	give    func(Piece) error
	// last is the number of the last piece given.
	last int64
	// incarnation is the engine's incarnation that began the answer.
	incarnation string
}

// resume asks for the rest of the answer until it is whole, or until the engine
// has given nothing new for the allowed number of attempts.
func (f *follower) resume(ctx context.Context, cause error) error {
	s := &f.engine.caller.settings
	for attempt := 0; attempt < s.ResumeAttempts && ctx.Err() == nil; attempt++ {
		if attempt > 0 && !pauser.Pause(ctx, s.ResumePause) {
			break
		}
		before := f.last
		end, err := f.follow(ctx, f.ask)
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
	return f.unknown(nil, errors.Annotatef(cause, "stream %s after event %d", f.request, f.last))
}

func (f *follower) ask(ctx context.Context) (*http.Response, error) {
	path := streamPath(f.request) + "?" + QueryStartingAfter + "=" + strconv.FormatInt(f.last, 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.engine.caller.url(path), http.NoBody)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	answer, err := f.engine.caller.once(r)
	if err != nil {
		// The question was not answered; the request itself may have begun.
		return nil, f.unknown(nil, err)
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

// follow opens one connection and gives the pieces that arrive on it. It returns
// true when there is nothing to resume: the answer is whole, or the error final.
func (f *follower) follow(ctx context.Context, open func(context.Context) (*http.Response, error)) (bool, error) {
	limit := f.engine.caller.settings.SilenceLimit
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A connection that something in between has lost track of stays open and
	// delivers nothing. The engine sends heartbeats, so that silence tells.
	watchdog := time.AfterFunc(limit, func() { cancel(ErrSilent) })
	defer watchdog.Stop()
	alive := func() { watchdog.Reset(limit) }

	answer, err := open(ctx)
	if err != nil {
		return f.final(err), err
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
		return true, f.unknown(ErrRequestNotFound, errors.Errorf("engine restarted as %s", incarnation))
	}
	events := newEventReader(answer.Body, f.engine.caller.settings.MaxEventBytes, alive)
	end, err := f.take(events, func(p Piece) error {
		// A slow receiver is no silence of the engine.
		watchdog.Stop()
		defer alive()
		return f.give(p)
	})
	if cause := context.Cause(ctx); !end && cause != nil {
		err = cause
	}
	return end, err
}

// final tells whether an error in opening a connection leaves nothing to ask.
func (f *follower) final(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return true
	}
	switch {
	case errors.Is(e, ErrMoved):
		return true
	case errors.Is(e, ErrRequestNotFound):
		// A request that was never heard of may still be on its way to the engine.
		return f.last > 0 || f.incarnation != ""
	default:
		return !e.MayHaveBegun
	}
}

// take gives the events of one connection. It returns true when the answer is
// whole or the error final.
func (f *follower) take(events *eventReader, give func(Piece) error) (bool, error) {
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
		if err := give(piece); err != nil {
			return true, err
		}
		if piece.Done {
			return true, nil
		}
	}
}

// eventBody holds what is needed of the data an event may carry, a Chunk or an
// error. Decoding it is half of the client's work on a token.
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

func (f *follower) decode(e event) (Piece, error) {
	piece := Piece{Number: e.number, Data: e.data}
	if string(e.data) == DoneMark {
		piece.Done = true
		return piece, nil
	}
	var body eventBody
	if err := json.Unmarshal(e.data, &body); err != nil {
		return piece, f.unknown(nil, errors.Annotatef(err, "event %d", e.number))
	}
	if body.Error != nil {
		failure := f.unknown(reasonOf(0, body.Error.Type), nil)
		failure.Type = body.Error.Type
		failure.Message = body.Error.Message
		return piece, failure
	}
	if body.Model != f.model {
		return piece, f.unknown(ErrWrongModel, errors.Errorf("called %q, answered by %q", f.model, body.Model))
	}
	piece.Model = body.Model
	piece.Usage = body.Usage
	for _, c := range body.Choices {
		piece.Text += c.Text + c.Delta.Content
		piece.FinishReason = c.FinishReason
	}
	return piece, nil
}

func (f *follower) unknown(reason, cause error) *Error {
	return &Error{MayHaveBegun: true, Reason: reason, Incarnation: f.incarnation, Cause: cause}
}
