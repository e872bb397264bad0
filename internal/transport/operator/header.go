package operator

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Headers and media types of the API.
const (
	headerAuthenticate   = "WWW-Authenticate"
	headerAuthorization  = "Authorization"
	headerContentType    = "Content-Type"
	headerETag           = "ETag"
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotent-Replayed"
	headerIfMatch        = "If-Match"
	headerIfNoneMatch    = "If-None-Match"
	headerRetryAfter     = "Retry-After"
	headerAllow          = "Allow"

	typeJSON      = "application/json"
	typeJSONLines = "application/x-ndjson"

	bearerScheme = "Bearer"
	anyRevision  = "*"
)

// Query parameters of the API.
const (
	queryWatch    = "Watch"
	queryAfter    = "After"
	queryLimit    = "Limit"
	queryContinue = "Continue"
)

// formatETag returns a revision as an entity tag.
func formatETag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// parseETag returns the revision of an entity tag, with or without its quotes.
func parseETag(tag string) (uint64, error) {
	revision, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil || revision == 0 {
		return 0, errors.Errorf("%q is no revision", tag)
	}
	return revision, nil
}

// conditions are what a change asks of the resource as it is.
type conditions struct {
	// ifMatch is the revision asked for; 0 means none.
	ifMatch uint64
	// ifNoneMatch asks that the resource does not exist.
	ifNoneMatch bool
}

func parseConditions(h http.Header) (conditions, error) {
	var c conditions
	if tag := h.Get(headerIfMatch); tag != "" {
		revision, err := parseETag(tag)
		if err != nil {
			return c, errors.Annotate(err, headerIfMatch)
		}
		c.ifMatch = revision
	}
	if tag := h.Get(headerIfNoneMatch); tag != "" {
		if tag != anyRevision {
			return c, errors.Errorf("%s of a change is *, not %q", headerIfNoneMatch, tag)
		}
		c.ifNoneMatch = true
	}
	if c.ifMatch != 0 && c.ifNoneMatch {
		return c, errors.Errorf("%s and %s exclude each other", headerIfMatch, headerIfNoneMatch)
	}
	return c, nil
}
