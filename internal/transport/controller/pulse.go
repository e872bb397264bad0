package controller

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// hostPulses is the number of a leader's pulses to the other hosts for each one
// of theirs to their nodes.
const hostPulses = 4

// tick runs what recurs.
func (c *Control) tick() {
	defer c.workers.Done()
	s := c.settings
	ticker := time.NewTicker(s.TickInterval)
	defer ticker.Stop()
	var lastDigest, lastPulse, lastRenew, lastHosts time.Time
	lastTerm := uint64(0)
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		now := s.Now()
		hosts := now.Sub(lastHosts) >= s.PulseInterval/hostPulses
		if hosts {
			lastHosts = now
		}
		if c.refresh(now, hosts); c.knownTerm() != lastTerm {
			// Companions report their permits to a new leader once they have
			// heard of its term: the sooner, the sooner loads go on.
			lastTerm, lastPulse = c.knownTerm(), time.Time{}
		}
		if now.Sub(lastRenew) >= time.Duration(s.Control.MemberLease)/renewParts {
			lastRenew = now
			c.passRenewals()
		}
		if now.Sub(lastDigest) >= s.DigestInterval {
			lastDigest = now
			c.digest()
			c.count()
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

// refresh brings this host's knowledge of what is in force up to date, and on a
// leader, where hosts is set, that of the other hosts.
func (c *Control) refresh(now time.Time, hosts bool) {
	status := c.agreement.Status()
	c.links.learn(status.Members)
	if age, ok := c.freshness(); ok {
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
	// LeaderContact is 0 while the lease holds, so that nothing was accepted
	// that this leader does not know of.
	p := distributor.Pulse{Term: status.Term, Revision: c.store.Revision()}
	c.takePulse(now, p)
	if !hosts {
		return
	}
	for _, address := range c.others() {
		c.relay.send("pulse "+address, func() {
			conn, err := c.pool.Conn(c.ctx, address)
			if err != nil {
				return
			}
			// A lost pulse is made good by the next.
			_ = conn.Notify(c.ctx, messenger.MethodPulse, p)
		})
	}
}

// takePulse takes in a leader's pulse.
func (c *Control) takePulse(now time.Time, p distributor.Pulse) {
	held := c.store.Revision()
	c.freshMu.Lock()
	defer c.freshMu.Unlock()
	if p.Term < c.term {
		return
	}
	c.term = p.Term
	c.fresh.Pulse(now, p, held)
	c.fresh.Applied(held)
}

// freshness returns how long ago this host was known to hold all that was
// accepted, and false where it never was.
func (c *Control) freshness() (time.Duration, bool) {
	c.freshMu.Lock()
	defer c.freshMu.Unlock()
	return c.fresh.Age(c.settings.Now())
}

func (c *Control) knownTerm() uint64 {
	c.freshMu.Lock()
	defer c.freshMu.Unlock()
	return c.term
}

// pulse returns the pulse for a node.
//
// It tells the revision held now, which is no older than the one that the age
// belongs to: a node that holds it knows at least as much.
func (c *Control) pulse() distributor.Pulse {
	p := distributor.Pulse{Term: c.knownTerm(), Revision: c.store.Revision(), AgeMillis: -1}
	if age, ok := c.freshness(); ok {
		p.AgeMillis = age.Milliseconds()
	}
	return p
}

// others returns the addresses of the other members of the group.
func (c *Control) others() []string {
	var addresses []string
	for _, m := range c.agreement.Status().Members {
		if uint64(m.ID) != c.settings.ID {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
