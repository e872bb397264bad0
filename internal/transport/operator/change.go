package operator

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// put creates or replaces a resource.
func (a *API) put(w http.ResponseWriter, r *http.Request, key storer.Key) {
	c, err := parsePreconditions(r.Header)
	if err != nil {
		a.writeProblem(w, problemFromError(ReasonInvalid, err))
		return
	}
	data, p := a.readBody(w, r)
	if p != nil {
		a.writeProblem(w, p)
		return
	}
	resource, err := parseBody(key, data)
	if err != nil {
		a.writeProblem(w, problemFromError(ReasonInvalid, err))
		return
	}
	// A document that was read and is put back contains the revision at which it was
	// read, which serves as a condition too.
	if revision := resource.Metadata.Revision; revision != 0 && !c.ifNoneMatch {
		if c.ifMatch != 0 && c.ifMatch != revision {
			a.writeProblem(w, newProblem(ReasonInvalid, "If-Match and Metadata.Revision differ"))
			return
		}
		c.ifMatch = revision
	}
	resource.Metadata.Revision = 0
	result, p := a.change(w, r, storer.PutResource{Resource: resource, IfMatch: c.ifMatch, IfNoneMatch: c.ifNoneMatch})
	if p != nil {
		a.writeProblem(w, p)
		return
	}
	status := http.StatusOK
	if c.ifNoneMatch {
		status = http.StatusCreated
	}
	w.Header().Set(headerETag, formatETag(result.Revision))
	a.writeJSON(w, status, result.Resource)
}

// delete deletes a resource.
func (a *API) delete(w http.ResponseWriter, r *http.Request, key storer.Key) {
	c, err := parsePreconditions(r.Header)
	if err != nil {
		a.writeProblem(w, problemFromError(ReasonInvalid, err))
		return
	}
	if c.ifNoneMatch {
		a.writeProblem(w, newProblem(ReasonInvalid, "If-None-Match of a deletion"))
		return
	}
	result, p := a.change(w, r, storer.DeleteResource{Key: key, IfMatch: c.ifMatch})
	if p != nil {
		a.writeProblem(w, p)
		return
	}
	a.writeJSON(w, http.StatusOK, Deletion{Revision: result.Revision, Last: result.Resource})
}

// readBody reads the body of a change within the API's limits of size and time.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	// A client that sends its body slowly must not hold a connection indefinitely. The
	// deadline is cleared after the body, since it would otherwise cancel the request as
	// if the client had disconnected. Only writers in tests do not support deadlines.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(a.settings.Now().Add(a.settings.Timeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.settings.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, newProblem(ReasonTooLarge, "the body is longer than allowed")
	case err != nil:
		return nil, newProblem(ReasonInvalid, "the body did not arrive whole")
	default:
		return data, nil
	}
}

// change proposes a command and returns its result if it was accepted. Control retries
// until the timeout, which is safe because every change has an idempotency key.
func (a *API) change(w http.ResponseWriter, r *http.Request, command storer.Command) (storer.Result, *Problem) {
	e, err := a.envelope(r, command)
	if err != nil {
		return storer.Result{}, problemFromError(ReasonInvalid, err)
	}
	// Return the key, so that a client that sent none can repeat the change.
	w.Header().Set(headerIdempotencyKey, e.IdempotencyKey)
	ctx, cancel := context.WithTimeout(r.Context(), a.settings.Timeout)
	defer cancel()
	result, err := a.settings.Control.Propose(ctx, e)
	switch {
	case err != nil && a.settings.NotAccepted(err):
		return result, newProblem(ReasonNotAccepted, "the change has not taken effect: "+err.Error())
	case err != nil:
		return result, newProblem(ReasonOutcomeUnknown, "the change may have taken effect; ask again with the same Idempotency-Key: "+err.Error())
	}
	if result.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	if result.Verdict != storer.VerdictAccepted {
		return result, problemFromResult(result)
	}
	a.settings.Recorder.Record(recorder.Event{
		Kind:     recorder.KindConfigurationAccepted,
		Revision: result.Revision,
		Detail:   r.Method + " " + r.URL.Path,
	})
	return result, nil
}

// envelope returns the command as it is proposed; retries propose the same envelope.
func (a *API) envelope(r *http.Request, command storer.Command) (storer.Envelope, error) {
	// The digest covers the decoded change with its conditions, not the text of the body.
	data, err := storer.Encode(storer.Envelope{Command: command})
	if err != nil {
		return storer.Envelope{}, errors.Trace(err)
	}
	digest := sha256.Sum256(data)
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > storer.MaxIdempotencyKey {
		return storer.Envelope{}, errors.Errorf("%s of %d bytes; up to %d are allowed", headerIdempotencyKey, len(key), storer.MaxIdempotencyKey)
	}
	if key == "" {
		key = a.settings.NewKey()
	}
	return storer.Envelope{
		IdempotencyKey: key,
		Digest:         digest[:],
		Command:        command,
	}, nil
}
