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

// put declares a resource.
func (a *API) put(w http.ResponseWriter, r *http.Request, key storer.Key) {
	c, err := parseConditions(r.Header)
	if err != nil {
		a.writeProblem(w, problemf(ReasonInvalid, err))
		return
	}
	data, p := a.readBody(w, r)
	if p != nil {
		a.writeProblem(w, p)
		return
	}
	resource, err := parseBody(key, data)
	if err != nil {
		a.writeProblem(w, problemf(ReasonInvalid, err))
		return
	}
	// A document that was read and is put back names the revision it was read
	// at: that is a condition too.
	if revision := resource.Metadata.Revision; revision != 0 && !c.ifNoneMatch {
		if c.ifMatch != 0 && c.ifMatch != revision {
			a.writeProblem(w, problem(ReasonInvalid, "If-Match and Metadata.Revision differ"))
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

// delete ends a resource.
func (a *API) delete(w http.ResponseWriter, r *http.Request, key storer.Key) {
	c, err := parseConditions(r.Header)
	if err != nil {
		a.writeProblem(w, problemf(ReasonInvalid, err))
		return
	}
	if c.ifNoneMatch {
		a.writeProblem(w, problem(ReasonInvalid, "If-None-Match of a deletion"))
		return
	}
	result, p := a.change(w, r, storer.DeleteResource{Key: key, IfMatch: c.ifMatch})
	if p != nil {
		a.writeProblem(w, p)
		return
	}
	a.writeJSON(w, http.StatusOK, Deletion{Revision: result.Revision, Last: result.Resource})
}

// readBody reads a change's body within the API's bounds of size and time.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	// A sender that trickles its body would hold a connection for ever. Past the
	// body the deadline must go: it would end the request, as if the operator
	// had left. Writers without deadlines are those of tests.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(a.settings.Now().Add(a.settings.Timeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.settings.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, problem(ReasonTooLarge, "the body is longer than allowed")
	case err != nil:
		return nil, problem(ReasonInvalid, "the body did not arrive whole")
	default:
		return data, nil
	}
}

// change proposes a command and returns its result when it was accepted.
// Control tries again by itself, while the timeout lasts: the idempotency key,
// which every change has, makes that safe.
func (a *API) change(w http.ResponseWriter, r *http.Request, command storer.Command) (storer.Result, *Problem) {
	e, err := a.envelope(r, command)
	if err != nil {
		return storer.Result{}, problemf(ReasonInvalid, err)
	}
	// The operator learns the key of a change that brought none, to ask by.
	w.Header().Set(headerIdempotencyKey, e.IdempotencyKey)
	ctx, cancel := context.WithTimeout(r.Context(), a.settings.Timeout)
	defer cancel()
	result, err := a.settings.Control.Propose(ctx, e)
	switch {
	case err != nil && a.settings.NotAccepted(err):
		return result, problem(ReasonNotAccepted, "the change has not taken effect: "+err.Error())
	case err != nil:
		return result, problem(ReasonOutcomeUnknown, "the change may have taken effect; ask again with the same Idempotency-Key: "+err.Error())
	}
	if result.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	if result.Verdict != storer.VerdictAccepted {
		return result, problemOf(result)
	}
	a.settings.Recorder.Record(recorder.Event{
		Kind:     recorder.KindConfigurationAccepted,
		Revision: result.Revision,
		Detail:   r.Method + " " + r.URL.Path,
	})
	return result, nil
}

// envelope returns the command as it is proposed, however often.
func (a *API) envelope(r *http.Request, command storer.Command) (storer.Envelope, error) {
	// The digest covers the change as the state sees it, its conditions with
	// it, and not the spelling of the body.
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
