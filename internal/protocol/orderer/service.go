package orderer

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/juju/errors"
)

const headerUserAgent = "User-Agent"

// Service is the client of one plain service.
type Service struct {
	caller *caller
}

// ServiceCall is one request to a plain service.
type ServiceCall struct {
	// Request is the request id, passed on as X-Request-Id.
	Request string
	Method  string
	// Target is the path with its query, as it goes onto the request line.
	Target string
	// Header is passed on without its hop-by-hop fields. It is not changed.
	Header http.Header
	Body   []byte
	// Idempotent allows the call to be sent again when a reused connection dies.
	Idempotent bool
}

// ServiceAnswer is the answer of a plain service. Whatever its status, it is the
// service's own: only the service knows whether a refusal of its came before or
// after the work.
type ServiceAnswer struct {
	Status int
	// Header has no hop-by-hop fields.
	Header http.Header
	// Body must be closed. Its read errors match ErrUnknown.
	Body io.ReadCloser
}

// NewService returns a client for the plain service at s.Address. It connects
// only when called. It panics if the address is empty.
func NewService(s Settings) *Service {
	return &Service{caller: newCaller(s)}
}

// Close closes the idle connections. Calls in progress go on.
func (s *Service) Close() { s.caller.Close() }

// Forward sends the call and returns the answer once its header is in. A call
// that is not idempotent is sent at most once, on a connection of its own. The
// context bounds the reading of the body too. Errors match ErrNotRun or ErrUnknown.
func (s *Service) Forward(ctx context.Context, c ServiceCall) (*ServiceAnswer, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, s.caller.url(c.Target), bytes.NewReader(c.Body))
	if err != nil {
		return nil, &Error{Cause: err}
	}
	if len(c.Body) == 0 {
		r.Body = http.NoBody
	}
	copyEndToEnd(r.Header, c.Header)
	r.Header.Set(HeaderRequest, c.Request)
	if r.Header.Get(headerUserAgent) == "" {
		r.Header.Set(headerUserAgent, "") // Keeps net/http from adding its own.
	}
	exchange := s.caller.once
	if c.Idempotent {
		exchange = s.caller.repeatable
	}
	answer, err := exchange(r) //nolint:bodyclose // The receiver of the answer closes it.
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	copyEndToEnd(header, answer.Header)
	return &ServiceAnswer{Status: answer.StatusCode, Header: header, Body: &serviceBody{answer.Body}}, nil
}

// serviceBody marks read errors as outcome unknown: the service did begin.
type serviceBody struct {
	io.ReadCloser
}

// Read reads from the answer.
func (b *serviceBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		err = &Error{MayHaveBegun: true, Cause: err}
	}
	return n, err
}
