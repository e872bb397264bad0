package listener

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
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
}

// NewHTTP serves handler on network until Close or Shutdown.
func NewHTTP(network net.Listener, handler http.Handler, limits Limits, log zerolog.Logger) *HTTP {
	h := &HTTP{
		network: network,
		server: &http.Server{
			Handler:           handler,
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(h.done)
		if err := h.server.Serve(network); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Str("Address", network.Addr().String()).Msg("serving HTTP ended")
		}
	}()
	return h
}

// Address returns the address listened on.
func (h *HTTP) Address() string { return h.network.Addr().String() }

// Shutdown stops accepting and waits for the requests in progress until ctx
// ends.
func (h *HTTP) Shutdown(ctx context.Context) error {
	if err := h.server.Shutdown(ctx); err != nil {
		return errors.Annotate(err, "requests were still in progress")
	}
	<-h.done
	return nil
}

// Close ends all connections at once and waits for the server's end.
func (h *HTTP) Close() error {
	err := h.server.Close()
	<-h.done
	return errors.Trace(err)
}
