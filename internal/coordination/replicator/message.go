package replicator

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

//go:generate stringer -type=MessageKind,EntryKind,Role -output=kinds_string.go

// HostID is the number of a host in its group. It is never 0.
type HostID uint64

// MessageKind says what a Message asks or answers.
type MessageKind int

// The kinds of messages.
const (
	// PreVoteRequest asks whether a vote would be given, without raising any
	// term, so that a host that was cut off can't depose a working leader.
	PreVoteRequest MessageKind = iota + 1
	PreVoteReply
	// VoteRequest asks for the vote in Term.
	VoteRequest
	VoteReply
	// AppendRequest carries entries; without entries it is a heartbeat.
	AppendRequest
	AppendReply
	// SnapshotRequest carries a piece of a snapshot.
	SnapshotRequest
	SnapshotReply
	// TimeoutNow asks the receiver to campaign at once, with the leave of the
	// leader that sends it.
	TimeoutNow
	// FoundRequest asks a host named in the bootstrap list whether it is new.
	FoundRequest
	FoundReply
)

// Message is what hosts of a group send to each other. Which fields are in use
// depends on Kind. Messages may be lost, late, doubled and reordered.
type Message struct {
	Kind MessageKind
	// Group is the group's name. Messages of another group are refused.
	Group string
	// Formation is the group's number, 0 from a host that belongs to none yet.
	Formation uint64
	From, To  HostID
	// FromIncarnation identifies the disk of From; replies count only where it
	// is the one in the configuration.
	FromIncarnation uint64
	// ToIncarnation is the disk for which the message is meant. 0 is allowed
	// towards learners, whose incarnation isn't known yet.
	ToIncarnation uint64
	// Term is the sender's term, and the term asked for in pre-votes.
	Term uint64
	// LogIndex and LogTerm are the candidate's last entry in vote requests, and
	// the entry before Entries in appends. In an AppendReply LogIndex is the
	// last entry known to agree, or the refused one where Rejected is set.
	LogIndex, LogTerm uint64
	// Force lets a vote pass the promise to the present leader, which has
	// given it up. It is set only after TimeoutNow.
	Force bool `json:",omitempty"`
	// Rejected says that a vote was refused or that an append did not fit.
	Rejected bool `json:",omitempty"`
	// Hint is the index to try next after a rejected append.
	Hint uint64 `json:",omitempty"`
	// Entries are the entries after LogIndex, without gaps.
	Entries []Entry `json:",omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `json:",omitempty"`
	// Round is the number of the leader's latest heartbeat round in its term;
	// a reply repeats it.
	Round uint64 `json:",omitempty"`
	// Counted is the index up to which the leader counts the receiver's disk.
	// A receiver whose log ends before it has lost what it acknowledged.
	Counted uint64 `json:",omitempty"`
	// QuorumAge is how long ago a quorum had last confirmed the leader.
	QuorumAge time.Duration `json:",omitempty"`
	// Digest identifies the bootstrap list.
	Digest uint64 `json:",omitempty"`
	// Snapshot is the piece in a SnapshotRequest; in a SnapshotReply its
	// Offset is the one wanted next.
	Snapshot *snapshotter.Piece `json:",omitempty"`
}

// EntryKind says what an entry holds.
type EntryKind int

// The kinds of entries.
const (
	// EntryBlank opens a leader's term. A leader can't know which older
	// entries are committed before one of its own term is.
	EntryBlank EntryKind = iota
	// EntryCommand holds data of the state machine.
	EntryCommand
	// EntryMembership holds an encoded Configuration.
	EntryMembership
)

// Entry is one entry of the log. It is not changed once made.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte `json:",omitempty"`
}

// Role is what a host does in its group at present.
type Role int

// The roles of a host.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)
