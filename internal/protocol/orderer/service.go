package orderer

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

const headerUserAgent = "User-Agent"

// Service is the client of one plain service.
type Service struct {
	client *client
}

// ServiceCall is one request to a plain service.
type ServiceCall struct {
	// Request is the request id, sent as X-Request-Id.
	Request string
	Method  string
	// Target is the path with its query, as in the request line.
	Target string
	// Header is forwarded without its hop-by-hop fields. It is not modified.
	Header http.Header
	Body   []byte
	// Idempotent allows the call to be resent if a reused connection breaks.
	Idempotent bool
	// OnLimit, if set, receives what the answer says about the service's limit of requests.
	OnLimit func(regulator.Notice)
}

// ServiceAnswer is the answer of a plain service, of any status. Only the service knows
// whether it refused the request before or after the work.
type ServiceAnswer struct {
	Status int
	// Header contains no hop-by-hop fields.
	Header http.Header
	// Body must be closed by the receiver. Its read errors match ErrUnknown.
	Body io.ReadCloser
}

// NewService returns a client for the plain service at s.Address. It opens no connection
// before the first call. It panics if the address is empty.
func NewService(s Settings) *Service {
	return &Service{client: newClient(s)}
}

// Close closes the idle connections. Calls in progress continue.
func (s *Service) Close() { s.client.Close() }

// Forward sends the call and returns the answer as soon as its header has been received.
// A call that is not idempotent is sent at most once, on a new connection. The context
// also applies to reading the body. Errors match ErrNotRun or ErrUnknown.
func (s *Service) Forward(ctx context.Context, c ServiceCall) (*ServiceAnswer, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, s.client.url(c.Target), bytes.NewReader(c.Body))
	if err != nil {
		return nil, &Error{Cause: err}
	}
	if len(c.Body) == 0 {
		r.Body = http.NoBody
	}
	copyEndToEnd(r.Header, c.Header)
	r.Header.Set(HeaderRequest, c.Request)
	if r.Header.Get(headerUserAgent) == "" {
		r.Header.Set(headerUserAgent, "") // Prevents net/http from adding a default.
	}
	exchange := s.client.sendOnce
	if c.Idempotent {
		exchange = s.client.sendRepeatable
	}
	answer, err := exchange(r) //nolint:bodyclose // The receiver of the answer closes it.
	if err != nil {
		return nil, err
	}
	reportLimit(answer, c.OnLimit)
	header := http.Header{}
	copyEndToEnd(header, answer.Header)
	return &ServiceAnswer{Status: answer.StatusCode, Header: header, Body: &serviceBody{exchanger.NewBody(answer)}}, nil
}

// serviceBody converts read errors to errors that match ErrUnknown, since the service has
// begun the request.
type serviceBody struct {
	io.ReadCloser
}

// Read reads from the body of the answer.
func (b *serviceBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		err = &Error{MayHaveBegun: true, Cause: err}
	}
	return n, err
}
