package replicator

// Change is a change of the membership by one member.
type Change interface{ change() }

// AddLearner adds a member that receives the log and does not vote. For an existing member it only
// updates the address and the failure domain.
type AddLearner struct{ Member Member }

// PromoteLearner makes a learner a voter.
type PromoteLearner struct{ ID HostID }

// RemoveMember removes a member.
type RemoveMember struct{ ID HostID }

func (AddLearner) change()     {}
func (PromoteLearner) change() {}
func (RemoveMember) change()   {}

// ProposeChange appends a change of the membership. The new configuration is in force at once and
// is committed like any other entry. Two majorities of configurations that differ by one voter
// always intersect, so that two leaders can't be elected, provided that only one change is in
// progress and that the leader has committed an entry of its own term: otherwise a change by an
// earlier leader may still be in the logs of some members. It returns ErrNotLeader or
// ErrChangeRefused.
func (c *Core) ProposeChange(change Change) (index, term uint64, err error) {
	if c.role != Leader || c.quorumLost {
		return 0, 0, c.notLeader()
	}
	if c.transferTo != 0 {
		return 0, 0, ErrChangeRefused{Reason: "leadership is being handed over"}
	}
	if c.commit < c.termStart {
		return 0, 0, ErrChangeRefused{Reason: "the leader has not committed an entry of its term yet"}
	}
	if c.configurationIndex() > c.commit {
		return 0, 0, ErrChangeRefused{Reason: "another change is in progress"}
	}
	next, err := c.configurationAfter(change)
	if err != nil {
		return 0, 0, err
	}
	if c.responsiveVoters(next) < next.Quorum() {
		// Such a configuration could neither be committed nor be reverted.
		return 0, 0, ErrChangeRefused{Reason: "too few of the remaining voters answer"}
	}
	index = c.appendEntry(EntryMembership, encodeConfiguration(next))
	c.syncPeers()
	return index, c.hard.Term, nil
}

// responsiveVoters returns the number of voters of a configuration that have answered a heartbeat
// within the last ElectionTimeout, this host included.
func (c *Core) responsiveVoters(configuration Configuration) int {
	n := 0
	for _, m := range configuration.Members {
		p := c.peers[m.ID]
		if m.Voter && (m.ID == c.settings.Self || (p != nil && p.round > 0 && c.clock-p.roundAt < c.settings.ElectionTimeout)) {
			n++
		}
	}
	return n
}

// silentVoters returns the voters that have not answered this leader for more than SilentTimeouts
// election timeouts. The time counts at the earliest from the start of the leader's term.
func (c *Core) silentVoters() []HostID {
	if c.role != Leader || c.commit < c.termStart {
		return nil
	}
	var silentVoters []HostID
	for _, m := range c.Configuration().Members {
		p := c.peers[m.ID]
		if m.Voter && m.ID != c.settings.Self && p != nil && c.clock-max(p.roundAt, c.electedAt) > SilentTimeouts*c.settings.ElectionTimeout {
			silentVoters = append(silentVoters, m.ID)
		}
	}
	return silentVoters
}

// configurationAfter returns the configuration that results from a change.
func (c *Core) configurationAfter(change Change) (Configuration, error) {
	now := c.Configuration()
	switch t := change.(type) {
	case AddLearner:
		m := t.Member
		m.Voter, m.Incarnation = false, 0
		if old, ok := now.Find(m.ID); ok {
			m.Voter, m.Incarnation = old.Voter, old.Incarnation
		}
		return now.with(m), nil
	case PromoteLearner:
		m, ok := now.Find(t.ID)
		if !ok || m.Voter {
			return now, ErrChangeRefused{Reason: "not a learner"}
		}
		if !c.CaughtUp(t.ID) {
			return now, ErrChangeRefused{Reason: "the learner is not caught up"}
		}
		m.Voter, m.Incarnation = true, c.peers[t.ID].incarnation
		return now.with(m), nil
	case RemoveMember:
		if _, ok := now.Find(t.ID); !ok {
			return now, ErrChangeRefused{Reason: "not a member"}
		}
		if t.ID == c.settings.Self {
			// A leader that is cut off could have the entry in its own log only; the others would
			// then need the vote of a host that no longer counts itself as a voter.
			return now, ErrChangeRefused{Reason: "the leader can't remove itself; it must hand over leadership first"}
		}
		return now.without(t.ID), nil
	default:
		panic("replicator: unknown change")
	}
}

// CaughtUp reports whether a member's disk holds nearly all of the log, so that commits are not
// delayed once they need it.
func (c *Core) CaughtUp(id HostID) bool {
	p := c.peers[id]
	return c.role == Leader && p != nil && p.incarnation != 0 && p.state == replicating &&
		p.match >= c.termStart && p.match+c.settings.CatchUpEntries >= c.log.last()
}

// Transfer starts to transfer leadership to the voter with the most complete log. Proposals are
// refused until the transfer has ended.
func (c *Core) Transfer() error {
	if c.role != Leader {
		return c.notLeader()
	}
	if c.transferTo != 0 {
		return nil
	}
	best := c.successor()
	if best == 0 {
		return ErrNotAccepted{Reason: "there is no other voter"}
	}
	c.transferTo = best
	c.transferDeadline = c.clock + c.settings.ElectionTimeout
	c.continueTransfer()
	return nil
}

// successor returns the other voter with the most complete log, 0 if there is none.
func (c *Core) successor() HostID {
	var best HostID
	for _, m := range c.Configuration().Members {
		if m.Voter && m.ID != c.settings.Self && (best == 0 || c.peers[m.ID].match > c.peers[best].match) {
			best = m.ID
		}
	}
	return best
}

// abdicate returns a message that makes the successor campaign at once, because this leader can't
// continue. The owner voids the lease before, and doesn't use the core afterwards. It returns false
// if this host does not lead or there is no successor, or if the term may not be on the disk.
func (c *Core) abdicate() (Message, bool) {
	if c.role != Leader || c.hard != c.saved {
		return Message{}, false
	}
	best := c.successor()
	if best == 0 {
		return Message{}, false
	}
	return c.fillHeader(Message{Kind: TimeoutNow, To: best}), true
}

// continueTransfer asks the target to campaign once it holds the whole log.
func (c *Core) continueTransfer() {
	if c.role != Leader || c.transferTo == 0 {
		return
	}
	p := c.peers[c.transferTo]
	if p == nil || p.match < c.log.last() {
		return
	}
	c.transferRequested = true
	c.send(Message{Kind: TimeoutNow, To: c.transferTo})
}
