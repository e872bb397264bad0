package exchanger

import (
	"io"
	"mime"
	"net/http"

	"marigoldpoint.example/marigoldpoint/internal/protocol/splitter"
)

// eventStream is the media type of server-sent events.
const eventStream = "text/event-stream"

// Body is the body of an answer of a backend server.
type Body struct {
	io.ReadCloser
	framing Framing
	// events splits an event stream; nil for other bodies.
	events *splitter.Events
}

// NewBody returns the body of a received answer.
func NewBody(response *http.Response) *Body {
	b := &Body{ReadCloser: response.Body, framing: framingOf(response)}
	// A body with a malformed media type is not an event stream.
	if media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type")); err == nil && media == eventStream {
		b.ExpectEvents()
	}
	return b
}

// BodyOf returns the body of an answer that Exchange returned. It panics for other answers.
func BodyOf(response *http.Response) *Body { return response.Body.(*Body) }

// ExpectEvents treats the body as an event stream regardless of its media type. It must be
// called before the first Read.
func (b *Body) ExpectEvents() { b.events = &splitter.Events{} }

// Framing returns the framing of the body.
func (b *Body) Framing() Framing { return b.framing }

// Unfinished returns the number of bytes that were read of an incomplete event.
func (b *Body) Unfinished() int {
	if b.events == nil {
		return 0
	}
	return b.events.Unfinished()
}

// Read reads the body.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.events != nil {
		b.events.Push(p[:n])
	}
	return n, err
}
