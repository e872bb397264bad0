package replicator

import "marigoldpoint.example/marigoldpoint/internal/state/snapshotter"

// campaign starts an election with a round of pre-votes, or at once with votes if it was forced by
// the leader or this host is the only voter.
func (c *Core) campaign(forced bool) {
	c.becomeFollower(c.hard.Term, 0)
	c.resetCampaign()
	c.forced = forced
	if forced || c.soleVoter() {
		c.startElection()
		return
	}
	c.role = PreCandidate
	c.preVotes = make(map[HostID]bool)
	c.sendVoteRequests(PreVoteRequest, c.hard.Term+1)
}

// startElection increments the term, votes for this host and requests the votes of the others.
func (c *Core) startElection() {
	c.role = Candidate
	c.hard = snapshotter.HardState{Term: c.hard.Term + 1, Vote: uint64(c.settings.Self)}
	c.votes, c.votesTerm = make(map[HostID]bool), c.hard.Term
	c.resetCampaign()
	c.sendVoteRequests(VoteRequest, c.hard.Term)
}

// sendVoteRequests counts the host's own vote and requests those of the other voters.
func (c *Core) sendVoteRequests(kind MessageKind, term uint64) {
	step := BallotVoteAsked
	if kind == PreVoteRequest {
		step = BallotPreVoteAsked
	}
	for _, m := range c.Configuration().Members {
		if m.Voter && m.ID != c.settings.Self {
			c.recordElectionEvent(step, term, m.ID, c.log.last(), c.log.lastTerm(), RefusalNone)
			c.send(Message{
				Kind: kind, To: m.ID, Term: term, Force: c.forced,
				LogIndex: c.log.last(), LogTerm: c.log.lastTerm(),
			})
		}
	}
	if kind == PreVoteRequest {
		c.countPreVote(c.settings.Self, true)
	} else {
		c.countVote(c.settings.Self, true)
	}
}

// countPreVote counts a reply, and starts the election if a majority would vote for this host.
func (c *Core) countPreVote(from HostID, granted bool) {
	switch won, lost := c.tally(c.preVotes, from, granted); {
	case won:
		c.startElection()
	case lost:
		c.becomeFollower(c.hard.Term, 0)
	}
}

// countVote counts a reply, and makes this host the leader if a majority voted for it.
func (c *Core) countVote(from HostID, granted bool) {
	switch won, lost := c.tally(c.votes, from, granted); {
	case won:
		c.becomeLeader()
	case lost && c.role == Candidate:
		c.becomeFollower(c.hard.Term, 0)
	}
}

// tally counts a reply, and reports whether a majority granted its votes, or no longer can.
func (c *Core) tally(votes map[HostID]bool, from HostID, granted bool) (won, lost bool) {
	if _, counted := votes[from]; !counted {
		votes[from] = granted
	}
	given, refused := 0, 0
	for _, g := range votes {
		if g {
			given++
		} else {
			refused++
		}
	}
	configuration := c.Configuration()
	return given >= configuration.Quorum(), refused > configuration.Voters()-configuration.Quorum()
}

// withholdsVotes reports whether a leader's lease may depend on this host granting no votes. For a
// leader this holds until it has lost its quorum.
func (c *Core) withholdsVotes() bool {
	return c.role == Leader && !c.quorumLost || c.clock < c.votesWithheldUntil
}

// upToDate reports whether a candidate's log contains every entry that this host may have helped to
// commit.
func (c *Core) upToDate(m Message) bool {
	own := c.log.lastTerm()
	return m.LogTerm > own || (m.LogTerm == own && m.LogIndex >= c.log.last())
}

// recordElectionEvent records one step of an election for observation.
func (c *Core) recordElectionEvent(step BallotStep, term uint64, other HostID, index, logTerm uint64, refusal Refusal) {
	c.pending.Ballots = append(c.pending.Ballots, ElectionEvent{
		Step: step, Term: term, Other: other, LogIndex: index, LogTerm: logTerm,
		OwnIndex: c.log.last(), OwnTerm: c.log.lastTerm(), Refusal: refusal,
	})
}

// stepPreVote replies to a pre-vote request without changing any term.
//
// A host that grants a pre-vote defers its own campaign. Otherwise hosts that request pre-votes at
// the same time, as all do after the loss of a leader, would all campaign in the same term, each
// with only its own vote, and collide again after the next timeout, for as long as round trips take
// as long as the spread of the timeouts.
func (c *Core) stepPreVote(m Message) {
	refusal := c.refusal(m, m.Term > c.hard.Term)
	if refusal == RefusalNone && c.role == PreCandidate && c.precedes(m) {
		refusal = RefusalVoted
	}
	if refusal == RefusalNone {
		c.deferCampaign(m.From)
		c.recordElectionEvent(BallotPreVoteGiven, m.Term, m.From, m.LogIndex, m.LogTerm, refusal)
		c.send(Message{Kind: PreVoteReply, To: m.From, ToIncarnation: m.FromIncarnation, Term: m.Term})
		return
	}
	c.recordElectionEvent(BallotPreVoteRefused, m.Term, m.From, m.LogIndex, m.LogTerm, refusal)
	c.send(Message{Kind: PreVoteReply, To: m.From, ToIncarnation: m.FromIncarnation, Rejected: true})
}

// deferCampaign defers this host's own campaign in favor of another voter's. A host that has been
// removed from the group can't win, and must not delay the others' campaigns.
func (c *Core) deferCampaign(to HostID) {
	other, ok := c.Configuration().Find(to)
	if !ok || !other.Voter {
		return
	}
	if c.role == PreCandidate {
		c.becomeFollower(c.hard.Term, 0)
	}
	c.resetCampaign()
}

// precedes reports whether this host, itself a pre-candidate, keeps its campaign in spite of
// another pre-candidate with an equal log: the lower host ID takes precedence.
func (c *Core) precedes(m Message) bool {
	return m.LogTerm == c.log.lastTerm() && m.LogIndex == c.log.last() && c.settings.Self < m.From
}

// refusal returns why a candidate gets no vote; term is set if the candidate's term allows one.
func (c *Core) refusal(m Message, term bool) Refusal {
	switch {
	case !m.Force && c.withholdsVotes():
		return RefusalPromised
	case !term:
		return RefusalTerm
	case !c.upToDate(m):
		return RefusalLog
	default:
		return RefusalNone
	}
}

// stepVote grants at most one vote in a term. The reply is sent after the vote is on the disk: a
// host that forgot its vote in a crash could grant a second one, and two leaders of one term would
// overwrite each other's entries.
func (c *Core) stepVote(m Message) {
	if !m.Force && c.withholdsVotes() {
		c.recordElectionEvent(BallotVoteRefused, m.Term, m.From, m.LogIndex, m.LogTerm, RefusalPromised)
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(m.Term, 0)
	}
	free := c.hard.Vote == 0 || c.hard.Vote == uint64(m.From)
	refusal := c.refusal(m, m.Term == c.hard.Term)
	if refusal == RefusalNone && (!free || c.role != Follower || c.leader != 0) {
		refusal = RefusalVoted
	}
	granted, step := refusal == RefusalNone, BallotVoteRefused
	if granted {
		step = BallotVoteGiven
		c.hard.Vote = uint64(m.From)
		c.resetCampaign()
	}
	c.recordElectionEvent(step, m.Term, m.From, m.LogIndex, m.LogTerm, refusal)
	c.send(Message{Kind: VoteReply, To: m.From, ToIncarnation: m.FromIncarnation, Rejected: !granted})
}

// stepVoteReply counts a reply from a voter whose disk the configuration names.
func (c *Core) stepVoteReply(m Message) {
	from, ok := c.Configuration().Find(m.From)
	if !ok || !from.Voter || from.Incarnation != m.FromIncarnation {
		return
	}
	term, step, refusal := c.hard.Term, BallotVoteReceived, RefusalNone
	if m.Rejected {
		refusal = RefusalOther
	}
	if m.Kind == PreVoteReply {
		step = BallotPreVoteReceived
	}
	switch {
	case m.Kind == VoteReply && m.Term == term && c.mayWinTerm():
		c.recordElectionEvent(step, m.Term, m.From, 0, 0, refusal)
		c.countVote(m.From, !m.Rejected)
	case m.Kind == PreVoteReply && c.role == PreCandidate && (m.Rejected && m.Term == term || !m.Rejected && m.Term == term+1):
		c.recordElectionEvent(step, m.Term, m.From, 0, 0, refusal)
		c.countPreVote(m.From, !m.Rejected)
	default:
		c.recordElectionEvent(step, m.Term, m.From, 0, 0, RefusalLate)
	}
}

// mayWinTerm reports whether votes of the current term can still make this host its leader: it has
// requested them, and no leader is known.
//
// If syncs take a large part of the election timeout, a vote may arrive after the candidate has
// already returned to requesting pre-votes. It is the only vote that its sender may grant in the
// term: if it were discarded, no term would get a leader and the group would accept no proposals
// for as long as its disks are slow. A late vote is as valid as an early one, since neither the
// term nor the candidate's log can have changed.
func (c *Core) mayWinTerm() bool {
	return c.role != Leader && c.leader == 0 && c.votesTerm == c.hard.Term
}

// stepTimeoutNow campaigns on the leader's request.
func (c *Core) stepTimeoutNow(m Message) {
	if m.Term == c.hard.Term && c.role == Follower && m.From == c.leader && c.isVoter() {
		c.campaign(true)
	}
}
