// Package hoster serves a stand-in over HTTP and shuts it down completely.
package hoster

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// Host is the HTTP server of one stand-in. It is safe for concurrent use. Close it after
// use.
type Host struct {
	name    string
	server  http.Server
	serving sync.WaitGroup
	closed  chan struct{}

	mu sync.Mutex
	// stopped is set when closed is closed; guarded by mu, so that no request begins
	// while Close waits.
	stopped bool
}

// NewHost returns a host that is not yet listening. Errors are annotated with name.
func NewHost(name string) *Host { return &Host{name: name, closed: make(chan struct{})} }

// Handle sets the handler. It must be called before Listen and Serve.
func (h *Host) Handle(handler http.Handler) { h.server.Handler = handler }

// Listen starts serving on the TCP address, whose port may be 0, and returns the bound
// address.
func (h *Host) Listen(address string) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", errors.Annotate(err, h.name)
	}
	h.Serve(l)
	return l.Addr().String(), nil
}

// Serve starts serving on the listener and returns at once. Close closes the listener.
func (h *Host) Serve(l net.Listener) {
	h.serving.Go(func() { _ = h.server.Serve(l) })
}

// BeginRequest registers a request that Close has to wait for until EndRequest. It
// returns false, without registering the request, if the host has closed.
func (h *Host) BeginRequest() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	h.serving.Add(1)
	return true
}

// EndRequest marks a request registered by BeginRequest as ended.
func (h *Host) EndRequest() { h.serving.Done() }

// Closed returns a channel that Close closes before it waits for requests.
func (h *Host) Closed() <-chan struct{} { return h.closed }

// Close aborts all requests and waits until they have ended and the host has stopped.
func (h *Host) Close() error {
	h.mu.Lock()
	if !h.stopped {
		h.stopped = true
		close(h.closed)
	}
	h.mu.Unlock()
	err := h.server.Close()
	h.serving.Wait()
	return errors.Trace(err)
}
