package exchanger

import "net/http"

//go:generate stringer -type=Framing -trimprefix=Framing

// Framing is how the end of an answer's body is determined (RFC 9112, section 6.3). The names
// of the values are written to logs and metrics.
type Framing int

const (
	// FramingLength means that the length is given in the head, or that there is no body.
	FramingLength Framing = iota
	// FramingChunks means that the body ends with its last chunk.
	FramingChunks
	// FramingConnection means that the body ends when its connection is closed.
	FramingConnection
)

// framingOf returns the framing of an answer's body.
func framingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramingChunks
	case response.ContentLength < 0:
		return FramingConnection
	default:
		return FramingLength
	}
}
