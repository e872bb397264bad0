package exchanger

import (
	"context"
	"io"
	"net/http"
)

// maxQueryBytes bounds the body of an answer to a query, in bytes.
const maxQueryBytes = 64 << 10

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Query sends a request on a new connection and returns the complete answer, whose body may have
// maxQueryBytes at most. The end of ctx aborts it. If the connection is refused, the error
// matches syscall.ECONNREFUSED.
//
// On a pooled connection, bytes that follow an earlier answer could be taken for the answer to
// the query.
func (p *Pool) Query(ctx context.Context, address string, request *http.Request) (Answer, error) {
	conn, err := p.Open(ctx, address)
	if err != nil {
		return Answer{}, err
	}
	defer conn.Abort()
	defer context.AfterFunc(ctx, conn.Abort)()
	response, err := conn.Exchange(request, func(http.Header) bool { return true }) //nolint:bodyclose // The connection is aborted.
	if err != nil {
		return Answer{}, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxQueryBytes+1))
	switch {
	case err != nil:
		return Answer{}, sentError(err)
	case len(body) > maxQueryBytes:
		return Answer{}, sentError(errTooLong)
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
