package exchanger

import (
	"io"
	"mime"
	"net/http"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/splitter"
)

// eventStream is the media type of server-sent events.
const eventStream = "text/event-stream"

// Body is the body of an answer. It detects truncated bodies: Read returns io.EOF only at the
// end of the body according to its framing and, in an event stream, only after a complete
// event. Otherwise, it returns io.ErrUnexpectedEOF or the error of the connection.
//
// The end of a body that is delimited by the close of its connection is ambiguous. Unless the
// body is an event stream, an orderly close is the end of the body (RFC 9112, section 8). An
// event stream must also contain at least one event with data. No close is orderly after a failed
// write of the request.
type Body struct {
	io.ReadCloser
	framing Framing
	// events finds the ends of the events of an event stream; nil for other bodies.
	events *splitter.Scanner
}

// NewBody returns the body of a received answer.
func NewBody(response *http.Response) *Body {
	b := &Body{ReadCloser: response.Body, framing: framingOf(response)}
	// A body with a malformed media type is not an event stream, and the events of one with a
	// content coding can't be found.
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err == nil && media == eventStream && response.Header.Get("Content-Encoding") == "" && hasBody(response) {
		b.ExpectEvents()
	}
	return b
}

// BodyOf returns the body of an answer that Exchange returned. It panics for other answers.
func BodyOf(response *http.Response) *Body { return response.Body.(*Body) }

// ExpectEvents treats the body as an event stream regardless of its media type. It must be
// called before the first Read.
func (b *Body) ExpectEvents() { b.events = &splitter.Scanner{} }

// Framing returns the framing of the body.
func (b *Body) Framing() Framing { return b.framing }

// Events returns the number of complete events with data that were read; 0 for a body that is
// not an event stream.
func (b *Body) Events() int {
	if b.events == nil {
		return 0
	}
	return b.events.Count()
}

// Unfinished returns the number of bytes that were read of an incomplete event.
func (b *Body) Unfinished() int {
	if b.events == nil {
		return 0
	}
	return b.events.Unfinished()
}

// Read reads from the body. It returns io.EOF only at the end of a complete body.
func (b *Body) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if b.events == nil {
		return n, err
	}
	b.events.Scan(p[:n])
	if errors.Is(err, io.EOF) && (b.events.Unfinished() > 0 || b.framing == FramingConnection && b.events.Count() == 0) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
