package replicator

import "time"

// leadership is the state of a leader; it is empty in all other roles.
type leadership struct {
	// peers holds the progress of all other members in force.
	peers map[HostID]*progress
	// opened is the index of the blank entry that opened the term. Until it is
	// committed neither reads nor changes of the membership are served.
	opened uint64
	// pendingBytes is the size of the entries after commit.
	pendingBytes int
	// round is the number of the latest heartbeat round; begun holds when each
	// round from firstRound on was begun.
	round, firstRound uint64
	begun             []time.Duration
	// electedAt is when the leadership began.
	electedAt time.Duration
	// doubt is set while no majority has answered for as long as a lease lasts: another
	// leader may exist. Nothing is accepted then, and the host may vote.
	doubt bool
	// heartbeatAt is when the next round is due.
	heartbeatAt time.Duration
	// transferTo is the host that leadership goes to, 0 for none, and
	// transferEnd when the attempt is given up. The lease is void meanwhile.
	transferTo  HostID
	transferEnd time.Duration
	// transferAsked is set once the target was asked to campaign.
	transferAsked bool
	// reads are waiting to be answered.
	reads []pendingRead
}

// becomeLeader opens the term with an entry of its own.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.settings.Self
	// A vote that arrives after it has stepped down again must not bring it back: its
	// lease is void, and others may have been told so.
	c.votes, c.votesOf = nil, 0
	c.leadership = leadership{peers: make(map[HostID]*progress), electedAt: c.clock, firstRound: 1}
	for _, e := range c.log.between(c.commit, c.log.last()) {
		c.pendingBytes += entrySize(e)
	}
	c.syncPeers()
	c.opened = c.appendOwn(EntryBlank, nil)
	c.beginRound()
}

// syncPeers makes peers match the configuration in force.
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

// appendOwn appends an entry of this leader and returns its index.
func (c *Core) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	if err := c.push(e); err != nil {
		panic("replicator: own entry can't be decoded")
	}
	c.pendingBytes += entrySize(e)
	return e.Index
}

// Propose appends a command and returns its index and term. It returns an
// error, and has no effect, where this host can't accept it now.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.doubt {
		return 0, 0, c.notLeader()
	}
	if c.transferTo != 0 {
		return 0, 0, ErrNotAccepted{Reason: "leadership is being handed over"}
	}
	if c.pendingBytes+len(data) > c.settings.PendingBytes {
		return 0, 0, ErrNotAccepted{Reason: "too many bytes wait to be committed"}
	}
	return c.appendOwn(EntryCommand, data), c.hard.Term, nil
}

// notLeader names the leader that is known.
func (c *Core) notLeader() ErrNotLeader {
	m, ok := c.Configuration().Find(c.leader)
	if !ok || c.leader == c.settings.Self {
		m = Member{}
	}
	return ErrNotLeader{Leader: m}
}

// Flush sends out what was proposed since the last one. Many proposals share
// its messages.
func (c *Core) Flush() {
	for _, m := range c.Configuration().Members {
		if c.peers[m.ID] != nil {
			c.feed(m.ID)
		}
	}
}

// feed sends a member all entries that its window allows.
func (c *Core) feed(id HostID) {
	p := c.peers[id]
	for !p.full(&c.settings) && (p.state == receiving || p.next <= c.log.last()) {
		c.sendAppend(id, true)
	}
}

// sendAppend sends one append, or a piece where the log no longer reaches back.
func (c *Core) sendAppend(id HostID, withEntries bool) {
	p := c.peers[id]
	previous := p.next - 1
	term, ok := c.log.term(previous)
	if !ok && p.state != receiving {
		p.become(receiving)
		p.snapshot, p.offset = c.snapshot.Index, 0
	}
	m := c.stamp(Message{
		To: id, ToIncarnation: p.incarnation, Commit: c.commit, Round: c.round,
		Counted: p.match, QuorumAge: c.clock - c.quorumAt(),
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
			p.noteSent(m.Entries[n-1].Index, sum, c.clock)
		}
	}
	p.told = c.commit
	c.out.Early = append(c.out.Early, m)
}

// spreadCommit tells members of a new commit index that no append has carried
// to them, so that they needn't wait for the next heartbeat to apply it.
func (c *Core) spreadCommit() {
	for _, m := range c.Configuration().Members {
		id, p := m.ID, c.peers[m.ID]
		if p != nil && p.state == replicating && p.told < c.commit && p.match > p.told {
			c.sendAppend(id, false)
		}
	}
}

// beginRound sends each member a heartbeat of a new round. Its answers renew
// the lease and confirm reads.
func (c *Core) beginRound() {
	c.round++
	c.begun = append(c.begun, c.clock)
	if old := len(c.begun) - maximumRounds; old > 0 {
		c.begun = c.begun[old:]
		c.firstRound += uint64(old)
	}
	c.heartbeatAt = c.clock + c.settings.HeartbeatInterval
	for _, m := range c.Configuration().Members {
		id, p := m.ID, c.peers[m.ID]
		if p == nil {
			continue
		}
		if p.waiting && c.clock-p.sentAt >= c.settings.ElectionTimeout {
			// The probe or piece, or its answer, was lost.
			p.waiting = false
		}
		if p.state != receiving {
			c.sendAppend(id, false)
		} else if p.waiting {
			c.sendEmptyPiece(id)
		}
		c.feed(id)
	}
}

// maximumRounds bounds the rounds whose time is remembered; answers to older
// ones renew nothing.
const maximumRounds = 256

// tickLeader keeps heartbeats going, and steps down without a quorum.
func (c *Core) tickLeader() {
	if c.reviewDoubt(); c.role != Leader {
		return
	}
	if c.transferTo != 0 && c.clock >= c.transferEnd && !c.transferAsked {
		c.transferTo = 0
	}
	if c.transferTo != 0 && c.clock >= c.transferEnd {
		// The other host may still campaign on the lost request. A new term
		// makes that request void, and with it this leader's lease true.
		c.campaign(true)
		return
	}
	if c.clock >= c.heartbeatAt {
		c.beginRound()
	}
}

// doubtTimeouts is the number of election timeouts without an answer of a majority after
// which a leader steps down. Followers that don't hear it wait for no longer than that
// before they look for another.
const doubtTimeouts = 2

// reviewDoubt has a leader that no majority answers accept nothing, and in the end step
// down: it is cut off, silently perhaps, and another leader may exist.
//
// Followers that stand still for a moment, all at a busy disk, answer when they go on.
// Were it to step down at once, each such moment would cost the group an election, in
// which it accepts nothing for a second or more; in doubt it goes on with the answer.
func (c *Core) reviewDoubt() {
	silence := time.Duration(0)
	if !c.soleVoter() {
		silence = c.clock - c.answeredAt()
	}
	if silence >= doubtTimeouts*c.settings.ElectionTimeout {
		c.becomeFollower(c.hard.Term, 0)
		return
	}
	if c.doubt = silence >= c.settings.ElectionTimeout-c.settings.LeaseDrift; c.doubt {
		c.failReads()
	}
}

// stepToLeader handles a member's answer.
func (c *Core) stepToLeader(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || m.Term != c.hard.Term || p == nil || !c.knownDisk(p, m) {
		return
	}
	p.answeredAt = c.clock
	if m.Round > p.round && m.Round >= c.firstRound && m.Round <= c.round {
		p.round, p.roundAt = m.Round, c.begun[m.Round-c.firstRound]
	}
	switch {
	case m.Kind == SnapshotReply:
		c.stepPieceReply(p, m)
	case m.Rejected:
		p.reject(m.LogIndex, m.Hint)
	default:
		c.stepAccepted(p, m)
	}
	c.feed(m.From)
	c.advanceCommit()
	c.continueTransfer()
}

// stepAccepted records what the member's disk holds.
func (c *Core) stepAccepted(p *progress, m Message) {
	if m.LogIndex > c.log.last() {
		return
	}
	p.accept(m.LogIndex)
	switch {
	case p.state == probing, p.state == receiving && p.match >= p.snapshot:
		p.become(replicating)
		p.next = p.match + 1
	}
}

// knownDisk reports whether an answer comes from the disk that the progress
// belongs to. A learner is known by the first disk that answers; if another
// one answers later, it has nothing of what the first one acknowledged.
func (c *Core) knownDisk(p *progress, m Message) bool {
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

// advanceCommit commits what a majority of disks holds, but only up from an
// entry of its own term: an entry of an older term on a majority of disks may
// still be overwritten by a leader that a different majority elects.
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
