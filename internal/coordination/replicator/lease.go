package replicator

import "time"

// pendingRead is a read that waits for proof that the host leads.
type pendingRead struct {
	id uint64
	// index is the commit index when the read came, and round the heartbeat
	// round that must be confirmed; both are 0 until the term has an entry
	// committed.
	index, round uint64
}

// quorumAt returns the latest time for which it is proved that a majority
// followed this leader: the beginning of a round that a majority has answered.
// Just after the election it is the election.
func (c *Core) quorumAt() time.Duration {
	if c.soleVoter() {
		return c.clock
	}
	return c.majorityAt(func(p *progress) time.Duration { return p.roundAt })
}

// answeredAt returns the latest time at which a majority had sent this leader an answer
// in its term, to whichever round. Just after the election it is the election.
//
// A leader whose followers answer late, as where disks or processors are busy, still has
// them: it goes on without a lease. Were it to step down as its lease ends, a group
// whose round trips near the election timeout would have one election after the other,
// and accept nothing for as long as that lasts.
func (c *Core) answeredAt() time.Duration {
	return c.majorityAt(func(p *progress) time.Duration { return p.answeredAt })
}

// majorityAt returns the latest time that a majority has reached, this host's own being
// now; the election at the earliest.
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

// LeaseUntil returns the time until which no other host can be elected, 0 for
// none. Each host of the confirming majority votes for nobody during one
// ElectionTimeout after it received the round, which is later than the round's
// beginning; its clock may run ahead of this one's by LeaseDrift in that time.
func (c *Core) LeaseUntil() time.Duration {
	if c.role != Leader || c.commit < c.opened || c.transferTo != 0 {
		return 0
	}
	at := c.quorumAt()
	if at == c.electedAt && !c.soleVoter() {
		return 0
	}
	return at + c.settings.ElectionTimeout - c.settings.LeaseDrift
}

// Read asks for the index that a linearizable read has to wait for. Ready
// answers it under the given id, at once where the lease holds, else after a
// round of heartbeats that is begun now.
func (c *Core) Read(id uint64) {
	if c.role != Leader || c.doubt {
		c.out.Reads = append(c.out.Reads, ReadState{ID: id, Failed: true})
		return
	}
	c.reads = append(c.reads, pendingRead{id: id})
}

// serveReads answers the reads that can be answered.
func (c *Core) serveReads() {
	if c.role != Leader || len(c.reads) == 0 || c.commit < c.opened {
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
			c.out.Reads = append(c.out.Reads, ReadState{ID: r.id, Index: r.index})
			continue
		}
		waiting = append(waiting, r)
	}
	c.reads = waiting
	if begin {
		c.beginRound()
	}
}

// failReads tells all waiting reads that the host leads no longer.
func (c *Core) failReads() {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, ReadState{ID: r.id, Failed: true})
	}
	c.reads = nil
}

// Contact returns how long ago it was last certain that a leader with a
// majority existed; false where none was heard of since the start.
func (c *Core) Contact() (time.Duration, bool) {
	if c.role == Leader {
		return c.clock - c.quorumAt(), true
	}
	if c.heardAt == 0 {
		return 0, false
	}
	return c.clock - c.heardAt + c.heardAge, true
}
