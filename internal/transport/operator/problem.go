package operator

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

//go:generate stringer -type=Reason -trimprefix=Reason

// Reason is the reason why a request was refused.
type Reason int

// The reasons for a refusal.
const (
	// ReasonInvalid means that the request is invalid; Detail has the rule that it
	// breaks.
	ReasonInvalid Reason = iota
	// ReasonUnauthorized means that the operators' bearer key is missing or wrong.
	ReasonUnauthorized
	// ReasonNotFound means that the resource or path does not exist.
	ReasonNotFound
	// ReasonMethodNotAllowed means that the path does not support the method.
	ReasonMethodNotAllowed
	// ReasonInUse means that other resources refer to the resource.
	ReasonInUse
	// ReasonCompacted means that the history no longer contains the revision at which a
	// watch should begin. The client must list again, and watch from the revision of that
	// list.
	ReasonCompacted
	// ReasonConflict means that a condition is not met; Current has the current resource.
	ReasonConflict
	// ReasonTooLarge means that the body exceeds the size limit.
	ReasonTooLarge
	// ReasonKeyReused means that the idempotency key was used for another change.
	ReasonKeyReused
	// ReasonNotAccepted means that the change has not taken effect and will not.
	ReasonNotAccepted
	// ReasonOutcomeUnknown means that the change may have taken effect. The outcome is
	// returned if the change is repeated with the same Idempotency-Key.
	ReasonOutcomeUnknown
	// ReasonUnavailable means that a read could not be served.
	ReasonUnavailable
)

// Problem is the body of an error response.
type Problem struct {
	Reason Reason
	Detail string
	// Revision is the resource's current revision, or the state's if a watch begins too
	// early.
	Revision uint64 `json:",omitempty"`
	// Current is the current resource, if the refusal concerns one.
	Current *storer.Resource `json:",omitempty"`
}

// Error returns the reason and the detail.
func (p *Problem) Error() string { return p.Reason.String() + ": " + p.Detail }

// MarshalText returns the reason's name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText is the inverse of MarshalText.
func (r *Reason) UnmarshalText(text []byte) error {
	for v := ReasonInvalid; v <= ReasonUnavailable; v++ {
		if v.String() == string(text) {
			*r = v
			return nil
		}
	}
	return errors.Errorf("unknown reason %q", text)
}

// status returns the HTTP status for the reason.
func (r Reason) status() int {
	switch r {
	case ReasonInvalid:
		return http.StatusBadRequest
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonNotFound:
		return http.StatusNotFound
	case ReasonMethodNotAllowed:
		return http.StatusMethodNotAllowed
	case ReasonInUse:
		return http.StatusConflict
	case ReasonCompacted:
		return http.StatusGone
	case ReasonConflict:
		return http.StatusPreconditionFailed
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case ReasonNotAccepted, ReasonUnavailable:
		return http.StatusServiceUnavailable
	case ReasonOutcomeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

func problemFromError(r Reason, err error) *Problem { return &Problem{Reason: r, Detail: err.Error()} }

func newProblem(r Reason, detail string) *Problem { return &Problem{Reason: r, Detail: detail} }

// problemFromResult returns the refusal for a change whose verdict is not accepted.
func problemFromResult(result storer.Result) *Problem {
	p := &Problem{Detail: result.Reason, Revision: result.Revision, Current: result.Resource}
	switch result.Verdict {
	case storer.VerdictConflict:
		p.Reason = ReasonConflict
	case storer.VerdictNotFound:
		p.Reason = ReasonNotFound
	case storer.VerdictInUse:
		p.Reason = ReasonInUse
	case storer.VerdictKeyReused:
		p.Reason = ReasonKeyReused
	case storer.VerdictFull:
		p.Reason = ReasonNotAccepted
	default:
		p.Reason = ReasonInvalid
	}
	return p
}

// writeProblem writes a refusal with its headers.
func (a *API) writeProblem(w http.ResponseWriter, p *Problem) {
	h := w.Header()
	switch p.Reason {
	case ReasonUnauthorized:
		h.Set(headerAuthenticate, bearerScheme)
	case ReasonNotAccepted, ReasonUnavailable, ReasonOutcomeUnknown:
		h.Set(headerRetryAfter, a.retryAfter)
	case ReasonConflict:
		if p.Revision != 0 {
			h.Set(headerETag, formatETag(p.Revision))
		}
	default:
	}
	a.writeJSON(w, p.Reason.status(), p)
}

func (a *API) writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		a.settings.Log.Error().Err(err).Msg("failed to encode a response to an operator")
		http.Error(w, ReasonUnavailable.String(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerContentType, typeJSON)
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
