package translator

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// Headers of the caller API.
const (
	HeaderRequest = "Marigoldpoint-Request"
	HeaderAdapter = "Marigoldpoint-Adapter"
	HeaderBackend = "Marigoldpoint-Backend"
	HeaderOutcome = "Marigoldpoint-Outcome"
	// HeaderStallMillis is the time in milliseconds that the request waited for its
	// version to be loaded, HeaderQueueMillis the time that it waited for a free batch
	// slot.
	HeaderStallMillis    = "Marigoldpoint-Stall-Millis"
	HeaderQueueMillis    = "Marigoldpoint-Queue-Millis"
	HeaderDeadline       = "Marigoldpoint-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
	// HeaderRetryAfterMillis is read by OpenAI's client libraries.
	HeaderRetryAfterMillis = "Retry-After-Ms"
	// HeaderShouldRetry is read by OpenAI's client libraries.
	HeaderShouldRetry   = "X-Should-Retry"
	HeaderAuthorization = "Authorization"
	HeaderContentType   = "Content-Type"
)

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

const bearerPrefix = "Bearer "

// BearerKey returns the bearer key of a request, or the empty string if there is none.
func BearerKey(h http.Header) string {
	v := h.Get(HeaderAuthorization)
	if len(v) <= len(bearerPrefix) || !strings.EqualFold(v[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return v[len(bearerPrefix):]
}

// IdempotencyKey returns the idempotency key of a request, or the empty string if there is
// none. More than one key, or a key of invalid length, is an error.
func IdempotencyKey(h http.Header) (string, error) {
	keys := h.Values(HeaderIdempotencyKey)
	switch {
	case len(keys) == 0:
		return "", nil
	case len(keys) > 1:
		return "", errors.NotValidf("more than one %s", HeaderIdempotencyKey)
	case keys[0] == "" || len(keys[0]) > MaxKeyBytes:
		return "", errors.NotValidf("%s of %d bytes; 1 to %d are allowed; it", HeaderIdempotencyKey, len(keys[0]), MaxKeyBytes)
	}
	return keys[0], nil
}

// Deadline returns the time that the caller allows for the request; 0 means that no
// deadline is set.
func Deadline(h http.Header) (time.Duration, error) {
	text := h.Get(HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, errors.NotValidf("%s %.40q, which is no duration such as 1500ms,", HeaderDeadline, text)
	}
	return d, nil
}

// hopByHopAndLocal lists the header fields that apply to a single connection, or only to
// the entry.
var hopByHopAndLocal = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", HeaderAuthorization, HeaderDeadline, "Host",
}

// ForwardedFields returns the header fields of a request or answer that are forwarded. The
// bearer key of the caller is never forwarded: a plain service could use it to act as the
// caller.
func ForwardedFields(h http.Header) []messenger.HeaderField {
	drop := make(map[string]bool, len(hopByHopAndLocal))
	for _, name := range hopByHopAndLocal {
		drop[name] = true
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			drop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var fields []messenger.HeaderField
	for name, values := range h {
		if drop[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, messenger.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}

// CopyAnswerHeader adds the header fields of a plain service's answer to the answer to the
// caller. Only the entry may set the header fields of this project, so these are skipped,
// as is Content-Length.
func CopyAnswerHeader(to http.Header, fields []messenger.HeaderField) {
	for _, f := range fields {
		name := textproto.CanonicalMIMEHeaderKey(f.Name)
		if strings.HasPrefix(name, "Marigoldpoint-") || name == "Content-Length" {
			continue
		}
		to.Add(name, f.Value)
	}
}
