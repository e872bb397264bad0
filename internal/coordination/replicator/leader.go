package replicator

import "time"

// leadership is the state of a leader; it is zero in all other roles.
type leadership struct {
	// peers holds the progress of all other members of the configuration in force.
	peers map[HostID]*progress
	// termStart is the index of the blank entry that starts the term. Until it is committed, reads
	// and changes of the membership are not served.
	termStart uint64
	// pendingBytes is the size of the uncommitted entries.
	pendingBytes int
	// round is the number of the latest heartbeat round; roundStarts holds the start times of the
	// rounds from firstRound on.
	round, firstRound uint64
	roundStarts       []time.Duration
	// electedAt is the time of the election.
	electedAt time.Duration
	// quorumLost is set while no majority has answered for the length of a lease, so that another
	// leader may exist. The host then accepts no proposals or reads, and may grant votes.
	quorumLost bool
	// heartbeatAt is the time of the next round.
	heartbeatAt time.Duration
	// transferTo is the host to which leadership is being transferred, 0 if none, and
	// transferDeadline the time at which the attempt ends. The lease is not valid during a
	// transfer.
	transferTo       HostID
	transferDeadline time.Duration
	// transferRequested is set once the target has been asked to campaign.
	transferRequested bool
	// reads are the unanswered reads.
	reads []pendingRead
}

// becomeLeader makes the host the leader and appends the blank entry that starts the term.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.settings.Self
	// Without its votes this host can't become leader a second time in this term when a late vote
	// arrives after it has stepped down: the end of its lease may have been reported to others.
	c.votes, c.votesTerm = nil, 0
	c.leadership = leadership{peers: make(map[HostID]*progress), electedAt: c.clock, firstRound: 1}
	for _, e := range c.log.between(c.commit, c.log.last()) {
		c.pendingBytes += entrySize(e)
	}
	c.syncPeers()
	c.termStart = c.appendEntry(EntryBlank, nil)
	c.beginRound()
}

// syncPeers adds and removes peers to match the configuration in force.
func (c *Core) syncPeers() {
	configuration := c.Configuration()
	for id := range c.peers {
		if _, ok := configuration.Find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, m := range configuration.Members {
		if m.ID == c.settings.Self {
			continue
		}
		if c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{next: c.log.last() + 1, incarnation: m.Incarnation}
		}
	}
}

// appendEntry appends an entry of this leader's term and returns its index.
func (c *Core) appendEntry(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	if err := c.push(e); err != nil {
		panic("replicator: own entry can't be decoded")
	}
	c.pendingBytes += entrySize(e)
	return e.Index
}

// Propose appends a command and returns its index and term. The errors ErrNotLeader and
// ErrNotAccepted mean that it has no effect.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.quorumLost {
		return 0, 0, c.notLeader()
	}
	if c.transferTo != 0 {
		return 0, 0, ErrNotAccepted{Reason: "leadership is being handed over"}
	}
	if c.pendingBytes+len(data) > c.settings.PendingBytes {
		return 0, 0, ErrNotAccepted{Reason: "too many bytes wait to be committed"}
	}
	return c.appendEntry(EntryCommand, data), c.hard.Term, nil
}

// notLeader returns an ErrNotLeader with the known leader.
func (c *Core) notLeader() ErrNotLeader {
	m, ok := c.Configuration().Find(c.leader)
	if !ok || c.leader == c.settings.Self {
		m = Member{}
	}
	return ErrNotLeader{Leader: m}
}

// Flush sends the entries proposed since the last call, many of them in one message.
func (c *Core) Flush() {
	for _, m := range c.Configuration().Members {
		if c.peers[m.ID] != nil {
			c.sendEntries(m.ID)
		}
	}
}

// sendEntries sends a member all entries that its window allows.
func (c *Core) sendEntries(id HostID) {
	p := c.peers[id]
	for !p.full(&c.settings) && (p.state == receiving || p.next <= c.log.last()) {
		c.sendAppend(id, true)
	}
}

// sendAppend sends one append, or one snapshot piece if the entries that the member needs have been
// removed from the log by compaction.
func (c *Core) sendAppend(id HostID, withEntries bool) {
	p := c.peers[id]
	previous := p.next - 1
	term, ok := c.log.term(previous)
	if !ok && p.state != receiving {
		p.setState(receiving)
		p.snapshot, p.offset = c.snapshot.Index, 0
	}
	m := c.fillHeader(Message{
		To: id, ToIncarnation: p.incarnation, Commit: c.commit, Round: c.round,
		Counted: p.match, QuorumAge: c.clock - c.quorumConfirmedAt(),
	})
	if p.state == receiving {
		c.sendPiece(p, m)
		return
	}
	m.Kind, m.LogIndex, m.LogTerm = AppendRequest, previous, term
	if withEntries {
		m.Entries = c.log.from(previous, c.settings.MessageBytes)
		if n := len(m.Entries); n > 0 {
			sum := 0
			for _, e := range m.Entries {
				sum += entrySize(e)
			}
			p.recordSent(m.Entries[n-1].Index, sum, c.clock)
		}
	}
	p.sentCommit = c.commit
	c.pending.Early = append(c.pending.Early, m)
}

// propagateCommit sends the commit index to the members that have newly committed entries on their
// disks but have not been sent this index with an append. They can then apply these entries without
// waiting for the next heartbeat.
func (c *Core) propagateCommit() {
	for _, m := range c.Configuration().Members {
		id, p := m.ID, c.peers[m.ID]
		if p != nil && p.state == replicating && p.sentCommit < c.commit && p.match > p.sentCommit {
			c.sendAppend(id, false)
		}
	}
}

// beginRound starts a heartbeat round. Replies to it renew the lease and confirm reads.
func (c *Core) beginRound() {
	c.round++
	c.roundStarts = append(c.roundStarts, c.clock)
	if old := len(c.roundStarts) - maxTrackedRounds; old > 0 {
		c.roundStarts = c.roundStarts[old:]
		c.firstRound += uint64(old)
	}
	c.heartbeatAt = c.clock + c.settings.HeartbeatInterval
	for _, m := range c.Configuration().Members {
		id, p := m.ID, c.peers[m.ID]
		if p == nil {
			continue
		}
		if p.awaitingReply && c.clock-p.sentAt >= c.settings.ElectionTimeout {
			// The probe or piece, or its reply, was lost.
			p.awaitingReply = false
		}
		if p.state != receiving {
			c.sendAppend(id, false)
		} else if p.awaitingReply {
			c.sendSnapshotHeartbeat(id)
		}
		c.sendEntries(id)
	}
}

// maxTrackedRounds is the number of rounds whose start times are kept; replies to older rounds do
// not renew the lease.
const maxTrackedRounds = 256

// tickLeader starts heartbeat rounds, ends an expired transfer, and steps down if the quorum is
// lost.
func (c *Core) tickLeader() {
	if c.checkQuorum(); c.role != Leader {
		return
	}
	if c.transferTo != 0 && c.clock >= c.transferDeadline && !c.transferRequested {
		c.transferTo = 0
	}
	if c.transferTo != 0 && c.clock >= c.transferDeadline {
		// The target may still receive a delayed TimeoutNow and win an election in spite of this
		// leader's lease. A campaign in a new term invalidates that message, so that the lease can
		// be relied on again.
		c.campaign(true)
		return
	}
	if c.clock >= c.heartbeatAt {
		c.beginRound()
	}
}

// quorumLossTimeouts is the number of election timeouts without replies from a majority after which
// a leader steps down. Followers that receive no messages from it campaign within this time.
const quorumLossTimeouts = 2

// checkQuorum stops a leader from accepting proposals and reads while no majority answers, and
// makes it step down after quorumLossTimeouts: it may be cut off, and another leader may exist.
//
// It does not step down at once, because followers that stall for a moment, for instance all on a
// busy disk, answer as soon as they continue. Each such stall would cost an election, during which
// the group accepts no proposals for a second or more. A leader that keeps its term accepts
// proposals again as soon as the replies arrive.
func (c *Core) checkQuorum() {
	silence := time.Duration(0)
	if !c.soleVoter() {
		silence = c.clock - c.answeredAt()
	}
	if silence >= quorumLossTimeouts*c.settings.ElectionTimeout {
		c.becomeFollower(c.hard.Term, 0)
		return
	}
	if c.quorumLost = silence >= c.settings.ElectionTimeout-c.settings.LeaseDrift; c.quorumLost {
		c.failReads()
	}
}

// stepToLeader handles a member's reply.
func (c *Core) stepToLeader(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || m.Term != c.hard.Term || p == nil || !c.matchesDisk(p, m) {
		return
	}
	p.answeredAt = c.clock
	if m.Round > p.round && m.Round >= c.firstRound && m.Round <= c.round {
		p.round, p.roundAt = m.Round, c.roundStarts[m.Round-c.firstRound]
	}
	switch {
	case m.Kind == SnapshotReply:
		c.stepSnapshotReply(p, m)
	case m.Rejected:
		p.reject(m.LogIndex, m.Hint)
	default:
		c.stepAccepted(p, m)
	}
	c.sendEntries(m.From)
	c.advanceCommit()
	c.continueTransfer()
}

// stepAccepted records the entries acknowledged by a member's disk.
func (c *Core) stepAccepted(p *progress, m Message) {
	if m.LogIndex > c.log.last() {
		return
	}
	p.accept(m.LogIndex)
	switch {
	case p.state == probing, p.state == receiving && p.match >= p.snapshot:
		p.setState(replicating)
		p.next = p.match + 1
	}
}

// matchesDisk reports whether a reply comes from the disk whose progress p tracks. A voter's disk is
// recorded in the configuration, and replies from any other disk are not accepted. A learner's disk
// is the one that replied last: if a reply comes from another disk, the progress starts over, since
// that disk holds none of the acknowledged entries.
func (c *Core) matchesDisk(p *progress, m Message) bool {
	if p.incarnation == m.FromIncarnation {
		return true
	}
	from, _ := c.Configuration().Find(m.From)
	if from.Voter {
		return false
	}
	*p = progress{next: p.match + 1, incarnation: m.FromIncarnation}
	if p.next > c.log.last()+1 {
		p.next = c.log.last() + 1
	}
	return true
}

// advanceCommit commits the entries that a majority of disks holds, provided that the last of them
// is of the current term: an entry of an older term may still be overwritten by a leader that a
// different majority elects, even if a majority of disks holds it.
func (c *Core) advanceCommit() {
	if c.role != Leader {
		return
	}
	agreed := quorumValue(c.Configuration(), func(id HostID) uint64 {
		if id == c.settings.Self {
			return c.log.persisted
		}
		return c.peers[id].match
	})
	if agreed <= c.commit || !c.log.holds(agreed, c.hard.Term) {
		return
	}
	for _, e := range c.log.between(c.commit, agreed) {
		c.pendingBytes -= entrySize(e)
	}
	c.commit = agreed
}
