package claimer

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Step is what to do next: one of Dispatch, FetchRetained, Refuse and ProposeAgain.
type Step interface{ step() }

// Dispatch runs the call: the claim is held.
type Dispatch struct{}

// FetchRetained gives the answer of the first run, which is kept at Backend.
type FetchRetained struct {
	Backend        string
	RetainedAnswer RetainedAnswer
}

// Refuse ends the call without running it.
type Refuse struct {
	Reason Reason
	// Release has the claim settled as Released: it may have been, or may yet
	// be, committed for this holder, who never dispatched.
	Release bool
}

// ProposeAgain proposes the same claim by the same holder after the wait.
type ProposeAgain struct{ Wait time.Duration }

func (Dispatch) step()      {}
func (FetchRetained) step() {}
func (Refuse) step()        {}
func (ProposeAgain) step()  {}

//go:generate stringer -type=Reason -trimprefix=Reason

// Reason tells why a call was refused.
type Reason int

// The reasons.
const (
	// ReasonInProgress means that another holder has the claim, and that its
	// call may be running.
	ReasonInProgress Reason = iota
	// ReasonOutcomeUnknown means that the first run's outcome is not known.
	ReasonOutcomeUnknown
	// ReasonKeyReused means that the key belongs to a call with another body.
	ReasonKeyReused
	// ReasonNoClaim means that no claim could be had in time; the call was not
	// dispatched.
	ReasonNoClaim
	// ReasonInvalid means that the state machine refused the claim's form.
	ReasonInvalid
)

// Identity names one claim.
type Identity struct {
	Workspace string
	Key       string
	Digest    []byte
	// Holder names the entry and the request.
	Holder string
}

// Command returns the command which makes the claim.
func (i Identity) Command() storer.ClaimCall {
	return storer.ClaimCall{Workspace: i.Workspace, Key: i.Key, Digest: i.Digest, Holder: i.Holder}
}
