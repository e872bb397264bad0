package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Sentinel errors of an exchange, to be matched with errors.Is.
const (
	// ErrNotSent means that no byte of the request was written to the network.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrSent means that the request may have been received.
	ErrSent = errors.ConstError("request sent without an answer")
	// ErrAnswerMismatch means that only answers to other requests were received.
	ErrAnswerMismatch = errors.ConstError("answer of another request")
)

const (
	// bufferBytes is the size of the read and write buffers of a connection. It fits a
	// complete head and most answers, so that each takes one system call.
	bufferBytes = 4 << 10
	// maxMismatchedAnswers is the maximum number of answers to other requests that one
	// exchange skips.
	maxMismatchedAnswers = 2
	// maxSkippedBytes bounds the body of an answer that is skipped: a faulty server may send bytes
	// without end.
	maxSkippedBytes = 1 << 20
)

// Conn is a connection to one backend server. Except for Abort, it must be used by one
// goroutine at a time.
type Conn struct {
	pool    *Pool
	network net.Conn
	reader  *bufio.Reader
	// pushedBack holds bytes that reader reads before those of the network; nil means none.
	pushedBack *bytes.Reader
	// limited means that at most left further bytes may be read.
	limited bool
	left    int
	// requests is the number of requests sent.
	requests int
	// idleSince is the time at which the last answer ended, and idleLimit the time
	// since then for which the connection may be reused.
	idleSince time.Time
	idleLimit time.Duration
	// sent is the number of bytes written to the network.
	sent atomic.Int64
	// writeErr is the error of writing a request of which a part was written; nil means none.
	writeErr error
	closed   sync.Once
	// unbind detaches the context of the current exchange; nil between exchanges. Only
	// the goroutine that uses the connection may access it.
	unbind func() bool
}

// Write writes to the network and counts the bytes written.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.network.Write(p)
	if n > 0 || err == nil {
		c.sent.Add(int64(n))
	}
	return n, err
}

// Read reads from the network. It returns errTooLong once the limit is reached.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.limited {
		return c.readNetwork(p)
	}
	if c.left <= 0 {
		return 0, errors.Trace(errTooLong)
	}
	n, err := c.readNetwork(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// readNetwork reads from the network. It returns io.EOF only if the peer has closed the connection
// in an orderly way.
//
// The operating system reports the error of a socket once. After a reset that a write has reported,
// reads return what had arrived and then io.EOF.
func (c *Conn) readNetwork(p []byte) (int, error) {
	n, err := c.network.Read(p)
	if c.writeErr != nil && errors.Is(err, io.EOF) {
		return n, errors.WithType(c.writeErr, ErrWriteFailed)
	}
	return n, err
}

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.requests > 0 }

// Abort resets the connection and ends the exchange in progress. It may be called at any
// time from any goroutine.
//
// After a regular close, bytes already written would still be delivered: a host that
// is cut off for some seconds would receive the request afterwards, long after the caller
// has disconnected, and process it. A reset discards them, except for those that the peer's
// operating system has received: a process that stalls still reads them.
func (c *Conn) Abort() {
	c.closed.Do(func() {
		if tcp, ok := c.network.(*net.TCPConn); ok {
			// This fails if the peer has already reset the connection.
			_ = tcp.SetLinger(0)
		}
		// The connection is discarded, so an error of Close doesn't matter.
		_ = c.network.Close()
		c.pool.connClosed(c)
	})
}

// bindContext makes the end of ctx abort the exchange in progress, until Finish.
func (c *Conn) bindContext(ctx context.Context) { c.unbind = context.AfterFunc(ctx, c.Abort) }

// unbindContext detaches the context of the exchange and reports whether it did so before
// the context ended, so that the connection may carry another request.
//
// Otherwise the end of the context, for example while its caller still reads the answer,
// would reset the connection while another call uses it. The outcome of that call would
// be unknown although its backend server is healthy.
func (c *Conn) unbindContext() bool {
	unbind := c.unbind
	c.unbind = nil
	return unbind == nil || unbind()
}

// stale reports whether the peer has closed the connection, or has sent bytes while no
// request was pending.
func (c *Conn) stale() bool {
	if c.unread() > 0 {
		return true
	}
	raw, ok := c.network.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	stale := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// Any result other than EAGAIN means the end of the connection, an error or
		// unexpected bytes.
		stale = !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return stale || err != nil
}

// Exchange sends the request and reads the head of its answer, whose body is a *Body. The
// function accept reports whether a head belongs to the answer to this request; up to
// maxMismatchedAnswers other answers are skipped. Abort ends the exchange at any time.
// On an error, which matches ErrNotSent, ErrSent or ErrAnswerMismatch, the connection is
// closed.
func (c *Conn) Exchange(request *http.Request, accept func(http.Header) bool) (*http.Response, error) {
	before := c.sent.Load()
	c.requests++
	writer := bufio.NewWriterSize(c, bufferBytes)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	sent := c.sent.Load() > before
	if err != nil && !sent {
		c.Abort()
		return nil, errors.Annotatef(ErrNotSent, "%v", err)
	}
	c.writeErr = err
	// A backend server may answer and close the connection before it has read the
	// complete request, so the answer is read even if sending has failed.
	defer func() { c.limited = false }()
	for range maxMismatchedAnswers + 1 {
		c.limited = false
		response, err := c.readResponse(request)
		if err != nil {
			c.Abort()
			if errors.Is(err, ErrWriteFailed) {
				// No complete head has arrived.
				err = c.writeErr
			}
			return nil, sentError(err)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			c.Abort()
			return nil, errors.Annotate(ErrSent, "another protocol, which was not requested")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		response.Body = NewBody(response)
		if accept(response.Header) {
			return response, nil
		}
		c.limited, c.left = true, maxSkippedBytes
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			break
		}
	}
	c.Abort()
	return nil, errors.Trace(ErrAnswerMismatch)
}

// sentError adds to the cause of a failed exchange that its request may have been received.
func sentError(cause error) error {
	return errors.Annotate(errors.WithType(cause, ErrSent), ErrSent.Error())
}

// Finish returns the connection to the pool after the answer was read to its end, or
// closes it if it can't be reused. The parameter limit is the idle time that the peer
// announced in the head of the answer; 0 means none.
func (c *Conn) Finish(response *http.Response, limit time.Duration) {
	if !c.unbindContext() || c.writeErr != nil || response.Close || BodyOf(response).Framing() == FramingConnection || c.unread() > 0 {
		c.Abort()
		return
	}
	c.pushedBack = nil
	c.pool.recycle(c, limit)
}
