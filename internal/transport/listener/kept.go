package listener

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// gracefulConn is a connection of an HTTP server that can be ended between two requests.
//
// It must not simply be closed: a request may have been read at that moment without the
// server having noticed it. The request would run on a connection that can't return its
// response, and its caller would treat it as lost. That shows as one call in thousands that
// is interrupted by a planned stop, mostly on busy hosts. Instead, the next read reports
// EOF to the server, unless it returns bytes, which are then served.
type gracefulConn struct {
	net.Conn
	// accepted is when the connection was accepted.
	accepted time.Time
	// limited reports whether the buffers of the connection are limited.
	limited bool

	mu sync.Mutex
	// active reports whether the server is processing a request; guarded by mu, as all
	// fields below.
	active bool
	// unanswered reports whether bytes were read since the last write.
	unanswered bool
	// hasRead reports whether any bytes were read.
	hasRead bool
	// ending makes the next read end the connection, unless it returns bytes.
	ending bool
	// unfinished reports whether an answer is in progress that the end of the connection may
	// complete.
	unfinished bool
	// stuck reports whether a write to a connection with limited buffers has exceeded its
	// deadline.
	stuck bool
}

// NetConn returns the underlying connection.
func (c *gracefulConn) NetConn() net.Conn { return c.Conn }

// pastDeadline is a read deadline that makes a read return at once.
var pastDeadline = time.Unix(1, 0)

// firstRequestGrace is how long a new connection without any bytes is kept open, since its
// first request is most likely on its way.
const firstRequestGrace = 500 * time.Millisecond

// Read reads from the connection, or returns io.EOF if it is ending.
func (c *gracefulConn) Read(p []byte) (int, error) {
	if c.isEnding() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.unanswered, c.hasRead = true, true
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

func (c *gracefulConn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// Write writes to the connection.
func (c *gracefulConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = false
	c.stuck = c.stuck || c.limited && errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// SetReadDeadline sets the read deadline, unless the connection is ending.
func (c *gracefulConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// setUnfinished records whether an answer is in progress that the end of the connection may
// complete.
func (c *gracefulConn) setUnfinished(unfinished bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unfinished = unfinished
}

// Close closes the connection. It resets it while an answer is in progress that an orderly
// end would complete: the server closes connections whose handler panicked or whose write
// failed, and all of them when it is closed. With limited buffers, it also resets a connection whose
// peer doesn't read: otherwise the operating system would keep the unread bytes for minutes.
func (c *gracefulConn) Close() error {
	c.mu.Lock()
	reset := c.unfinished || c.stuck
	c.mu.Unlock()
	if reset {
		resetOnClose(c.Conn)
	}
	return c.Conn.Close()
}

// setActive records whether the server is processing a request.
func (c *gracefulConn) setActive(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = active
}

// endIfIdle ends the connection if it is idle.
func (c *gracefulConn) endIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.unanswered || !c.hasRead && now.Sub(c.accepted) < firstRequestGrace {
		return
	}
	c.ending = true
	// The call fails if the connection is already closed.
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// gracefulListener returns accepted connections as gracefulConns.
type gracefulListener struct {
	net.Listener
	// socketBuffer is Limits.SocketBuffer.
	socketBuffer int
}

// Accept waits for a connection.
func (l gracefulListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	limited := ok && l.socketBuffer > 0
	if limited {
		// A connection that has ended already fails when it is read.
		_ = tcp.SetReadBuffer(l.socketBuffer)
		_ = tcp.SetWriteBuffer(l.socketBuffer)
	}
	return &gracefulConn{Conn: c, accepted: time.Now(), limited: limited}, nil
}
