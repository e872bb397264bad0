package generator

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// connectionKey is the context key of the connection that carries a request.
type connectionKey struct{}

// connections are the open connections of an engine.
type connections struct {
	mu   sync.Mutex
	open map[*connection]struct{} // guarded by mu
}

func (c *connections) add(inner net.Conn) *connection {
	n := &connection{Conn: inner, owner: c, closed: make(chan struct{}), deadlinePassed: make(chan struct{}, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[*connection]struct{})
	}
	c.open[n] = struct{}{}
	return n
}

func (c *connections) allExcept(except *connection) []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*connection, 0, len(c.open))
	for n := range c.open {
		if n != except {
			list = append(list, n)
		}
	}
	return list
}

// silence stops delivery on all connections but the excepted one, which may be nil.
func (c *connections) silence(except *connection) {
	for _, n := range c.allExcept(except) {
		n.mu.Lock()
		n.silent = true
		n.mu.Unlock()
	}
}

// cut closes all connections but the excepted one, which may be nil. Silent ones stay
// open towards the other end.
func (c *connections) cut(except *connection) {
	for _, n := range c.allExcept(except) {
		_ = n.Close()
	}
}

// release closes all connections including the silent ones.
func (c *connections) release() {
	for _, n := range c.allExcept(nil) {
		_ = n.release()
	}
}

// listener wraps each accepted connection in a connection.
type listener struct {
	net.Listener
	conns *connections
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.add(inner), nil
}

// connection is a network connection that can be made silent, as if a middlebox had
// dropped its state: writes succeed without delivery, and nothing is received, not even
// the end of the connection.
type connection struct {
	net.Conn
	owner *connections

	closing sync.Once
	closed  chan struct{}
	// deadlinePassed wakes a silent Read when a deadline in the past is set. net/http
	// aborts a pending read that way and waits for it to return.
	deadlinePassed chan struct{}

	mu     sync.Mutex
	silent bool // guarded by mu
}

func (n *connection) isSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent
}

// Read reads from the connection. On a silent one it blocks until Close or a deadline.
func (n *connection) Read(data []byte) (int, error) {
	count, err := n.Conn.Read(data)
	if !n.isSilent() || errors.Is(err, os.ErrDeadlineExceeded) {
		return count, err
	}
	select {
	case <-n.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case <-n.closed:
		return 0, net.ErrClosed
	case <-n.deadlinePassed:
		return 0, os.ErrDeadlineExceeded
	}
}

// Write writes to the connection. On a silent one it reports success and discards data.
func (n *connection) Write(data []byte) (int, error) {
	if n.isSilent() {
		return len(data), nil
	}
	return n.Conn.Write(data)
}

// SetReadDeadline sets the read deadline. If it has passed, a silent Read ends.
func (n *connection) SetReadDeadline(t time.Time) error {
	// A leftover signal would end a later silent Read.
	select {
	case <-n.deadlinePassed:
	default:
	}
	if !t.IsZero() && !t.After(time.Now()) {
		select {
		case n.deadlinePassed <- struct{}{}:
		default:
		}
	}
	return n.Conn.SetReadDeadline(t)
}

// Close closes the connection. The peer of a silent one doesn't notice, since the
// underlying connection stays open until the engine closes.
func (n *connection) Close() error {
	n.closing.Do(func() { close(n.closed) })
	if n.isSilent() {
		return n.Conn.SetReadDeadline(time.Now()) // Ends a pending Read.
	}
	return n.release()
}

// release closes the underlying connection.
func (n *connection) release() error {
	n.owner.mu.Lock()
	delete(n.owner.open, n)
	n.owner.mu.Unlock()
	return n.Conn.Close()
}
