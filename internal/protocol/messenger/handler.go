package messenger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
)

// rpcHandler passes the messages of one connection to its Handler.
type rpcHandler struct{ conn *Conn }

// Handle handles one JSON-RPC message. The library calls it from the read loop.
func (h rpcHandler) Handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-h.conn.ready
	if request.Notif {
		h.handleNotification(ctx, request)
		return
	}
	if !h.conn.beginHandler() {
		return
	}
	go func() {
		defer h.conn.serving.Done()
		h.handleCall(ctx, request)
	}()
}

func (h rpcHandler) handleNotification(ctx context.Context, request *jsonrpc2.Request) {
	if _, err := h.run(ctx, Method(request.Method), request.Params); err != nil {
		h.conn.settings.Log.Debug().Err(err).Str("Method", request.Method).Msg("notification failed")
	}
}

// handleNotice handles one notice. The stream calls it from the read loop.
func (h rpcHandler) handleNotice(ctx context.Context, n notice) {
	<-h.conn.ready
	h.conn.lastReceived.Store(int64(time.Since(h.conn.started)))
	if h.conn.settings.Recorder != nil {
		h.conn.settings.Recorder.Clock().Observe(n.Time)
	}
	switch n.Method { //nolint:exhaustive // The handler handles all other methods.
	case MethodHeartbeat:
		return
	case MethodPace:
		h.conn.handlePace(n.Params)
		return
	}
	h.conn.lastActivity.Store(h.conn.lastReceived.Load())
	params := json.RawMessage(n.Params)
	if _, err := h.run(ctx, n.Method, &params); err != nil {
		h.conn.settings.Log.Debug().Err(err).Str("Method", string(n.Method)).Msg("notification failed")
	}
}

func (h rpcHandler) handleCall(ctx context.Context, request *jsonrpc2.Request) {
	response := &jsonrpc2.Response{ID: request.ID}
	result, err := h.run(ctx, Method(request.Method), request.Params)
	if err == nil {
		err = response.SetResult(result)
	}
	if err != nil {
		response.Error = refusalError(err)
	}
	if err := h.conn.rpc.SendResponse(ctx, response); err != nil {
		h.conn.settings.Log.Debug().Err(err).Str("Method", request.Method).Msg("cannot send answer")
	}
}

func (h rpcHandler) run(ctx context.Context, method Method, rawParams *json.RawMessage) (any, error) {
	if h.conn.settings.Handler == nil {
		return nil, NewRefusal(ReasonUnsupported, string(method))
	}
	params := json.RawMessage("null")
	if rawParams != nil {
		params = *rawParams
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

// debugLogger receives the messages of the library about malformed input from a peer.
type debugLogger struct{ log zerolog.Logger }

// Printf logs at debug level.
func (q debugLogger) Printf(format string, v ...any) { q.log.Debug().Msgf(format, v...) }
