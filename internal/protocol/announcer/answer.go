package announcer

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"
)

//go:generate stringer -type=Reason -trimprefix=Reason

// Reason tells what became of an announcement.
type Reason int

// The reasons.
const (
	// ReasonAccepted tells that the companion stands beside the backend server.
	ReasonAccepted Reason = iota
	// ReasonMalformed tells that the announcement can't be right.
	ReasonMalformed
	// ReasonConflict tells that it contradicts the companion's settings, or the
	// backend server that the companion stands beside.
	ReasonConflict
	// ReasonUnavailable tells that the process takes no announcement now.
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

// Answer is the answer to an announcement. As an error it is a refusal.
type Answer struct {
	Reason Reason
	// Field is the field that is at fault; empty where none is.
	Field string `json:",omitempty"`
	// Detail is for people; empty with ReasonAccepted.
	Detail string `json:",omitempty"`
}

// Error describes the refusal.
func (a *Answer) Error() string {
	if a.Field == "" {
		return fmt.Sprintf("%v: %s", a.Reason, a.Detail)
	}
	return fmt.Sprintf("%v: %s: %s", a.Reason, a.Field, a.Detail)
}

// Conflict returns a refusal for a field that contradicts the settings or the
// backend server announced before.
func Conflict(field, detail string) *Answer {
	return &Answer{Reason: ReasonConflict, Field: field, Detail: detail}
}

func malformed(field, detail string) *Answer {
	return &Answer{Reason: ReasonMalformed, Field: field, Detail: detail}
}

// status returns the HTTP status that goes with r.
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
