package announcer

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"
)

//go:generate stringer -type=Reason -trimprefix=Reason

// Reason is the result of an announcement.
type Reason int

// The reasons.
const (
	// ReasonAccepted means that the companion serves the backend server.
	ReasonAccepted Reason = iota
	// ReasonMalformed means that the announcement is invalid.
	ReasonMalformed
	// ReasonConflict means that the announcement contradicts the settings of the
	// companion, or the backend server that the companion already serves.
	ReasonConflict
	// ReasonUnavailable means that the process accepts no announcement at present.
	ReasonUnavailable
)

// MarshalText returns the name of r.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText sets r by its name.
func (r *Reason) UnmarshalText(text []byte) error {
	for known := ReasonAccepted; known <= ReasonUnavailable; known++ {
		if known.String() == string(text) {
			*r = known
			return nil
		}
	}
	return errors.NotValidf("reason %q", text)
}

// Answer is the answer to an announcement. Used as an error, it is a refusal.
type Answer struct {
	Reason Reason
	// Field is the name of the invalid field; empty if the answer concerns no field.
	Field string `json:",omitempty"`
	// Detail is a human-readable explanation; empty with ReasonAccepted.
	Detail string `json:",omitempty"`
}

// Error describes the refusal.
func (a *Answer) Error() string {
	if a.Field == "" {
		return fmt.Sprintf("%v: %s", a.Reason, a.Detail)
	}
	return fmt.Sprintf("%v: %s: %s", a.Reason, a.Field, a.Detail)
}

// Conflict returns a refusal for a field that contradicts the settings or the backend
// server announced earlier.
func Conflict(field, detail string) *Answer {
	return &Answer{Reason: ReasonConflict, Field: field, Detail: detail}
}

func malformed(field, detail string) *Answer {
	return &Answer{Reason: ReasonMalformed, Field: field, Detail: detail}
}

// status returns the HTTP status of an answer with reason r.
func (r Reason) status() int {
	switch r {
	case ReasonAccepted:
		return http.StatusOK
	case ReasonMalformed:
		return http.StatusBadRequest
	case ReasonConflict:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}
