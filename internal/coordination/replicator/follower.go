package replicator

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

// Step takes in a message of the group that is meant for this disk. An error
// means that the host must stop.
func (c *Core) Step(m Message) error {
	switch m.Kind {
	case PreVoteRequest:
		c.stepPreVote(m)
	case VoteRequest:
		c.stepVote(m)
	case AppendRequest, SnapshotRequest:
		return c.stepFromLeader(m)
	case PreVoteReply, VoteReply:
		c.seeTerm(m)
		c.stepVoteReply(m)
	case AppendReply, SnapshotReply:
		c.seeTerm(m)
		c.stepToLeader(m)
	case TimeoutNow:
		c.seeTerm(m)
		c.stepTimeoutNow(m)
	case FoundRequest, FoundReply:
		// The owner answers them before there is a group.
	}
	return nil
}

// seeTerm follows a newer term. A granted pre-vote names only the term that the
// campaign would have.
func (c *Core) seeTerm(m Message) {
	if m.Term > c.hard.Term && (m.Kind != PreVoteReply || m.Rejected) {
		c.becomeFollower(m.Term, 0)
	}
}

// stepFromLeader handles what only a leader sends.
func (c *Core) stepFromLeader(m Message) error {
	if m.Term < c.hard.Term {
		// A leader of an older term learns of the newer one. Without this a
		// host that has raised its term alone could never be reached again.
		c.send(Message{Kind: AppendReply, To: m.From, ToIncarnation: m.FromIncarnation, Rejected: true, LogIndex: m.LogIndex, Hint: c.log.last() + 1})
		return nil
	}
	if c.role == Leader && m.Term == c.hard.Term {
		return errors.Trace(ErrDiverged{Reason: "another host leads this host's own term"})
	}
	c.becomeFollower(m.Term, m.From)
	c.heardAt, c.heardAge = c.clock, m.QuorumAge
	c.promisedUntil = c.clock + c.settings.ElectionTimeout
	c.resetCampaign()
	if c.log.last() < m.Counted {
		return errors.Trace(ErrStaleDisk{Last: c.log.last(), Acknowledged: m.Counted})
	}
	if m.Kind == SnapshotRequest {
		if m.Snapshot != nil && m.Snapshot.Index > c.commit {
			c.out.Pieces = append(c.out.Pieces, m)
			return nil
		}
		c.acceptAppend(m, c.commit)
		return nil
	}
	return c.appendEntries(m)
}

// appendEntries takes entries over where they fit the log. A message whose
// entries have gaps is ignored.
func (c *Core) appendEntries(m Message) error {
	for i, e := range m.Entries {
		if e.Index != m.LogIndex+1+uint64(i) {
			return nil
		}
	}
	if m.LogIndex < c.commit {
		// Committed entries agree; what follows them is looked at.
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

// acceptAppend tells the leader up to where the disk will agree once all that
// Ready asks for is persisted.
func (c *Core) acceptAppend(m Message, agreed uint64) {
	c.send(Message{Kind: AppendReply, To: m.From, ToIncarnation: m.FromIncarnation, LogIndex: agreed, Round: m.Round})
}

// conflictHint returns the first entry of the term that stands at index, or the
// one after the log's end: whole terms are skipped in one exchange.
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

// truncate drops entries of an older leader, with the configurations in them.
func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	for c.changeIndex() >= index {
		c.configurations = c.configurations[:len(c.configurations)-1]
	}
}

// PieceStored answers a piece that Ready handed out: next is the offset wanted
// next.
func (c *Core) PieceStored(m Message, next int64) {
	p := *m.Snapshot
	p.Offset, p.Data = next, nil
	c.send(Message{Kind: SnapshotReply, To: m.From, ToIncarnation: m.FromIncarnation, Snapshot: &p, Round: m.Round})
}

// Install takes over a snapshot that has become complete on the disk, and
// returns whether the disk's entries are to be dropped, so that the next one is
// the one after the snapshot.
func (c *Core) Install(m Message, snapshot snapshotter.Metadata, configuration Configuration) (dropEntries bool) {
	if snapshot.Index <= c.commit {
		return false
	}
	dropEntries = !c.log.holds(snapshot.Index, snapshot.Term) || c.log.persisted < snapshot.Index
	if dropEntries {
		c.log.reset(snapshot.Index, snapshot.Term)
		c.configurations = []boundConfiguration{{index: snapshot.Index, Configuration: configuration}}
	}
	c.commit, c.handed = snapshot.Index, snapshot.Index
	c.snapshot = snapshot
	c.acceptAppend(m, snapshot.Index)
	return dropEntries
}

// Compact takes up a snapshot made by this host, and lets go of the entries up
// to keepAfter, which is at most the snapshot's index.
func (c *Core) Compact(snapshot snapshotter.Metadata, keepAfter uint64) {
	if snapshot.Index > c.snapshot.Index {
		c.snapshot = snapshot
	}
	c.log.compact(min(keepAfter, c.handed))
	for len(c.configurations) > 1 && c.configurations[1].index <= c.log.base {
		c.configurations = c.configurations[1:]
	}
}
