package messenger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
)

// rpcHandler hands the messages of one connection to its Handler.
type rpcHandler struct{ conn *Conn }

// Handle serves one message; the library calls it from the read loop.
func (h rpcHandler) Handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-h.conn.ready
	if request.Notif {
		h.notified(ctx, request)
		return
	}
	if !h.conn.begin() {
		return
	}
	go func() {
		defer h.conn.serving.Done()
		h.called(ctx, request)
	}()
}

func (h rpcHandler) notified(ctx context.Context, request *jsonrpc2.Request) {
	if _, err := h.run(ctx, Method(request.Method), request.Params); err != nil {
		h.conn.settings.Log.Debug().Err(err).Str("Method", request.Method).Msg("notification failed")
	}
}

// noticed serves one frequent notification; the stream calls it from the read
// loop.
func (h rpcHandler) noticed(ctx context.Context, n notice) {
	<-h.conn.ready
	h.conn.heard.Store(int64(time.Since(h.conn.began)))
	if h.conn.settings.Recorder != nil {
		h.conn.settings.Recorder.Clock().Observe(n.Time)
	}
	switch n.Method { //nolint:exhaustive // The others are the handler's.
	case MethodHeartbeat:
		return
	case MethodPace:
		h.conn.paced(n.Params)
		return
	}
	h.conn.worked.Store(h.conn.heard.Load())
	params := json.RawMessage(n.Params)
	if _, err := h.run(ctx, n.Method, &params); err != nil {
		h.conn.settings.Log.Debug().Err(err).Str("Method", string(n.Method)).Msg("notification failed")
	}
}

func (h rpcHandler) called(ctx context.Context, request *jsonrpc2.Request) {
	response := &jsonrpc2.Response{ID: request.ID}
	result, err := h.run(ctx, Method(request.Method), request.Params)
	if err == nil {
		err = response.SetResult(result)
	}
	if err != nil {
		response.Error = refusalError(err)
	}
	if err := h.conn.rpc.SendResponse(ctx, response); err != nil {
		h.conn.settings.Log.Debug().Err(err).Str("Method", request.Method).Msg("answer not sent")
	}
}

func (h rpcHandler) run(ctx context.Context, method Method, given *json.RawMessage) (any, error) {
	if h.conn.settings.Handler == nil {
		return nil, NewRefusal(ReasonUnsupported, string(method))
	}
	params := json.RawMessage("null")
	if given != nil {
		params = *given
	}
	if allow := h.conn.settings.Allow; allow != nil {
		if err := allow(h.conn.network, method, params); err != nil {
			return nil, err
		}
	}
	return h.conn.settings.Handler.Handle(ctx, h.conn, method, params)
}

func refusalError(err error) *jsonrpc2.Error {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		refusal = NewRefusal(ReasonInternal, err.Error())
	}
	e := &jsonrpc2.Error{Code: refusalCode, Message: refusal.Error()}
	e.SetError(refusal)
	return e
}

// quietLogger takes the library's complaints about a peer's bytes.
type quietLogger struct{ log zerolog.Logger }

// Printf logs at debug level.
func (q quietLogger) Printf(format string, v ...any) { q.log.Debug().Msgf(format, v...) }
