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
	// HeaderStallMillis tells how long the request waited for its version to be
	// loaded, HeaderQueueMillis how long for a place in a batch.
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

// MaxKey bounds the bytes of an idempotency key.
const MaxKeyBytes = 255

const bearerPrefix = "Bearer "

// BearerKey returns the bearer key of a request; empty means none.
func BearerKey(h http.Header) string {
	v := h.Get(HeaderAuthorization)
	if len(v) <= len(bearerPrefix) || !strings.EqualFold(v[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return v[len(bearerPrefix):]
}

// IdempotencyKey returns the caller's idempotency key; empty means none.
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

// Deadline returns the time that the caller gives the request; 0 means that it
// states none.
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

// notForwarded are the header fields that concern one connection, or the entry
// alone.
var notForwarded = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", HeaderAuthorization, HeaderDeadline, "Host",
}

// Forwarded returns the fields of a request or answer that go on to the other
// end. The caller's bearer key never does: a plain service could use it as the
// caller.
func ForwardedFields(h http.Header) []messenger.HeaderField {
	drop := make(map[string]bool, len(notForwarded))
	for _, name := range notForwarded {
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

// CopyAnswer sets a plain service's header fields on the answer to the caller.
// Fields of this project are the entry's to set, and never taken over.
func CopyAnswerHeader(to http.Header, fields []messenger.HeaderField) {
	for _, f := range fields {
		name := textproto.CanonicalMIMEHeaderKey(f.Name)
		if strings.HasPrefix(name, "Marigoldpoint-") || name == "Content-Length" {
			continue
		}
		to.Add(name, f.Value)
	}
}
