package generator

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// connectionKey is the context key of the connection that a request came over.
type connectionKey struct{}

// connections are the open connections of an engine.
type connections struct {
	mu   sync.Mutex
	open map[*connection]struct{} // guarded by mu
}

func (c *connections) add(inner net.Conn) *connection {
	n := &connection{Conn: inner, owner: c, closed: make(chan struct{}), nudged: make(chan struct{}, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[*connection]struct{})
	}
	c.open[n] = struct{}{}
	return n
}

func (c *connections) all(spared *connection) []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*connection, 0, len(c.open))
	for n := range c.open {
		if n != spared {
			list = append(list, n)
		}
	}
	return list
}

// silence makes all connections but the spared one deliver nothing more.
func (c *connections) silence(spared *connection) {
	for _, n := range c.all(spared) {
		n.mu.Lock()
		n.silent = true
		n.mu.Unlock()
	}
}

// cut closes all connections but the spared one.
func (c *connections) cut(spared *connection) {
	for _, n := range c.all(spared) {
		_ = n.Close()
	}
}

// release closes all connections, the silent ones too.
func (c *connections) release() {
	for _, n := range c.all(nil) {
		_ = n.release()
	}
}

// listener wraps each connection it accepts.
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

// connection is one that can go silent, as if something between its two ends had
// lost track of it: bytes written vanish without an error, and none arrive, not
// even the end of the connection.
type connection struct {
	net.Conn
	owner *connections

	closing sync.Once
	closed  chan struct{}
	// nudged wakes a silent Read when a deadline is set. net/http aborts a pending
	// read that way and waits for it to return.
	nudged chan struct{}

	mu     sync.Mutex
	silent bool // guarded by mu
}

func (n *connection) isSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent
}

// Read reads from the connection, or waits if it is silent.
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
	case <-n.nudged:
		return 0, os.ErrDeadlineExceeded
	}
}

// Write writes to the connection, or pretends to if it is silent.
func (n *connection) Write(data []byte) (int, error) {
	if n.isSilent() {
		return len(data), nil
	}
	return n.Conn.Write(data)
}

// SetReadDeadline sets the deadline and ends a silent Read if it has passed.
func (n *connection) SetReadDeadline(t time.Time) error {
	// A nudge that stays behind would end a later silent Read.
	select {
	case <-n.nudged:
	default:
	}
	if !t.IsZero() && !t.After(time.Now()) {
		select {
		case n.nudged <- struct{}{}:
		default:
		}
	}
	return n.Conn.SetReadDeadline(t)
}

// Close closes the connection. The other end of a silent one learns nothing of
// that: the connection underneath stays until the engine closes.
func (n *connection) Close() error {
	n.closing.Do(func() { close(n.closed) })
	if n.isSilent() {
		return n.Conn.SetReadDeadline(time.Now()) // Ends a pending Read.
	}
	return n.release()
}

// release closes the connection underneath.
func (n *connection) release() error {
	n.owner.mu.Lock()
	delete(n.owner.open, n)
	n.owner.mu.Unlock()
	return n.Conn.Close()
}
