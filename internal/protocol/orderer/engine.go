package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Engine is the client of one model engine.
type Engine struct {
	caller *caller
}

// NewEngine returns a client for the engine at s.Address. It connects only when
// called. It panics if the address is empty.
func NewEngine(s Settings) *Engine {
	return &Engine{caller: newCaller(s)}
}

// Close closes the idle connections. Calls in progress go on.
func (e *Engine) Close() { e.caller.Close() }

// Address returns the engine's address.
func (e *Engine) Address() string { return e.caller.settings.Address }

// State asks for the engine's exact state.
func (e *Engine) State(ctx context.Context) (EngineState, error) {
	var s EngineState
	err := e.get(ctx, PathState, &s)
	return s, errors.Annotate(err, "engine state")
}

// Report asks for the engine's lagging load report.
func (e *Engine) Report(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	err := e.get(ctx, PathLoad, &r)
	return r, errors.Annotate(err, "load report")
}

// CacheEvents asks for the cache events after the numbered one.
func (e *Engine) CacheEvents(ctx context.Context, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := e.get(ctx, PathCacheEvents+"?"+QueryAfter+"="+strconv.FormatInt(after, 10), &events)
	return events, errors.Annotate(err, "cache events")
}

// Unload orders the engine to drop the adapter. The engine obeys even while
// requests use the adapter, and these fail. ErrNotResident means that there was
// nothing to drop.
func (e *Engine) Unload(ctx context.Context, fence uint64, name string) error {
	order := AdapterOrder{Name: name}
	err := e.order(ctx, e.caller.settings.AnswerTimeout, PathUnloadAdapter, fence, order, nil)
	return errors.Annotatef(err, "unload %s", name)
}

// Role orders the engine to take the role.
func (e *Engine) Role(ctx context.Context, fence uint64, role Role) error {
	err := e.order(ctx, e.caller.settings.AnswerTimeout, PathRole, fence, RoleOrder{Role: role}, nil)
	return errors.Annotatef(err, "role %s", role)
}

// ExportKV takes the request with its KV cache off the engine. Its stream there
// ends with ErrMoved. The bytes are opaque and must be imported exactly once, at
// this engine or at another on which the adapter is resident.
func (e *Engine) ExportKV(ctx context.Context, fence uint64, request string) ([]byte, error) {
	var data []byte
	err := e.order(ctx, e.caller.settings.AnswerTimeout, PathExportKV, fence, ExportOrder{Request: request}, &data)
	return data, errors.Annotatef(err, "export %s", request)
}

// ImportKV hands the engine an exported request, which goes on there under the
// same request id and event numbers; Resume follows it.
func (e *Engine) ImportKV(ctx context.Context, fence uint64, data []byte) error {
	err := e.orderBytes(ctx, e.caller.settings.AnswerTimeout, PathImportKV, fence, data, nil)
	return errors.Annotate(err, "import")
}

// Cancel orders the engine to give up the request. It may be sent again.
func (e *Engine) Cancel(ctx context.Context, request string) (Cancellation, error) {
	var c Cancellation
	ctx, cancel := context.WithTimeout(ctx, e.caller.settings.AnswerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.caller.url(streamPath(request)+CancelSuffix), http.NoBody)
	if err != nil {
		return c, &Error{Cause: err}
	}
	err = e.exchange(e.caller.repeatable, r, &c)
	return c, errors.Annotatef(err, "cancel %s", request)
}

func streamPath(request string) string { return PathStreams + url.PathEscape(request) }

// get reads a JSON answer into target.
func (e *Engine) get(ctx context.Context, path string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, e.caller.settings.AnswerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.caller.url(path), http.NoBody)
	if err != nil {
		return &Error{Cause: err}
	}
	return e.exchange(e.caller.repeatable, r, target)
}

func (e *Engine) order(ctx context.Context, limit time.Duration, path string, fence uint64, body any, target *[]byte) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &Error{Cause: err}
	}
	return e.orderBytes(ctx, limit, path, fence, data, target)
}

// orderBytes sends an order on a connection of its own, at most once: an order
// that arrives a second time, late, would undo what came between.
func (e *Engine) orderBytes(ctx context.Context, limit time.Duration, path string, fence uint64, data []byte, target *[]byte) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.caller.url(path), bytes.NewReader(data))
	if err != nil {
		return &Error{Cause: err}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderFence, strconv.FormatUint(fence, 10))
	if target == nil {
		return e.exchange(e.caller.once, r, nil)
	}
	return e.exchange(e.caller.once, r, target)
}

// exchange sends the request by send and takes in the whole answer: as it is where
// target is a *[]byte, as JSON otherwise, and not at all where target is nil.
func (e *Engine) exchange(send func(*http.Request) (*http.Response, error), r *http.Request, target any) error {
	answer, err := send(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return refusal(answer)
	}
	incarnation := answer.Header.Get(HeaderIncarnation)
	data, err := io.ReadAll(io.LimitReader(answer.Body, e.caller.settings.MaxAnswerBytes))
	if err != nil {
		return &Error{MayHaveBegun: true, Status: answer.StatusCode, Incarnation: incarnation, Cause: err}
	}
	switch t := target.(type) {
	case nil:
	case *[]byte:
		*t = data
	default:
		if err := json.Unmarshal(data, t); err != nil {
			return &Error{MayHaveBegun: true, Status: answer.StatusCode, Incarnation: incarnation, Cause: err}
		}
	}
	return nil
}
