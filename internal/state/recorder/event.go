package recorder

//go:generate stringer -type=Kind -trimprefix=Kind

// Kind is the type of an event.
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

// Choice is one candidate of a routing decision, with the reason why it was
// selected or rejected.
type Choice struct {
	Backend string
	Reason  string
	Score   float64
	// Taken means that the candidate was selected.
	Taken bool
}

// Event is one event in one process. Fields that do not apply are empty.
type Event struct {
	Time Timestamp
	Node string
	Kind Kind
	// Request is the ID of the request.
	Request   string
	Workspace string
	// Backend is the name of the backend server.
	Backend string
	// Version is the adapter version, as WORKSPACE/ADAPTER@VERSION.
	Version  string
	Revision uint64
	// Detail is a short text for human readers.
	Detail  string
	Choices []Choice
}
