package announcer

import (
	"encoding/json"
	stderrors "errors"
	"io"
	"mime"
	"net/http"
)

// Path is the path of announcements, for POST.
const Path = "/v1/announce"

const (
	headerContentType = "Content-Type"
	mediaType         = "application/json"
)

// NewHandler answers announcements. It gives those that are well formed to accept,
// whose refusals are *Answer; any other error of it is told as ReasonUnavailable.
// Who may announce is for the handler around it to say.
func NewHandler(accept func(Announcement) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := Answer{Reason: ReasonAccepted}
		if err := take(w, r, accept); err != nil {
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

func take(w http.ResponseWriter, r *http.Request, accept func(Announcement) error) error {
	// A page in a browser on the host can make it send forms and plain text to the
	// loopback unasked, but no JSON.
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
