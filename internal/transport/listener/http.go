package listener

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// Limits are the limits for the clients of an HTTP listener.
type Limits struct {
	// MaxHeaderBytes limits the size of a request's header; 0 means the standard library's
	// limit.
	MaxHeaderBytes int
	// HeaderTimeout limits the time to receive a request's header; 0 means no limit.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time to receive a request's body; 0 leaves that to the handler.
	BodyTimeout time.Duration
	// IdleTimeout limits the time between two requests of a connection; 0 means no limit.
	IdleTimeout time.Duration
	// SocketBuffer is the size of the send and the receive buffer of each TCP connection in
	// bytes, of which the operating system may use twice as much; 0 means that it chooses.
	SocketBuffer int
	// ReceiveBuffer is the size of the receive buffer of each TCP connection in bytes, if SocketBuffer
	// is 0, of which the operating system may use twice as much; 0 means that it chooses.
	ReceiveBuffer int
	// Admission limits the connections that a TCP listener accepts; nil means no limit.
	Admission Admission
	// Allotter limits the number of connections, and what they hold; nil means no limit.
	Allotter *allotter.Allotter
}

// HTTP serves HTTP on one listener.
type HTTP struct {
	network   net.Listener
	server    *http.Server
	admission Admission
	done      chan struct{}
	// draining makes each response close its connection.
	draining atomic.Bool

	mu sync.Mutex
	// conns holds the open connections; guarded by mu.
	conns map[*gracefulConn]struct{}
}

// NewHTTP serves handler on network until Close or Shutdown.
func NewHTTP(network net.Listener, handler http.Handler, limits Limits, log zerolog.Logger) *HTTP {
	received := cmp.Or(limits.SocketBuffer, limits.ReceiveBuffer)
	limitReceived(network, received)
	if tcp, ok := network.(*net.TCPListener); ok && limits.Admission != nil {
		network = newPausingListener(tcp, limits.Admission, received)
	}
	if limits.Allotter == nil {
		limits.Allotter = allotter.NewUnlimited()
	}
	h := &HTTP{network: network, admission: limits.Admission, done: make(chan struct{}), conns: make(map[*gracefulConn]struct{})}
	h.server = &http.Server{
		Handler:           h.withConnectionClose(withUnfinished(withReceived(handler, limits.BodyTimeout))),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ConnState:         h.connStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	go func() {
		defer close(h.done)
		if err := h.server.Serve(gracefulListener{network, limits}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.Error().Err(err).Str("Address", network.Addr().String()).Msg("HTTP server failed")
		}
	}()
	return h
}

// withConnectionClose returns a handler that sets "Connection: close" on responses while
// the server drains or limits connections.
func (h *HTTP) withConnectionClose(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.draining.Load() || h.admission != nil && h.admission.Limited() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withUnfinished returns a handler that marks the connection of an answer that ends with it,
// until the answer is complete.
func withUnfinished(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*gracefulConn)
		if !ok || !endsWithConn(r) {
			handler.ServeHTTP(w, r)
			return
		}
		c.setUnfinished(true)
		handler.ServeHTTP(w, r)
		// A handler that panics does not complete its answer.
		c.setUnfinished(false)
	})
}

// connStateChanged tracks the state of a connection; it is the server's ConnState callback.
func (h *HTTP) connStateChanged(network net.Conn, state http.ConnState) {
	c, ok := network.(*gracefulConn)
	if !ok {
		return
	}
	c.setActive(state == http.StateActive)
	if state == http.StateIdle {
		c.account.Next()
	}
	if state == http.StateIdle && h.draining.Load() {
		// Its response was in progress when keep-alives were disabled and so had no
		// "Connection: close". Left open, the caller would keep sending requests here.
		c.endIfIdle(time.Now())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(h.conns, c)
		return
	}
	h.conns[c] = struct{}{}
}

// Address returns the listener's address.
func (h *HTTP) Address() string { return h.network.Addr().String() }

// DisableKeepAlives closes idle connections at once and the others after their response, so
// that callers go elsewhere. New connections are still accepted, for one response each.
func (h *HTTP) DisableKeepAlives() {
	h.draining.Store(true)
	h.endIdle()
}

// endIdle ends the idle connections and returns the number of open ones.
func (h *HTTP) endIdle() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for c := range h.conns {
		c.endIfIdle(now)
	}
	return len(h.conns)
}

// drainPollInterval is the time between two checks for open connections during Shutdown.
const drainPollInterval = 20 * time.Millisecond

// Shutdown stops accepting and waits until the requests in progress have ended. It returns
// the context's error if ctx ends first.
func (h *HTTP) Shutdown(ctx context.Context) error {
	h.DisableKeepAlives()
	if err := h.network.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Trace(err)
	}
	<-h.done
	for h.endIdle() > 0 {
		if !pauser.Pause(ctx, drainPollInterval) {
			return errors.Annotate(ctx.Err(), "requests are still in progress")
		}
	}
	return errors.Trace(h.server.Shutdown(ctx))
}

// Close closes all connections at once and waits for the server's goroutine.
func (h *HTTP) Close() error {
	err := h.server.Close()
	<-h.done
	if errors.Is(err, net.ErrClosed) {
		// Shutdown has already closed the listener.
		return nil
	}
	return errors.Trace(err)
}
