package replicator

import "time"

// Observation is an event worth counting or noting.
type Observation interface{ observation() }

// Elected tells that this host has become the leader of a term.
type Elected struct{ Term uint64 }

// SteppedDown tells that this host no longer leads the given term.
type SteppedDown struct{ Term uint64 }

// LeaderChanged tells of the leader that this host follows, 0 for none.
type LeaderChanged struct {
	Term   uint64
	Leader HostID
}

// SnapshotTaken tells of a snapshot of this host's own state.
type SnapshotTaken struct {
	Index uint64
	Bytes int64
	Took  time.Duration
}

// SnapshotInstalled tells of a snapshot received from the leader.
type SnapshotInstalled struct {
	Index uint64
	Bytes int64
}

// Synced tells how long a sync of the journal took.
type Synced struct{ Took time.Duration }

// MembershipChanged tells of a configuration that is committed.
type MembershipChanged struct {
	Index         uint64
	Configuration Configuration
}

// MessageRefused tells of a message which isn't meant for this member: one of
// another group, or for or from another disk.
type MessageRefused struct {
	From   HostID
	Reason string
}

// BootstrapRefused tells that no group is formed, because another host belongs
// to one or has another list.
type BootstrapRefused struct{ By HostID }

// ElectionEvent tells of one step of an election at this host.
type ElectionEvent struct {
	Step BallotStep
	// Term is the one that the vote is, or would be, for.
	Term uint64
	// Other is whom the host asked or answered, or who answered it.
	Other HostID
	// LogIndex and LogTerm are the candidate's last entry, OwnIndex and OwnTerm this
	// host's.
	LogIndex, LogTerm, OwnIndex, OwnTerm uint64
	// Refusal is why a vote was refused, or an answer did not count.
	Refusal Refusal
}

//go:generate stringer -type=BallotStep,Refusal -trimprefix=Ballot -output=ballot_string.go

// BallotStep is a step of an election.
type BallotStep int

// The steps. Those of a pre-vote raise no term and promise nothing.
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

// Refusal is why a vote was refused, or an answer did not count.
type Refusal int

// The refusals.
const (
	RefusalNone Refusal = iota
	// RefusalPromised means that a leader may still rely on this host's silence.
	RefusalPromised
	// RefusalTerm means that the term is no later than this host's.
	RefusalTerm
	// RefusalLog means that the candidate's log lacks what this host's holds.
	RefusalLog
	// RefusalVoted means that the host has voted for another one in the term, stands
	// itself, or follows a leader.
	RefusalVoted
	// RefusalLate means that the answer is to a poll that is over.
	RefusalLate
	// RefusalOther means that the other host refused.
	RefusalOther
)

// LoopDelayed tells that the host did nothing for a good part of the election timeout.
type LoopDelayed struct {
	// Late is by how much its timer fired late, as where the process was not run.
	Late time.Duration
	// Disk is how long the turn took then, nearly all of it at the disk.
	Disk time.Duration
}

// Stopped tells that the replicator has failed for good.
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
func (Stopped) observation()           {}
