package exchanger

import (
	"bufio"
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

// Sentinel errors of an exchange.
const (
	// ErrNotSent means that no byte of the request was handed to the network.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrSent means that the request may have been received.
	ErrSent = errors.ConstError("request sent without an answer")
	// ErrForeign means that what came is no answer to the request.
	ErrAnswerMismatch = errors.ConstError("answer of another request")
)

const (
	// bufferBytes is the size of a connection's buffers: one holds a whole head
	// and most answers, so that each costs one system call.
	bufferBytes = 4 << 10
	// maxForeign is the number of answers to other requests that are passed over
	// on one connection.
	maxForeign = 2
)

// Conn is a connection to one backend server.
type Conn struct {
	pool    *Pool
	network net.Conn
	reader  *bufio.Reader
	// requests counts the requests sent.
	requests int
	// idleSince is when the last answer ended, and idleLimit for how long the
	// other end promised to keep the connection since.
	idleSince time.Time
	idleLimit time.Duration
	// sent counts the bytes handed to the network.
	sent   atomic.Int64
	closed sync.Once
	// unbind ends the hold of the present exchange's context; nil between exchanges. It
	// is used by the goroutine that has the connection alone.
	unbind func() bool
}

// Write counts what is handed to the network.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.network.Write(p)
	if n > 0 || err == nil {
		c.sent.Add(int64(n))
	}
	return n, err
}

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.requests > 0 }

// Abort resets the connection. It may be called at any time by any goroutine, and
// ends the exchange in progress.
//
// A close would leave what was written on its way: a host that stands still for some
// seconds finds the request when it wakes, long after the caller has left, and begins
// to work on it. After a reset it finds nothing.
func (c *Conn) Abort() {
	c.closed.Do(func() {
		if tcp, ok := c.network.(*net.TCPConn); ok {
			// It fails on a connection that the other end has reset already.
			_ = tcp.SetLinger(0)
		}
		// A connection that is given up has nothing left to lose.
		_ = c.network.Close()
		c.pool.ended(c)
	})
}

// bind has the end of a context end the exchange in progress, until Finish.
func (c *Conn) bind(ctx context.Context) { c.unbind = context.AfterFunc(ctx, c.Abort) }

// release reports whether the exchange was over before its context: the connection
// belongs to nobody now, and may carry another request.
//
// Without this the context of a call whose caller still reads its answer would reset the
// connection when it ends, under the call that has it by then: somebody else's, whose
// outcome would be unknown, though its backend server is well.
func (c *Conn) release() bool {
	unbind := c.unbind
	c.unbind = nil
	return unbind == nil || unbind()
}

// stale reports whether the other end has closed the connection, or sent
// something while no request was waiting.
func (c *Conn) stale() bool {
	if c.reader.Buffered() > 0 {
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
		// Anything but "nothing there yet" is an end, a fault or stray bytes.
		stale = !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return stale || err != nil
}

// Exchange sends the request and reads the head of its answer. Accept tells from
// the head whether it answers this request; others are passed over. Abort ends it
// at any time. On an error, which matches ErrNotSent, ErrSent or ErrForeign, the
// connection is closed.
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
	// A backend server may answer and close before it has read the whole
	// request: its answer is looked for although the sending failed.
	for range maxForeign + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			c.Abort()
			return nil, errors.Annotatef(ErrSent, "%v", err)
		}
		if response.StatusCode == http.StatusContinue {
			continue
		}
		if accept(response.Header) {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			break
		}
	}
	c.Abort()
	return nil, errors.Trace(ErrAnswerMismatch)
}

// Finish gives the connection back after an answer that was read to its end. The
// head tells for how long the other end keeps it.
func (c *Conn) Finish(response *http.Response, limit time.Duration) {
	if !c.release() || response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 || c.reader.Buffered() > 0 {
		c.Abort()
		return
	}
	c.pool.put(c, limit)
}
