package replicator

import "time"

// Status is a snapshot of a replicator's state.
type Status struct {
	Group     string
	Formation uint64
	Self      HostID
	// Incarnation identifies this host's disk.
	Incarnation uint64
	Role        Role
	Term        uint64
	// Leader is the known leader, 0 if none.
	Leader HostID
	// Commit, Applied, Last and Snapshot are the indices of the last entry known to be committed,
	// the last applied one, the last one in the log, and the last one in a snapshot.
	Commit, Applied, Last, Snapshot uint64
	// Suspended is set while the host takes no part in the group, because its disk has failed.
	// Leader is then a host that claims to lead.
	Suspended bool
	// JournalBytes is the size of the journal on the disk.
	JournalBytes int64
	// Members are the members of the configuration in force, committed or not.
	Members []Member
	// Silent are the voters that have not answered this leader for longer than SilentTimeouts
	// election timeouts. It is empty on a host that does not lead.
	Silent []HostID
}

// SilentTimeouts is the number of election timeouts after which a voter counts as silent: long
// enough to tolerate a lost message or a short pause.
const SilentTimeouts = 2

// published is the state that the loop shows to callers.
type published struct {
	status Status
	// leaseUntil is the end of the lease, 0 if there is none.
	leaseUntil time.Duration
	// contactAt is the time at which a leader with a majority last provably existed, negative if
	// there was none.
	contactAt time.Duration
	// caughtUp lists the members for which CaughtUp holds.
	caughtUp []HostID
}

// publish publishes the state after an iteration of the loop. It is called before the iteration's
// commits are applied, so that a caller whose proposal has returned finds at least its index in
// Status and in the commit index used under the lease.
func (r *Replicator) publish() {
	c := r.replica.core
	p := published{leaseUntil: c.LeaseUntil(), contactAt: -1}
	if contact, ok := c.Contact(); ok {
		p.contactAt = c.clock - contact
	}
	p.status = Status{
		Group: r.settings.Group, Formation: r.replica.identity.Formation, Self: r.settings.Self.ID, Incarnation: r.replica.identity.Incarnation,
		Role: c.role, Term: c.hard.Term, Leader: c.leader,
		Commit: c.commit, Last: c.log.last(), Snapshot: c.snapshot.Index,
		JournalBytes: r.replica.journal.Bytes(), Members: c.Configuration().Members, Silent: c.silentVoters(),
	}
	for _, m := range p.status.Members {
		if c.CaughtUp(m.ID) {
			p.caughtUp = append(p.caughtUp, m.ID)
		}
	}
	r.lock.Lock()
	r.published = p
	r.lock.Unlock()
}

// lastPublished returns the state published last.
func (r *Replicator) lastPublished() published {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.published
}

// Status returns the current state.
func (r *Replicator) Status() Status {
	s := r.lastPublished().status
	r.pendingCalls.lock.Lock()
	s.Applied = r.pendingCalls.applied
	r.pendingCalls.lock.Unlock()
	return s
}

// Leader returns the known leader, and false if there is none.
func (r *Replicator) Leader() (Member, bool) {
	s := r.lastPublished().status
	return Configuration{Members: s.Members}.Find(s.Leader)
}

// LeaseValid reports whether this host leads and no other host can have been elected, provided that
// clocks drift no further than LeaseDrift.
func (r *Replicator) LeaseValid() bool { return r.clock.read() < r.lastPublished().leaseUntil }

// LeaderContact returns the time since a leader with a majority last provably existed: 0 on a
// leader whose lease holds, and the time since the start if there has been no contact.
func (r *Replicator) LeaderContact() time.Duration {
	now, p := r.clock.read(), r.lastPublished()
	if now < p.leaseUntil {
		return 0
	}
	return now - max(0, p.contactAt)
}
