package listener

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
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
	// limited reports whether the send buffer of the connection is limited.
	limited bool
	// account is what the connection holds.
	account *allotter.Account

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
	// evicted makes all reads fail: others need the room of the request that is being received.
	evicted bool
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
	if n > 0 && !c.count(n) {
		c.Abort()
		return 0, errNoRoom
	}
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

// errNoRoom means that there is no room for the head of a request. The server sends no answer.
var errNoRoom error = &net.OpError{Op: "read", Err: errors.ConstError("no room for the head of a request")}

// count counts n bytes that were read. It returns false if there is no room for them.
func (c *gracefulConn) count(n int) bool {
	c.mu.Lock()
	active, ending := c.active, c.ending
	c.mu.Unlock()
	if ending {
		// The connection was evicted while it was idle, and goes on.
		c.account.Next()
	}
	c.account.Progressed()
	return active || c.account.AddHead(n)
}

// Abort closes the connection with a reset.
func (c *gracefulConn) Abort() {
	resetOnClose(c.Conn)
	// The connection is discarded, so an error of Close doesn't matter.
	_ = c.Conn.Close()
}

// Evict ends what the connection receives. An idle connection ends as at a planned stop, one that has sent
// nothing or part of a head is reset, and the handler of a request whose body is incomplete can't read on.
func (c *gracefulConn) Evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.active:
		c.evicted = true
	case c.hasRead && !c.unanswered:
		c.ending = true
	default:
		c.Abort()
		return
	}
	// The call fails if the connection is already closed.
	_ = c.Conn.SetReadDeadline(pastDeadline)
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
	if c.ending || c.evicted {
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
	c.account.Close()
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
	limits Limits
}

// Accept waits for a connection. It resets those for which there is no room: their callers have sent
// nothing that was read, and may go elsewhere.
func (l gracefulListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			l.limitBuffers(tcp)
		}
		conn := &gracefulConn{Conn: c, accepted: time.Now(), limited: l.limits.SocketBuffer > 0}
		if conn.account = l.limits.Allotter.Open(conn); conn.account != nil {
			return conn, nil
		}
		conn.Abort()
	}
}

// limitBuffers sets the sizes of the buffers of a connection. A connection that has ended already fails
// when it is read.
func (l gracefulListener) limitBuffers(c *net.TCPConn) {
	if n := l.limits.SocketBuffer; n > 0 {
		_ = c.SetReadBuffer(n)
		_ = c.SetWriteBuffer(n)
	}
}

// limitReceived sets the size of the receive buffers of the connections that a TCP listener will accept,
// which includes those that already wait. It does nothing for other listeners.
func limitReceived(network net.Listener, size int) {
	tcp, ok := network.(*net.TCPListener)
	if !ok || size <= 0 {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		// The listener is closed.
		return
	}
	// Without the option, the operating system chooses the size.
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
}
