package claimer

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Step is the next step of a call: Dispatch, FetchRetained, Refuse or ProposeAgain.
type Step interface{ step() }

// Dispatch means that the claim is held and the call must be run.
type Dispatch struct{}

// FetchRetained means that the call is answered with the first run's answer, which Backend retains.
type FetchRetained struct {
	Backend        string
	RetainedAnswer RetainedAnswer
}

// Refuse means that the call ends without running.
type Refuse struct {
	Reason Reason
	// Release is set if the claim must be settled as Released: it may have been, or may still be,
	// committed for this holder, which never dispatched the call.
	Release bool
}

// ProposeAgain means that the same claim must be proposed again by the same holder after Wait.
type ProposeAgain struct{ Wait time.Duration }

func (Dispatch) step()      {}
func (FetchRetained) step() {}
func (Refuse) step()        {}
func (ProposeAgain) step()  {}

//go:generate stringer -type=Reason -trimprefix=Reason

// Reason is the reason for which a call was refused.
type Reason int

// The reasons.
const (
	// ReasonInProgress means that another holder has the claim and its call may be running.
	ReasonInProgress Reason = iota
	// ReasonOutcomeUnknown means that the outcome of the first run is not known.
	ReasonOutcomeUnknown
	// ReasonKeyReused means that the key belongs to a call with a different body.
	ReasonKeyReused
	// ReasonNoClaim means that the claim was not obtained in time. The call was not dispatched.
	ReasonNoClaim
	// ReasonInvalid means that the replicated state machine rejected the claim as invalid.
	ReasonInvalid
)

// Identity identifies a claim.
type Identity struct {
	Workspace string
	Key       string
	Digest    []byte
	// Holder identifies the entry and the request.
	Holder string
}

// Command returns the command that creates the claim.
func (i Identity) Command() storer.ClaimCall {
	return storer.ClaimCall{Workspace: i.Workspace, Key: i.Key, Digest: i.Digest, Holder: i.Holder}
}
