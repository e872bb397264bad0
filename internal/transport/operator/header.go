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

// parseETag returns the revision in an entity tag, with or without quotes.
func parseETag(tag string) (uint64, error) {
	revision, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil || revision == 0 {
		return 0, errors.Errorf("%q is no revision", tag)
	}
	return revision, nil
}

// preconditions are the conditions of a change on the current resource.
type preconditions struct {
	// ifMatch is the required revision; 0 means any.
	ifMatch uint64
	// ifNoneMatch requires that the resource does not exist.
	ifNoneMatch bool
}

func parsePreconditions(h http.Header) (preconditions, error) {
	var c preconditions
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
