package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// Limits bound what a client of an HTTP listener may take.
type Limits struct {
	// MaxHeaderBytes bounds a request's header; 0 means the standard library's.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time to send a request's header; 0 means none.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection; 0 means
	// none.
	IdleTimeout time.Duration
}

// HTTP serves HTTP on one listener.
type HTTP struct {
	network net.Listener
	server  *http.Server
	done    chan struct{}
	// retiring tells that each answer ends its connection.
	retiring atomic.Bool

	mu sync.Mutex
	// conns holds the open connections; guarded by mu.
	conns map[*keptConn]struct{}
}

// NewHTTP serves handler on network until Close or Shutdown.
func NewHTTP(network net.Listener, handler http.Handler, limits Limits, log zerolog.Logger) *HTTP {
	h := &HTTP{network: network, done: make(chan struct{}), conns: make(map[*keptConn]struct{})}
	h.server = &http.Server{
		Handler:           h.closing(handler),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ConnState:         h.changed,
	}
	go func() {
		defer close(h.done)
		if err := h.server.Serve(keptListener{network}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.Error().Err(err).Str("Address", network.Addr().String()).Msg("serving HTTP ended")
		}
	}()
	return h
}

// closing has answers end their connection while the server retires.
func (h *HTTP) closing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.retiring.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// changed follows the state of a connection.
func (h *HTTP) changed(network net.Conn, state http.ConnState) {
	c, ok := network.(*keptConn)
	if !ok {
		return
	}
	c.work(state == http.StateActive)
	if state == http.StateIdle && h.retiring.Load() {
		// Its answer was under way when the stop was announced, and did not tell its
		// caller to go elsewhere: left open, the caller would go on sending here.
		c.end(time.Now())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(h.conns, c)
		return
	}
	h.conns[c] = struct{}{}
}

// Address returns the address listened on.
func (h *HTTP) Address() string { return h.network.Addr().String() }

// DisableKeepAlives ends the connections that are idle, and the others with their answer, so that
// their callers go elsewhere. New ones are still accepted, for one answer each.
func (h *HTTP) DisableKeepAlives() {
	h.retiring.Store(true)
	h.endIdle()
}

// endIdle ends the connections that are idle and returns the number of open ones.
func (h *HTTP) endIdle() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for c := range h.conns {
		c.end(now)
	}
	return len(h.conns)
}

// idleInterval is the time between two looks at what is still open at the end.
const idleInterval = 20 * time.Millisecond

// Shutdown stops accepting and waits for the requests in progress until ctx ends.
func (h *HTTP) Shutdown(ctx context.Context) error {
	h.DisableKeepAlives()
	if err := h.network.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Trace(err)
	}
	<-h.done
	for h.endIdle() > 0 {
		if !pauser.Pause(ctx, idleInterval) {
			return errors.Annotate(ctx.Err(), "requests were still in progress")
		}
	}
	return errors.Trace(h.server.Shutdown(ctx))
}

// Close ends all connections at once and waits for the server's end.
func (h *HTTP) Close() error {
	err := h.server.Close()
	<-h.done
	if errors.Is(err, net.ErrClosed) {
		// Shutdown has closed the listener.
		return nil
	}
	return errors.Trace(err)
}
