// Package listener accepts the messenger connections and HTTP requests of a process, and
// ends them at a planned stop.
package listener

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// Listener serves messenger connections.
type Listener struct {
	network  net.Listener
	settings messenger.Settings
	allotter *allotter.Allotter

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

// NewListener accepts connections on network until Close, without a limit.
func NewListener(network net.Listener, s messenger.Settings) *Listener {
	return NewLimitedListener(network, s, nil)
}

// NewLimitedListener accepts connections on network until Close. The allotter limits their number, and
// what they hold; nil means no limit.
func NewLimitedListener(network net.Listener, s messenger.Settings, a *allotter.Allotter) *Listener {
	if a == nil {
		a = allotter.NewUnlimited()
	}
	l := &Listener{network: network, settings: s, allotter: a, conns: make(map[*messenger.Conn]struct{})}
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

// peerConn is the connection of an account of a Listener.
type peerConn struct{ net.Conn }

// Evict closes the connection: its peer has sent no message yet.
func (p peerConn) Evict() { p.Abort() }

// Abort resets the connection. Unlike Close, it does not wait for the peer of a sealed connection.
func (p peerConn) Abort() {
	conn := innermost(p.Conn)
	resetOnClose(conn)
	// The connection is discarded, so an error of Close doesn't matter.
	_ = conn.Close()
}

func (l *Listener) serve(network net.Conn) {
	settings := l.settings
	if settings.Account = l.allotter.Open(peerConn{network}); settings.Account == nil {
		peerConn{network}.Abort()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		settings.Account.Close()
		network.Close()
		return
	}
	c := messenger.NewConn(network, settings)
	l.conns[c] = struct{}{}
	l.done.Add(1)
	go l.removeWhenDone(c, settings.Account)
}

// removeWhenDone waits for the end of a connection and removes it.
func (l *Listener) removeWhenDone(c *messenger.Conn, account *allotter.Account) {
	defer l.done.Done()
	defer account.Close()
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
