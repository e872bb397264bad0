// Package listener accepts the messenger connections and HTTP requests of a process, and
// ends them at a planned stop.
package listener

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// Listener serves messenger connections.
type Listener struct {
	network  net.Listener
	settings messenger.Settings

	// root ends with Close.
	root   context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// conns holds the open connections; guarded by mu.
	conns map[*messenger.Conn]struct{}
	// closed refuses further connections; guarded by mu.
	closed bool
	done   sync.WaitGroup
}

// NewListener accepts connections on network until Close.
func NewListener(network net.Listener, s messenger.Settings) *Listener {
	l := &Listener{network: network, settings: s, conns: make(map[*messenger.Conn]struct{})}
	l.root, l.cancel = context.WithCancel(context.Background())
	l.done.Add(1)
	go l.accept()
	return l
}

// Address returns the listener's address.
func (l *Listener) Address() string { return l.network.Addr().String() }

// acceptPause is the wait after a failed accept. The cause may pass, as when descriptors have run out.
const acceptPause = 100 * time.Millisecond

func (l *Listener) accept() {
	defer l.done.Done()
	for {
		network, err := l.network.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			l.settings.Log.Error().Err(err).Msg("could not accept a connection")
			if !pauser.Pause(l.root, acceptPause) {
				return
			}
		default:
			l.serve(network)
		}
	}
}

func (l *Listener) serve(network net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		network.Close()
		return
	}
	c := messenger.NewConn(network, l.settings)
	l.conns[c] = struct{}{}
	l.done.Add(1)
	go l.removeWhenDone(c)
}

// removeWhenDone waits for the end of a connection and removes it.
func (l *Listener) removeWhenDone(c *messenger.Conn) {
	defer l.done.Done()
	<-c.Done()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	if err := c.Close(); err != nil {
		l.settings.Log.Debug().Err(err).Str("Peer", c.Peer()).Msg("could not close a connection")
	}
}

// Close stops accepting, closes all connections and waits for their handlers.
func (l *Listener) Close() error {
	l.cancel()
	err := l.network.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	l.mu.Lock()
	l.closed = true
	open := make([]*messenger.Conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		if err := c.Close(); err != nil {
			l.settings.Log.Debug().Err(err).Str("Peer", c.Peer()).Msg("could not close a connection")
		}
	}
	l.done.Wait()
	return errors.Trace(err)
}
