package replicator

import "time"

// Observation is an event for metrics or logs.
type Observation interface{ observation() }

// Elected reports that this host has become the leader of a term.
type Elected struct{ Term uint64 }

// SteppedDown reports that this host no longer leads the given term.
type SteppedDown struct{ Term uint64 }

// LeaderChanged reports the leader that this host follows, 0 for none.
type LeaderChanged struct {
	Term   uint64
	Leader HostID
}

// SnapshotTaken reports a snapshot of this host's own state.
type SnapshotTaken struct {
	Index uint64
	Bytes int64
	Took  time.Duration
}

// SnapshotInstalled reports a snapshot received from the leader.
type SnapshotInstalled struct {
	Index uint64
	Bytes int64
}

// Synced reports the duration of a journal sync.
type Synced struct{ Took time.Duration }

// MembershipChanged reports a committed configuration.
type MembershipChanged struct {
	Index         uint64
	Configuration Configuration
}

// MessageRefused reports a message that is not addressed to this member: one of another group, or
// to or from another disk.
type MessageRefused struct {
	From   HostID
	Reason string
}

// BootstrapRefused reports that no group was formed, because another host belongs to one or has a
// different bootstrap list.
type BootstrapRefused struct{ By HostID }

// ElectionEvent reports one step of an election at this host.
type ElectionEvent struct {
	Step BallotStep
	// Term is the term of the vote or of the prospective vote.
	Term uint64
	// Other is the host that was asked or answered, or that answered.
	Other HostID
	// LogIndex and LogTerm are the candidate's last entry, OwnIndex and OwnTerm this host's.
	LogIndex, LogTerm, OwnIndex, OwnTerm uint64
	// Refusal is the reason why a vote was refused or a reply was not counted.
	Refusal Refusal
}

//go:generate stringer -type=BallotStep,Refusal -trimprefix=Ballot -output=ballot_string.go

// BallotStep is a step of an election.
type BallotStep int

// The steps. Those of a pre-vote raise no term and commit the host to nothing.
const (
	BallotPreVoteAsked BallotStep = iota
	BallotPreVoteGiven
	BallotPreVoteRefused
	BallotPreVoteReceived
	BallotVoteAsked
	BallotVoteGiven
	BallotVoteRefused
	BallotVoteReceived
)

// Refusal is the reason why a vote was refused or a reply was not counted.
type Refusal int

// The refusals.
const (
	RefusalNone Refusal = iota
	// RefusalPromised means that a leader's lease may depend on this host granting no votes.
	RefusalPromised
	// RefusalTerm means that the candidate's term is not later than this host's.
	RefusalTerm
	// RefusalLog means that the candidate's log lacks entries of this host's log.
	RefusalLog
	// RefusalVoted means that the host has voted for another one in the term, is a candidate
	// itself, or follows a leader.
	RefusalVoted
	// RefusalLate means that the reply belongs to an earlier round of votes.
	RefusalLate
	// RefusalOther means that the other host refused.
	RefusalOther
)

// LoopDelayed reports that the loop was blocked for more than a third of the election timeout.
type LoopDelayed struct {
	// Late is the delay of the loop's timer, for instance because the process was not scheduled.
	Late time.Duration
	// Disk is the duration of the iteration after it, most of which is spent on the disk.
	Disk time.Duration
}

// Suspended reports that a file operation has failed. The host takes no part in the group until
// Resumed.
type Suspended struct{ Cause error }

// Resumed reports that the files are open again.
type Resumed struct {
	// After is the time since the failure.
	After time.Duration
}

// SnapshotFailed reports that a snapshot could not be written. The host continues without it.
type SnapshotFailed struct {
	// Index is the index of the last entry in the snapshot.
	Index uint64
	Cause error
}

// Stopped reports that the replicator has failed permanently.
type Stopped struct{ Cause error }

func (Elected) observation()           {}
func (SteppedDown) observation()       {}
func (LeaderChanged) observation()     {}
func (SnapshotTaken) observation()     {}
func (SnapshotInstalled) observation() {}
func (Synced) observation()            {}
func (MembershipChanged) observation() {}
func (MessageRefused) observation()    {}
func (BootstrapRefused) observation()  {}
func (ElectionEvent) observation()     {}
func (LoopDelayed) observation()       {}
func (Suspended) observation()         {}
func (Resumed) observation()           {}
func (SnapshotFailed) observation()    {}
func (Stopped) observation()           {}
