package recorder

//go:generate stringer -type=Kind -trimprefix=Kind

// Kind tells what happened.
type Kind int

// The kinds of events.
const (
	KindStarted Kind = iota
	KindStopping
	KindStopped
	KindReadinessChanged

	KindRequestReceived
	KindRequestAnswered
	KindRequestRefused
	KindRouted
	KindDispatched
	KindRetried
	KindResumed
	KindCancelled

	KindQueued
	KindAdmitted
	KindLoadRequested
	KindPermitGranted
	KindLoadStarted
	KindLoadFinished
	KindLoadFailed
	KindEvicted
	KindEngineRestarted
	KindEngineFinished

	KindClaimed
	KindClaimSettled

	KindElected
	KindSteppedDown
	KindControlMembersChanged
	KindSnapshotTaken
	KindSnapshotInstalled
	KindConfigurationAccepted
	KindConfigurationApplied
	KindConfigurationLeaseLost
	KindConfigurationLeaseRegained

	KindMemberJoined
	KindMemberLeaving
	KindMemberEnded
	KindMemberExpired
	KindConnectionSilent
	KindConnectionOpened
	KindFault
)

// Choice is one candidate of a routing decision with the reason for taking or
// passing it.
type Choice struct {
	Backend string
	Reason  string
	Score   float64
	Taken   bool
}

// Event is one thing that happened in one process. Empty fields do not apply.
type Event struct {
	Time Timestamp
	Node string
	Kind Kind
	// Request is the id of the request concerned.
	Request   string
	Workspace string
	// Backend is the name of the backend server concerned.
	Backend string
	// Version is the adapter version concerned, WORKSPACE/ADAPTER@VERSION.
	Version  string
	Revision uint64
	// Detail is a short text for people.
	Detail  string
	Choices []Choice
}
