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
	case !hasBody(response):
		return FramingLength
	case len(response.TransferEncoding) > 0:
		return FramingChunks
	case response.ContentLength < 0:
		return FramingConnection
	default:
		return FramingLength
	}
}

// hasBody reports whether an answer may have a body (RFC 9112, section 6.3).
func hasBody(response *http.Response) bool {
	switch {
	case response.Request != nil && response.Request.Method == http.MethodHead:
		return false
	case response.StatusCode < http.StatusOK, response.StatusCode == http.StatusNoContent, response.StatusCode == http.StatusNotModified:
		return false
	}
	return true
}
