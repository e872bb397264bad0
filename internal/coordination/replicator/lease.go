package replicator

import "time"

// pendingRead is a read that waits for confirmation that this host leads.
type pendingRead struct {
	id uint64
	// index is the commit index at the time of the read, and round the heartbeat round that must be
	// confirmed; both are 0 until an entry of the term is committed.
	index, round uint64
}

// quorumConfirmedAt returns the latest time at which a majority provably followed this leader: the
// start of the latest round that a majority has answered, or the election if there is none.
func (c *Core) quorumConfirmedAt() time.Duration {
	if c.soleVoter() {
		return c.clock
	}
	return c.majorityAt(func(p *progress) time.Duration { return p.roundAt })
}

// answeredAt returns the latest time by which a majority had sent this leader a reply in its term,
// to any round, or the time of the election if there is none.
//
// It is used to decide whether a leader steps down. A leader whose followers answer late, for
// instance on busy disks or processors, still has them and continues without a lease. If it stepped
// down when its lease ends, a group whose round trips approach the election timeout would hold one
// election after another and accept nothing for that time.
func (c *Core) answeredAt() time.Duration {
	return c.majorityAt(func(p *progress) time.Duration { return p.answeredAt })
}

// majorityAt returns the latest time that a majority has reached, counting this host with the
// current time, and at the earliest the time of the election.
func (c *Core) majorityAt(of func(*progress) time.Duration) time.Duration {
	at := quorumValue(c.Configuration(), func(id HostID) time.Duration {
		if id == c.settings.Self {
			return c.clock
		}
		if p := c.peers[id]; p != nil {
			return of(p)
		}
		return 0
	})
	return max(at, c.electedAt)
}

// LeaseUntil returns the time until which no other host can be elected, 0 if there is none. Each
// host of the confirming majority grants no votes for one ElectionTimeout after it received the
// round, which is after the start of the round. Its clock may advance by LeaseDrift more than this
// host's in that time.
func (c *Core) LeaseUntil() time.Duration {
	if c.role != Leader || c.commit < c.termStart || c.transferTo != 0 {
		return 0
	}
	at := c.quorumConfirmedAt()
	if at == c.electedAt && !c.soleVoter() {
		return 0
	}
	return at + c.settings.ElectionTimeout - c.settings.LeaseDrift
}

// Read requests the index that a linearizable read has to wait for. Ready returns the answer with
// the given ID: at once if the lease holds, otherwise after a round of heartbeats that starts now.
func (c *Core) Read(id uint64) {
	if c.role != Leader || c.quorumLost {
		c.pending.Reads = append(c.pending.Reads, ReadState{ID: id, Failed: true})
		return
	}
	c.reads = append(c.reads, pendingRead{id: id})
}

// serveReads answers the reads that are confirmed by the lease or by a heartbeat round.
func (c *Core) serveReads() {
	if c.role != Leader || len(c.reads) == 0 || c.commit < c.termStart {
		return
	}
	leased := c.clock < c.LeaseUntil()
	confirmed := quorumValue(c.Configuration(), func(id HostID) uint64 {
		if id == c.settings.Self {
			return c.round
		}
		return c.peers[id].round
	})
	var waiting []pendingRead
	begin := false
	for _, r := range c.reads {
		if r.round == 0 {
			r.index, r.round = c.commit, c.round+1
			begin = !leased
		}
		if leased || confirmed >= r.round {
			c.pending.Reads = append(c.pending.Reads, ReadState{ID: r.id, Index: r.index})
			continue
		}
		waiting = append(waiting, r)
	}
	c.reads = waiting
	if begin {
		c.beginRound()
	}
}

// failReads fails all pending reads, since this host may no longer be the leader.
func (c *Core) failReads() {
	for _, r := range c.reads {
		c.pending.Reads = append(c.pending.Reads, ReadState{ID: r.id, Failed: true})
	}
	c.reads = nil
}

// Contact returns the time since a leader with a majority last provably existed, and false if this
// host has not received anything from a leader since its start.
func (c *Core) Contact() (time.Duration, bool) {
	if c.role == Leader {
		return c.clock - c.quorumConfirmedAt(), true
	}
	if c.leaderContactAt == 0 {
		return 0, false
	}
	return c.clock - c.leaderContactAt + c.leaderQuorumAge, true
}
