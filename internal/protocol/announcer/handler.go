package announcer

import (
	"encoding/json"
	stderrors "errors"
	"io"
	"mime"
	"net/http"
)

// Path is the URL path for announcements, which are sent by POST.
const Path = "/v1/announce"

const (
	headerContentType = "Content-Type"
	mediaType         = "application/json"
)

// NewHandler returns a handler for announcements. It passes valid announcements to accept.
// An error of accept that is an *Answer is sent as the refusal; any other error is sent as
// ReasonUnavailable. Authorization must be done by an enclosing handler.
func NewHandler(accept func(Announcement) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := Answer{Reason: ReasonAccepted}
		if err := handle(w, r, accept); err != nil {
			var refusal *Answer
			if !stderrors.As(err, &refusal) {
				refusal = &Answer{Reason: ReasonUnavailable, Detail: err.Error()}
			}
			answer = *refusal
		}
		w.Header().Set(headerContentType, mediaType)
		w.WriteHeader(answer.Reason.status())
		_ = json.NewEncoder(w).Encode(answer)
	})
}

func handle(w http.ResponseWriter, r *http.Request, accept func(Announcement) error) error {
	// A page in a browser on the host can send forms and plain text to a loopback
	// address without a CORS preflight, but no JSON.
	if t, _, err := mime.ParseMediaType(r.Header.Get(headerContentType)); err != nil || t != mediaType {
		return malformed(headerContentType, "not "+mediaType)
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBytes))
	if err != nil {
		return malformed("", "no whole body of 4 KiB at most")
	}
	a, err := Parse(data)
	if err != nil {
		return err
	}
	return accept(a)
}
