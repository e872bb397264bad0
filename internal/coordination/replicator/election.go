package replicator

import "marigoldpoint.example/marigoldpoint/internal/state/snapshotter"

// campaign asks for votes: first whether they would be given, unless the
// leader itself has asked for the campaign.
func (c *Core) campaign(forced bool) {
	c.becomeFollower(c.hard.Term, 0)
	c.resetCampaign()
	c.forced = forced
	if forced || c.soleVoter() {
		c.askVotes()
		return
	}
	c.role = PreCandidate
	c.votes = make(map[HostID]bool)
	c.poll(PreVoteRequest, c.hard.Term+1)
}

// askVotes raises the term, votes for itself and asks the others.
func (c *Core) askVotes() {
	c.role = Candidate
	c.hard = snapshotter.HardState{Term: c.hard.Term + 1, Vote: uint64(c.settings.Self)}
	c.votes = make(map[HostID]bool)
	c.resetCampaign()
	c.poll(VoteRequest, c.hard.Term)
}

// poll counts the host's own vote and asks the other voters.
func (c *Core) poll(kind MessageKind, term uint64) {
	for _, m := range c.Configuration().Members {
		if m.Voter && m.ID != c.settings.Self {
			c.send(Message{
				Kind: kind, To: m.ID, Term: term, Force: c.forced,
				LogIndex: c.log.last(), LogTerm: c.log.lastTerm(),
			})
		}
	}
	c.countVote(c.settings.Self, true)
}

// countVote records an answer and acts on a majority of either kind.
func (c *Core) countVote(from HostID, granted bool) {
	if _, counted := c.votes[from]; !counted {
		c.votes[from] = granted
	}
	given, refused := 0, 0
	for _, g := range c.votes {
		if g {
			given++
		} else {
			refused++
		}
	}
	configuration := c.Configuration()
	switch {
	case given >= configuration.Quorum() && c.role == PreCandidate:
		c.askVotes()
	case given >= configuration.Quorum():
		c.becomeLeader()
	case refused > configuration.Voters()-configuration.Quorum():
		c.becomeFollower(c.hard.Term, 0)
	}
}

// promised reports whether a leader may rely on this host's silence. A leader
// relies on itself: it steps down as soon as it lacks a majority.
func (c *Core) promised() bool {
	return c.role == Leader || c.clock < c.promisedUntil
}

// upToDate reports whether a candidate's log holds all that this host's may
// have helped to commit.
func (c *Core) upToDate(m Message) bool {
	own := c.log.lastTerm()
	return m.LogTerm > own || (m.LogTerm == own && m.LogIndex >= c.log.last())
}

// stepPreVote answers without changing anything.
func (c *Core) stepPreVote(m Message) {
	if m.Term > c.hard.Term && !c.promised() && c.upToDate(m) {
		c.send(Message{Kind: PreVoteReply, To: m.From, ToIncarnation: m.FromIncarnation, Term: m.Term})
		return
	}
	c.send(Message{Kind: PreVoteReply, To: m.From, ToIncarnation: m.FromIncarnation, Rejected: true})
}

// stepVote gives at most one vote in a term. The reply leaves after the vote is
// on the disk: a host that forgot its vote in a crash could give a second one,
// and two leaders of one term would overwrite each other's entries.
func (c *Core) stepVote(m Message) {
	if !m.Force && c.promised() {
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(m.Term, 0)
	}
	free := c.hard.Vote == 0 || c.hard.Vote == uint64(m.From)
	granted := m.Term == c.hard.Term && free && c.role == Follower && c.leader == 0 && c.upToDate(m)
	if granted {
		c.hard.Vote = uint64(m.From)
		c.resetCampaign()
	}
	c.send(Message{Kind: VoteReply, To: m.From, ToIncarnation: m.FromIncarnation, Rejected: !granted})
}

// stepVoteReply counts an answer of a voter whose disk the group knows.
func (c *Core) stepVoteReply(m Message) {
	wanted := Candidate
	term := c.hard.Term
	if m.Kind == PreVoteReply {
		wanted = PreCandidate
		if !m.Rejected {
			term++
		}
	}
	from, ok := c.Configuration().Find(m.From)
	if c.role != wanted || m.Term != term || !ok || !from.Voter || from.Incarnation != m.FromIncarnation {
		return
	}
	c.countVote(m.From, !m.Rejected)
}

// stepTimeoutNow campaigns at the leader's wish.
func (c *Core) stepTimeoutNow(m Message) {
	if m.Term == c.hard.Term && c.role == Follower && m.From == c.leader && c.isVoter() {
		c.campaign(true)
	}
}
