package controller

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// hostPulsesPerNodePulse is the number of pulses that a leader sends to the other hosts
// for each pulse that they send to their nodes.
const hostPulsesPerNodePulse = 4

// tick runs the periodic tasks.
func (c *Control) tick() {
	defer c.workers.Done()
	s := c.settings
	ticker := time.NewTicker(s.TickInterval)
	defer ticker.Stop()
	var lastDigest, lastPulse, lastRenew, lastHostPulse time.Time
	lastTerm := uint64(0)
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		now := s.Now()
		pulseHosts := now.Sub(lastHostPulse) >= s.PulseInterval/hostPulsesPerNodePulse
		if pulseHosts {
			lastHostPulse = now
		}
		if c.refreshKnowledge(now, pulseHosts); c.knownTerm() != lastTerm {
			// Companions report their permits to a new leader once they know its term.
			// Pulsing at once lets loads continue earlier.
			lastTerm, lastPulse = c.knownTerm(), time.Time{}
		}
		if now.Sub(lastRenew) >= time.Duration(s.Control.MemberLease)/renewalsPerLease {
			lastRenew = now
			c.forwardRenewals()
		}
		if now.Sub(lastDigest) >= s.DigestInterval {
			lastDigest = now
			c.sendDigests()
			c.updateTally()
		}
		if now.Sub(lastPulse) >= s.PulseInterval {
			lastPulse = now
			c.eachSession(func(s *session) {
				s.mu.Lock()
				s.pulseDue = true
				s.mu.Unlock()
				s.wake()
			})
		}
	}
}

// refreshKnowledge updates the age of this host's knowledge of what is in force. If
// pulseHosts is set, a leader also sends pulses to the other hosts.
func (c *Control) refreshKnowledge(now time.Time, pulseHosts bool) {
	status := c.agreement.Status()
	c.links.updateMembers(status.Members)
	if age, ok := c.knowledgeAge(); ok {
		c.metrics.age.Set(age.Seconds())
	} else {
		c.metrics.age.Set(-1)
	}
	if status.Role != replicator.Leader || !c.agreement.LeaseValid() {
		return
	}
	d := c.currentDuties()
	if d == nil || d.term != status.Term {
		return
	}
	// LeaderContact is 0 while the lease is valid: this leader then holds every accepted
	// change.
	p := distributor.Pulse{Term: status.Term, Revision: c.store.Revision(), Entries: d.entryCount(len(status.Members)), Limits: d.limits(now)}
	c.applyPulse(now, p)
	if !pulseHosts {
		return
	}
	for _, address := range c.otherHosts() {
		c.relay.sendAsync("pulse "+address, func() {
			conn, err := c.pool.Conn(c.ctx, address)
			if err != nil {
				return
			}
			// A lost pulse is compensated by the next one.
			_ = conn.Notify(c.ctx, messenger.MethodPulse, p)
		})
	}
}

// applyPulse applies a leader's pulse.
func (c *Control) applyPulse(now time.Time, p distributor.Pulse) {
	held := c.store.Revision()
	c.knowledgeMu.Lock()
	defer c.knowledgeMu.Unlock()
	if p.Term < c.term {
		return
	}
	c.term, c.entries, c.limits = p.Term, p.Entries, p.Limits
	c.knowledge.Pulse(now, p, held)
	c.knowledge.Applied(held)
}

// knowledgeAge returns the time since this host was last known to hold everything
// accepted, and false if it never was.
func (c *Control) knowledgeAge() (time.Duration, bool) {
	c.knowledgeMu.Lock()
	defer c.knowledgeMu.Unlock()
	return c.knowledge.Age(c.settings.Now())
}

func (c *Control) knownTerm() uint64 {
	c.knowledgeMu.Lock()
	defer c.knowledgeMu.Unlock()
	return c.term
}

// pulse returns the pulse for an entry.
//
// It contains the current revision, which is no older than the revision that the age
// belongs to: the state of a node that holds the current revision is at most that old.
func (c *Control) pulse() distributor.Pulse {
	p := distributor.Pulse{Revision: c.store.Revision(), AgeMillis: -1}
	c.knowledgeMu.Lock()
	p.Term, p.Entries, p.Limits = c.term, c.entries, c.limits
	c.knowledgeMu.Unlock()
	age, ok := c.knowledgeAge()
	if ok {
		p.AgeMillis = age.Milliseconds()
	}
	if !ok || age > maxLimitsAge {
		p.Limits = nil
	}
	return p
}

// maxLimitsAge is the age of a host's knowledge beyond which it does not pass on the limits of
// backend servers, which may have ended.
const maxLimitsAge = 2 * time.Second

// otherHosts returns the addresses of the other members of the group.
func (c *Control) otherHosts() []string {
	var addresses []string
	for _, m := range c.agreement.Status().Members {
		if uint64(m.ID) != c.settings.ID {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
