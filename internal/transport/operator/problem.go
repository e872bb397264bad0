package operator

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

//go:generate stringer -type=Reason -trimprefix=Reason

// Reason tells operators why a request was refused.
type Reason int

// The reasons.
const (
	// ReasonInvalid means that the request breaks a rule, told in Detail.
	ReasonInvalid Reason = iota
	// ReasonUnauthorized means that the operators' bearer key is missing or
	// wrong.
	ReasonUnauthorized
	// ReasonNotFound means that there is no such resource or path.
	ReasonNotFound
	// ReasonMethodNotAllowed means that the path doesn't take the method.
	ReasonMethodNotAllowed
	// ReasonInUse means that other resources refer to the resource.
	ReasonInUse
	// ReasonCompacted means that a watch begins before the history that is
	// kept: list again, and watch from that revision.
	ReasonCompacted
	// ReasonConflict means that the condition failed; Current holds the
	// resource as it is.
	ReasonConflict
	// ReasonTooLarge means that the body is longer than allowed.
	ReasonTooLarge
	// ReasonKeyReused means that the idempotency key belongs to another change.
	ReasonKeyReused
	// ReasonNotAccepted means that the change has not taken effect and won't.
	ReasonNotAccepted
	// ReasonOutcomeUnknown means that the change may have taken effect: send it
	// again with the same Idempotency-Key to learn.
	ReasonOutcomeUnknown
	// ReasonUnavailable means that a read could not be answered.
	ReasonUnavailable
)

// Problem is the body of a refusal.
type Problem struct {
	Reason Reason
	Detail string
	// Revision is the resource's current revision, or the state's where a watch
	// begins too early.
	Revision uint64 `json:",omitempty"`
	// Current is the resource as it is, where the refusal concerns one.
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

// status returns the HTTP status which belongs to the reason.
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

func problemf(r Reason, err error) *Problem { return &Problem{Reason: r, Detail: err.Error()} }

func problem(r Reason, detail string) *Problem { return &Problem{Reason: r, Detail: detail} }

// problemOf returns the refusal of a change which the state answered with a
// verdict other than accepted.
func problemOf(result storer.Result) *Problem {
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

// writeProblem answers with a refusal.
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
		a.settings.Log.Error().Err(err).Msg("an answer to an operator can't be encoded")
		http.Error(w, ReasonUnavailable.String(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerContentType, typeJSON)
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
