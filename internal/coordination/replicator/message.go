package replicator

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

//go:generate stringer -type=MessageKind,EntryKind,Role -output=kinds_string.go

// HostID is the number of a host in its group. It is never 0.
type HostID uint64

// MessageKind is the kind of a request or reply.
type MessageKind int

// The kinds of messages.
const (
	// PreVoteRequest asks whether a vote would be granted. It raises no term, so that a host that
	// was cut off can't depose a working leader.
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
	// TimeoutNow asks the receiver to campaign at once. Only the leader sends it.
	TimeoutNow
	// FoundRequest asks a host of the bootstrap list whether it is new.
	FoundRequest
	FoundReply
)

// Message is a message between hosts of a group. Which fields are set depends on Kind. Messages may
// be lost, delayed, duplicated and reordered.
type Message struct {
	Kind MessageKind
	// Group is the name of the group. Messages of another group are refused.
	Group string
	// Formation is the number of the group, 0 from a host that belongs to none yet.
	Formation uint64
	From, To  HostID
	// FromIncarnation identifies the disk of From. Replies count only if it matches the
	// configuration.
	FromIncarnation uint64
	// ToIncarnation identifies the disk that the message is addressed to. It may be 0 for learners,
	// whose incarnation is not known yet.
	ToIncarnation uint64
	// Term is the sender's term. In pre-votes it is the term of the prospective campaign.
	Term uint64
	// LogIndex and LogTerm are the candidate's last entry in vote requests, and the entry before
	// Entries in appends. In an AppendReply, LogIndex is the last entry known to agree, or the
	// refused one if Rejected is set.
	LogIndex, LogTerm uint64
	// Force allows a vote while a lease of the current leader may hold. The leader has given up
	// that lease: Force is set only after TimeoutNow.
	Force bool `json:",omitempty"`
	// Rejected is set if a vote was refused or an append did not match the log.
	Rejected bool `json:",omitempty"`
	// Hint is the index to try next after a rejected append.
	Hint uint64 `json:",omitempty"`
	// Entries are the entries after LogIndex, without gaps.
	Entries []Entry `json:",omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `json:",omitempty"`
	// Round is the number of the leader's latest heartbeat round in its term; a reply repeats it.
	Round uint64 `json:",omitempty"`
	// Counted is the index up to which the leader counts the receiver's disk. A receiver whose log
	// ends before it has lost acknowledged entries.
	Counted uint64 `json:",omitempty"`
	// QuorumAge is the time since a quorum last confirmed the leader.
	QuorumAge time.Duration `json:",omitempty"`
	// Digest is the hash of the bootstrap list.
	Digest uint64 `json:",omitempty"`
	// Founder is set in a FoundReply if the sender takes part in forming the group by itself. See
	// Settings.Rejoin.
	Founder bool `json:",omitempty"`
	// Snapshot is the piece in a SnapshotRequest. In a SnapshotReply its Offset is the next one
	// requested.
	Snapshot *snapshotter.Piece `json:",omitempty"`
}

// EntryKind is the kind of an entry.
type EntryKind int

// The kinds of entries.
const (
	// EntryBlank starts a leader's term. A leader can't know which earlier entries are committed
	// before one of its own term is.
	EntryBlank EntryKind = iota
	// EntryCommand holds a command for the state machine.
	EntryCommand
	// EntryMembership holds an encoded Configuration.
	EntryMembership
)

// Entry is one entry of the log. It is immutable.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte `json:",omitempty"`
}

// Role is the current role of a host in its group.
type Role int

// The roles of a host.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)
