package exchanger

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Transport is an http.Transport that refuses malformed answers which net/http accepts, by CheckHead. Its
// connections must be OrderlyConns, so that an answer that is cut off is not taken for complete.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport with the settings of http.DefaultTransport.
func NewTransport() *Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return NewOrderlyConn(conn), nil
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper. DefectOf returns why an answer is refused.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		// The error of the head goes before one of Close.
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// OrderlyConn is a connection whose Read returns io.EOF only if the peer has closed it in an
// orderly way. There must be one writer at a time, which sets no write deadline.
//
// The operating system reports the error of a socket once. After a reset that a write has
// reported, reads of the socket return what had arrived and then io.EOF.
type OrderlyConn struct {
	net.Conn

	mu sync.Mutex
	// writing is closed when the write in progress has ended; nil if there is none.
	// Guarded by mu.
	writing chan struct{}
	// writeErr is the error of a failed write; nil means none. Guarded by mu.
	writeErr error
}

// NewOrderlyConn returns an OrderlyConn that uses conn.
func NewOrderlyConn(conn net.Conn) *OrderlyConn { return &OrderlyConn{Conn: conn} }

// Write writes to the connection.
func (o *OrderlyConn) Write(data []byte) (int, error) {
	ended := make(chan struct{})
	defer close(ended)
	o.mu.Lock()
	o.writing = ended
	o.mu.Unlock()
	n, err := o.Conn.Write(data)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = nil
	// endWrite sets the only deadline.
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		o.writeErr = err
	}
	return n, err
}

// Read reads from the connection. At an end that is not orderly, it returns an error that matches
// ErrWriteFailed.
func (o *OrderlyConn) Read(data []byte) (int, error) {
	n, err := o.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		if writeErr := o.endWrite(); writeErr != nil {
			err = errors.WithType(writeErr, ErrWriteFailed)
		}
	}
	return n, err
}

// endWrite ends a write in progress, since the peer sends nothing more, and returns the error of a
// failed write.
func (o *OrderlyConn) endWrite() error {
	o.mu.Lock()
	writing := o.writing
	o.mu.Unlock()
	if writing != nil {
		// This fails if the connection is closed, which ends the write too.
		_ = o.SetWriteDeadline(time.Unix(0, 0))
		<-writing
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writeErr
}
