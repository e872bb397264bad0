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
	client *client
}

// NewEngine returns a client for the engine at s.Address. It opens no connection before
// the first call. It panics if the address is empty.
func NewEngine(s Settings) *Engine {
	return &Engine{client: newClient(s)}
}

// Close closes the idle connections. Calls in progress continue.
func (e *Engine) Close() { e.client.Close() }

// Address returns the address of the engine.
func (e *Engine) Address() string { return e.client.settings.Address }

// State requests the exact state of the engine.
func (e *Engine) State(ctx context.Context) (EngineState, error) {
	var s EngineState
	err := e.get(ctx, PathState, &s)
	return s, errors.Annotate(err, "engine state")
}

// Report requests the load report of the engine, which lags behind its state.
func (e *Engine) Report(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	err := e.get(ctx, PathLoad, &r)
	return r, errors.Annotate(err, "load report")
}

// CacheEvents requests the cache events after the event with the given number.
func (e *Engine) CacheEvents(ctx context.Context, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := e.get(ctx, PathCacheEvents+"?"+QueryAfter+"="+strconv.FormatInt(after, 10), &events)
	return events, errors.Annotate(err, "cache events")
}

// Unload orders the engine to unload the adapter. The engine does so even while requests
// use the adapter, and these requests fail. ErrNotResident means that the adapter was
// not loaded.
func (e *Engine) Unload(ctx context.Context, fence uint64, name string) error {
	order := AdapterOrder{Name: name}
	err := e.order(ctx, e.client.settings.AnswerTimeout, PathUnloadAdapter, fence, order, nil)
	return errors.Annotatef(err, "unload %s", name)
}

// Role orders the engine to assume the role.
func (e *Engine) Role(ctx context.Context, fence uint64, role Role) error {
	err := e.order(ctx, e.client.settings.AnswerTimeout, PathRole, fence, RoleOrder{Role: role}, nil)
	return errors.Annotatef(err, "role %s", role)
}

// ExportKV removes the request and its KV cache from the engine and returns them in an
// opaque encoding. The stream of the request at this engine ends with ErrMoved. The
// returned bytes must be imported exactly once, at this engine or at another one on which
// the adapter is resident.
func (e *Engine) ExportKV(ctx context.Context, fence uint64, request string) ([]byte, error) {
	var data []byte
	err := e.order(ctx, e.client.settings.AnswerTimeout, PathExportKV, fence, ExportOrder{Request: request}, &data)
	return data, errors.Annotatef(err, "export %s", request)
}

// ImportKV sends an exported request to the engine. The request continues there with the
// same request id and event numbers, and Resume returns the rest of its stream.
func (e *Engine) ImportKV(ctx context.Context, fence uint64, data []byte) error {
	err := e.orderBytes(ctx, e.client.settings.AnswerTimeout, PathImportKV, fence, data, nil)
	return errors.Annotate(err, "import")
}

// Cancel orders the engine to cancel the request. The order is idempotent.
func (e *Engine) Cancel(ctx context.Context, request string) (Cancellation, error) {
	var c Cancellation
	ctx, cancel := context.WithTimeout(ctx, e.client.settings.AnswerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.client.url(streamPath(request)+CancelSuffix), http.NoBody)
	if err != nil {
		return c, &Error{Cause: err}
	}
	err = e.exchange(e.client.sendRepeatable, r, &c)
	return c, errors.Annotatef(err, "cancel %s", request)
}

func streamPath(request string) string { return PathStreams + url.PathEscape(request) }

// get sends a GET request and decodes the JSON answer into target.
func (e *Engine) get(ctx context.Context, path string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, e.client.settings.AnswerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.client.url(path), http.NoBody)
	if err != nil {
		return &Error{Cause: err}
	}
	return e.exchange(e.client.sendRepeatable, r, target)
}

func (e *Engine) order(ctx context.Context, limit time.Duration, path string, fence uint64, body any, target *[]byte) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &Error{Cause: err}
	}
	return e.orderBytes(ctx, limit, path, fence, data, target)
}

// orderBytes sends an order at most once, on a new connection: a late duplicate of an
// order would undo the orders that followed the first copy.
func (e *Engine) orderBytes(ctx context.Context, limit time.Duration, path string, fence uint64, data []byte, target *[]byte) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.client.url(path), bytes.NewReader(data))
	if err != nil {
		return &Error{Cause: err}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderFence, strconv.FormatUint(fence, 10))
	if target == nil {
		return e.exchange(e.client.sendOnce, r, nil)
	}
	return e.exchange(e.client.sendOnce, r, target)
}

// exchange sends the request by send and reads the complete answer. It stores the body in
// target if that is a *[]byte, discards it if target is nil, and otherwise decodes it as
// JSON into target.
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
	limit := e.client.settings.MaxAnswerBytes
	data, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if int64(len(data)) > limit {
		err = errors.Errorf("answer longer than %d bytes", limit)
	}
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
