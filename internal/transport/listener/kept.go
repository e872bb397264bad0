package listener

import (
	"io"
	"net"
	"sync"
	"time"
)

// keptConn is a connection of an HTTP server which can be ended between two requests.
//
// To close it would be wrong: a request may have been read in that moment and not have
// been noticed yet. It would run on a connection that nobody can answer on, and its
// caller would take it for lost. That shows as one call in thousands that a planned stop
// cuts, on busy hosts first. Here the next read tells the server that the other end has
// left, unless it brings bytes: then they are served.
type keptConn struct {
	net.Conn
	// accepted is when the connection came.
	accepted time.Time

	mu sync.Mutex
	// active tells that the server works on a request; guarded by mu, as all below.
	active bool
	// unanswered tells that bytes were read since the last write.
	unanswered bool
	// used tells that bytes were read at all.
	used bool
	// ending tells that the next read is to end the connection.
	ending bool
}

// over is a time that makes a read end at once.
var over = time.Unix(1, 0)

// firstGrace is for how long a connection is kept that has brought nothing yet: its
// first request is most likely on its way.
const firstGrace = 500 * time.Millisecond

// Read reads, unless the connection is to end.
func (c *keptConn) Read(p []byte) (int, error) {
	if c.ends() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.unanswered, c.used = true, true
		if c.ending {
			c.ending = false
			if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
				return n, err
			}
		}
		return n, err
	}
	if c.ending {
		return 0, io.EOF
	}
	return n, err
}

func (c *keptConn) ends() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// Write writes.
func (c *keptConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = false
	return n, err
}

// SetReadDeadline sets the time at which reads end, unless they end now.
func (c *keptConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		t = over
	}
	return c.Conn.SetReadDeadline(t)
}

// work notes whether the server works on a request.
func (c *keptConn) work(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = active
}

// end ends the connection if it is idle.
func (c *keptConn) end(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.unanswered || !c.used && now.Sub(c.accepted) < firstGrace {
		return
	}
	c.ending = true
	// It fails on a connection that is closed already.
	_ = c.Conn.SetReadDeadline(over)
}

// keptListener makes the connections that it accepts keptConns.
type keptListener struct{ net.Listener }

// Accept waits for a connection.
func (k keptListener) Accept() (net.Conn, error) {
	c, err := k.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, accepted: time.Now()}, nil
}
