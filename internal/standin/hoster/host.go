// Package hoster serves a stand-in over HTTP on an address, and ends it whole.
package hoster

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// Host serves one stand-in. It may be used by several goroutines. Close it after
// use.
type Host struct {
	name    string
	server  http.Server
	serving sync.WaitGroup
	closed  chan struct{}

	mu sync.Mutex
	// stopped is set when closed is closed; guarded by mu, so that no request
	// enters while Close waits.
	stopped bool
}

// NewHost returns a host that is not yet listening. Name tells stand-ins apart in
// errors.
func NewHost(name string) *Host { return &Host{name: name, closed: make(chan struct{})} }

// Handle sets what is served. It must come before Listen and Serve.
func (h *Host) Handle(handler http.Handler) { h.server.Handler = handler }

// Listen starts to serve on the address, which may end in port 0, and returns the
// address it got.
func (h *Host) Listen(address string) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", errors.Annotate(err, h.name)
	}
	h.Serve(l)
	return l.Addr().String(), nil
}

// Serve starts to serve on the listener, which it closes in the end.
func (h *Host) Serve(l net.Listener) {
	h.serving.Go(func() { _ = h.server.Serve(l) })
}

// Enter counts a request that Close waits for, until Leave. It returns false once
// the host has closed.
func (h *Host) BeginRequest() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	h.serving.Add(1)
	return true
}

// Leave ends what Enter began.
func (h *Host) EndRequest() { h.serving.Done() }

// Closed is closed by Close, before it waits.
func (h *Host) Closed() <-chan struct{} { return h.closed }

// Close cuts all requests and waits until the host has stopped.
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
