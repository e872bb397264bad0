package replicator

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

// Step handles a message that is addressed to this group and disk. An error means that the host
// must stop.
func (c *Core) Step(m Message) error {
	switch m.Kind {
	case PreVoteRequest:
		c.stepPreVote(m)
	case VoteRequest:
		c.stepVote(m)
	case AppendRequest, SnapshotRequest:
		return c.stepFromLeader(m)
	case PreVoteReply, VoteReply:
		c.observeTerm(m)
		c.stepVoteReply(m)
	case AppendReply, SnapshotReply:
		c.observeTerm(m)
		c.stepToLeader(m)
	case TimeoutNow:
		c.observeTerm(m)
		c.stepTimeoutNow(m)
	case FoundRequest, FoundReply:
		// The owner handles these before the group is formed.
	}
	return nil
}

// observeTerm adopts a higher term. A granted pre-vote is excluded: it carries the term that the
// candidate would start, which no host has entered yet.
func (c *Core) observeTerm(m Message) {
	if m.Term > c.hard.Term && (m.Kind != PreVoteReply || m.Rejected) {
		c.becomeFollower(m.Term, 0)
	}
}

// stepFromLeader handles messages that only a leader sends.
func (c *Core) stepFromLeader(m Message) error {
	if m.Term < c.hard.Term {
		// The reply carries this host's newer term, so that the leader of the older term steps down
		// and an election follows. Without it, a host that alone has incremented its term would
		// ignore the leader's messages forever.
		c.send(Message{Kind: AppendReply, To: m.From, ToIncarnation: m.FromIncarnation, Rejected: true, LogIndex: m.LogIndex, Hint: c.log.last() + 1})
		return nil
	}
	if c.role == Leader && m.Term == c.hard.Term {
		return errors.Trace(ErrDiverged{Reason: "another host leads this host's own term"})
	}
	c.becomeFollower(m.Term, m.From)
	c.leaderContactAt, c.leaderQuorumAge = c.clock, m.QuorumAge
	c.votesWithheldUntil = c.clock + c.settings.ElectionTimeout
	c.resetCampaign()
	if c.log.last() < m.Counted {
		return errors.Trace(ErrStaleDisk{Last: c.log.last(), Acknowledged: m.Counted})
	}
	if m.Kind == SnapshotRequest {
		if m.Snapshot != nil && m.Snapshot.Index > c.commit {
			c.pending.Pieces = append(c.pending.Pieces, m)
			return nil
		}
		c.acceptAppend(m, c.commit)
		return nil
	}
	return c.appendEntries(m)
}

// appendEntries appends entries if they match the log. A message whose entries have gaps is
// ignored.
func (c *Core) appendEntries(m Message) error {
	for i, e := range m.Entries {
		if e.Index != m.LogIndex+1+uint64(i) {
			return nil
		}
	}
	if m.LogIndex < c.commit {
		// Committed entries are the same on all hosts; only the entries after them are compared.
		known := c.commit - m.LogIndex
		if known >= uint64(len(m.Entries)) {
			c.acceptAppend(m, c.commit)
			return nil
		}
		m.Entries = m.Entries[known:]
		m.LogIndex = c.commit
		m.LogTerm, _ = c.log.term(c.commit)
	}
	if !c.log.holds(m.LogIndex, m.LogTerm) {
		c.send(Message{
			Kind: AppendReply, To: m.From, ToIncarnation: m.FromIncarnation, Rejected: true,
			LogIndex: m.LogIndex, Hint: c.conflictHint(m.LogIndex), Round: m.Round,
		})
		return nil
	}
	for _, e := range m.Entries {
		if c.log.holds(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.commit {
			return errors.Trace(ErrDiverged{Reason: "the leader replaces a committed entry"})
		}
		if e.Index <= c.log.last() {
			c.truncate(e.Index)
		}
		if err := c.push(e); err != nil {
			return errors.Trace(err)
		}
	}
	agreed := m.LogIndex + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, agreed))
	c.acceptAppend(m, agreed)
	return nil
}

// acceptAppend acknowledges the log up to agreed. The reply is sent after the output of Ready has
// been persisted.
func (c *Core) acceptAppend(m Message, agreed uint64) {
	c.send(Message{Kind: AppendReply, To: m.From, ToIncarnation: m.FromIncarnation, LogIndex: agreed, Round: m.Round})
}

// conflictHint returns the index from which the leader should send again if the entry at index does
// not match: the first uncommitted index of that entry's term, or the index after the end of the
// log. The leader thereby skips a whole term in one round trip.
func (c *Core) conflictHint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last() + 1
	}
	term, ok := c.log.term(index)
	for ok && index > c.commit+1 && c.log.holds(index-1, term) {
		index--
	}
	return index
}

// truncate drops the entries from index on, with the configurations in them.
func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	for c.configurationIndex() >= index {
		c.configurations = c.configurations[:len(c.configurations)-1]
	}
}

// PieceStored acknowledges a piece that Ready returned; next is the offset of the next piece.
func (c *Core) PieceStored(m Message, next int64) {
	p := *m.Snapshot
	p.Offset, p.Data = next, nil
	c.send(Message{Kind: SnapshotReply, To: m.From, ToIncarnation: m.FromIncarnation, Snapshot: &p, Round: m.Round})
}

// Install adopts a snapshot that has been stored completely. It returns whether the owner must drop
// all entries on the disk, so that the next entry written there is the one after the snapshot.
func (c *Core) Install(m Message, snapshot snapshotter.Metadata, configuration Configuration) (dropEntries bool) {
	if snapshot.Index <= c.commit {
		return false
	}
	dropEntries = !c.log.holds(snapshot.Index, snapshot.Term) || c.log.persisted < snapshot.Index
	if dropEntries {
		c.log.reset(snapshot.Index, snapshot.Term)
		c.configurations = []indexedConfiguration{{index: snapshot.Index, Configuration: configuration}}
	}
	c.commit, c.emitted = snapshot.Index, snapshot.Index
	c.snapshot = snapshot
	c.acceptAppend(m, snapshot.Index)
	return dropEntries
}

// Compact adopts a snapshot taken by this host, and drops the entries up to keepAfter, which must
// not exceed the snapshot's index.
func (c *Core) Compact(snapshot snapshotter.Metadata, keepAfter uint64) {
	if snapshot.Index > c.snapshot.Index {
		c.snapshot = snapshot
	}
	c.log.compact(min(keepAfter, c.emitted))
	for len(c.configurations) > 1 && c.configurations[1].index <= c.log.base {
		c.configurations = c.configurations[1:]
	}
}
