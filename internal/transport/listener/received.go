package listener

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
)

// restTimeout limits the time for which the rest of a body is awaited that the handler has not read, before
// the response is sent and the connection closed.
const restTimeout = 500 * time.Millisecond

// AccountOf returns what the connection of a request holds, or nil if the request was not accepted by an
// HTTP.
func AccountOf(r *http.Request) *allotter.Account {
	c, ok := r.Context().Value(connKey{}).(*gracefulConn)
	if !ok {
		return nil
	}
	return c.account
}

// ReadBody reads the body of a request of up to limit bytes, which its connection holds until the handler
// returns. The error is *http.MaxBytesError, allotter.ErrNoRoom, os.ErrDeadlineExceeded or that of the
// connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	account := AccountOf(r)
	if account == nil {
		account = allotter.NewUnlimited().Count()
		defer account.Close()
	}
	body, err := account.ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	if errors.Is(err, allotter.ErrNoRoom) {
		w.Header().Set("Connection", "close")
	}
	return body, err
}

// receivedBody is the body of a request. It records when it was received completely.
type receivedBody struct {
	io.ReadCloser
	account  *allotter.Account
	complete bool
	// timed clears the read deadline; nil means that there is none.
	timed func()
}

// Read reads the body.
func (b *receivedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.complete {
		b.complete = true
		b.account.Complete()
		if b.timed != nil {
			// Past the deadline, the server would treat the caller as gone.
			b.timed()
		}
	}
	return n, err
}

// withReceived returns a handler that limits the time to receive a body, and records when a request is
// complete. The rest of a body that the handler has not read is not awaited for long: without its rest,
// the response would not be sent and the connection never close.
func withReceived(handler http.Handler, bodyTimeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account := AccountOf(r)
		if account == nil {
			handler.ServeHTTP(w, r)
			return
		}
		// Once the handler has returned, the connection only waits for its peer.
		defer account.Next()
		if r.ContentLength == 0 {
			if !account.Complete() {
				// The connection can't be read any more, which would end the request as if its caller
				// had left.
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			handler.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		body := &receivedBody{ReadCloser: r.Body, account: account}
		if bodyTimeout > 0 && control.SetReadDeadline(time.Now().Add(bodyTimeout)) == nil {
			body.timed = func() { _ = control.SetReadDeadline(time.Time{}) }
		}
		// The server looks at the body of the request that it has passed on.
		received := r.WithContext(r.Context())
		received.Body = body
		handler.ServeHTTP(w, received)
		if !body.complete {
			// The call fails if the connection has been taken over.
			_ = control.SetReadDeadline(time.Now().Add(restTimeout))
		}
	})
}
