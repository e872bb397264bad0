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
	c.preVotes = make(map[HostID]bool)
	c.poll(PreVoteRequest, c.hard.Term+1)
}

// askVotes raises the term, votes for itself and asks the others.
func (c *Core) askVotes() {
	c.role = Candidate
	c.hard = snapshotter.HardState{Term: c.hard.Term + 1, Vote: uint64(c.settings.Self)}
	c.votes, c.votesOf = make(map[HostID]bool), c.hard.Term
	c.resetCampaign()
	c.poll(VoteRequest, c.hard.Term)
}

// poll counts the host's own vote and asks the other voters.
func (c *Core) poll(kind MessageKind, term uint64) {
	step := BallotVoteAsked
	if kind == PreVoteRequest {
		step = BallotPreVoteAsked
	}
	for _, m := range c.Configuration().Members {
		if m.Voter && m.ID != c.settings.Self {
			c.balloted(step, term, m.ID, c.log.last(), c.log.lastTerm(), RefusalNone)
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

// countPreVote records an answer and asks for votes where a majority would give
// them.
func (c *Core) countPreVote(from HostID, granted bool) {
	switch won, lost := c.tally(c.preVotes, from, granted); {
	case won:
		c.askVotes()
	case lost:
		c.becomeFollower(c.hard.Term, 0)
	}
}

// countVote records an answer and leads where a majority gave its vote.
func (c *Core) countVote(from HostID, granted bool) {
	switch won, lost := c.tally(c.votes, from, granted); {
	case won:
		c.becomeLeader()
	case lost && c.role == Candidate:
		c.becomeFollower(c.hard.Term, 0)
	}
}

// tally records an answer among others, and reports whether a majority gave its vote,
// or can't any more.
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

// promised reports whether a leader may rely on this host's silence. A leader
// relies on itself until it lacks a majority.
func (c *Core) promised() bool {
	return c.role == Leader && !c.doubt || c.clock < c.promisedUntil
}

// upToDate reports whether a candidate's log holds all that this host's may
// have helped to commit.
func (c *Core) upToDate(m Message) bool {
	own := c.log.lastTerm()
	return m.LogTerm > own || (m.LogTerm == own && m.LogIndex >= c.log.last())
}

// balloted notes a step of an election.
func (c *Core) balloted(step BallotStep, term uint64, other HostID, index, logTerm uint64, refusal Refusal) {
	c.out.Ballots = append(c.out.Ballots, ElectionEvent{
		Step: step, Term: term, Other: other, LogIndex: index, LogTerm: logTerm,
		OwnIndex: c.log.last(), OwnTerm: c.log.lastTerm(), Refusal: refusal,
	})
}

// stepPreVote answers without changing any term.
//
// Who would give its vote lets the other one go first. Hosts that ask each other in the
// same moment, as all do after a leader that they lost together, would else all stand
// in the same term, each with its own vote alone, and again a timeout later: where
// rounds take as long as the timeouts lie apart, for as long as that lasts.
func (c *Core) stepPreVote(m Message) {
	refusal := c.refusal(m, m.Term > c.hard.Term)
	if refusal == RefusalNone && c.role == PreCandidate && c.goesBefore(m) {
		refusal = RefusalVoted
	}
	if refusal == RefusalNone {
		c.yield(m.From)
		c.balloted(BallotPreVoteGiven, m.Term, m.From, m.LogIndex, m.LogTerm, refusal)
		c.send(Message{Kind: PreVoteReply, To: m.From, ToIncarnation: m.FromIncarnation, Term: m.Term})
		return
	}
	c.balloted(BallotPreVoteRefused, m.Term, m.From, m.LogIndex, m.LogTerm, refusal)
	c.send(Message{Kind: PreVoteReply, To: m.From, ToIncarnation: m.FromIncarnation, Rejected: true})
}

// yield puts this host's own campaign off for another voter's. One that the group has
// removed can't win, and must not keep the others from it.
func (c *Core) yield(to HostID) {
	other, ok := c.Configuration().Find(to)
	if !ok || !other.Voter {
		return
	}
	if c.role == PreCandidate {
		c.becomeFollower(c.hard.Term, 0)
	}
	c.resetCampaign()
}

// goesBefore reports whether this host, which asks for pre-votes itself, goes on with it
// before another one that does, whose log is no worse: of two with logs alike it is the
// one with the lower number.
func (c *Core) goesBefore(m Message) bool {
	return m.LogTerm == c.log.lastTerm() && m.LogIndex == c.log.last() && c.settings.Self < m.From
}

// refusal returns why a candidate gets no vote, given whether the term allows one.
func (c *Core) refusal(m Message, term bool) Refusal {
	switch {
	case !m.Force && c.promised():
		return RefusalPromised
	case !term:
		return RefusalTerm
	case !c.upToDate(m):
		return RefusalLog
	default:
		return RefusalNone
	}
}

// stepVote gives at most one vote in a term. The reply leaves after the vote is
// on the disk: a host that forgot its vote in a crash could give a second one,
// and two leaders of one term would overwrite each other's entries.
func (c *Core) stepVote(m Message) {
	if !m.Force && c.promised() {
		c.balloted(BallotVoteRefused, m.Term, m.From, m.LogIndex, m.LogTerm, RefusalPromised)
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
	c.balloted(step, m.Term, m.From, m.LogIndex, m.LogTerm, refusal)
	c.send(Message{Kind: VoteReply, To: m.From, ToIncarnation: m.FromIncarnation, Rejected: !granted})
}

// stepVoteReply counts an answer of a voter whose disk the group knows.
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
	case m.Kind == VoteReply && m.Term == term && c.stands():
		c.balloted(step, m.Term, m.From, 0, 0, refusal)
		c.countVote(m.From, !m.Rejected)
	case m.Kind == PreVoteReply && c.role == PreCandidate && (m.Rejected && m.Term == term || !m.Rejected && m.Term == term+1):
		c.balloted(step, m.Term, m.From, 0, 0, refusal)
		c.countPreVote(m.From, !m.Rejected)
	default:
		c.balloted(step, m.Term, m.From, 0, 0, RefusalLate)
	}
}

// stands reports whether votes of the present term make this host its leader: it has
// asked for them, and nobody leads.
//
// Where syncs take a good part of the election timeout, a vote arrives when the
// candidate has begun to ask anew whether it would get one. Thrown away then, it is
// the only one that its voter may give in the term, and no term has a leader: the group
// accepts nothing for as long as its disks are slow. A vote is as good late as early,
// since neither the term nor the candidate's log can have changed.
func (c *Core) stands() bool {
	return c.role != Leader && c.leader == 0 && c.votesOf == c.hard.Term
}

// stepTimeoutNow campaigns at the leader's wish.
func (c *Core) stepTimeoutNow(m Message) {
	if m.Term == c.hard.Term && c.role == Follower && m.From == c.leader && c.isVoter() {
		c.campaign(true)
	}
}
