package replicator

import "time"

// Status describes a replicator at some moment.
type Status struct {
	Group     string
	Formation uint64
	Self      HostID
	// Incarnation identifies this host's disk.
	Incarnation uint64
	Role        Role
	Term        uint64
	// Leader is the known leader, 0 for none.
	Leader HostID
	// Commit, Applied, Last and Snapshot are indices: of the last entry known
	// to be committed, applied, in the log, and in a snapshot.
	Commit, Applied, Last, Snapshot uint64
	// JournalBytes is the journal's size on the disk.
	JournalBytes int64
	// Members are those in force, committed or not.
	Members []Member
	// Silent are the voters that have not answered this leader for longer than
	// SilentTimeouts election timeouts; none on a host that doesn't lead.
	Silent []HostID
}

// SilentTimeouts is the number of election timeouts after which a voter counts as
// silent: long enough that a lost message or a short pause is passed over.
const SilentTimeouts = 2

// published is what the loop shows to callers.
type published struct {
	status Status
	// leaseUntil is the end of the lease, 0 for none.
	leaseUntil time.Duration
	// contactAt is when a leader with a majority was last certain.
	contactAt time.Duration
	// caughtUp lists the members that CaughtUp holds for.
	caughtUp []HostID
}

// publish shows the state after a turn of the loop. It comes before the turn's
// commits are applied, so that a caller who got an answer finds at least its
// index in Status and in the lease's commit.
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
		JournalBytes: r.replica.journal.Bytes(), Members: c.Configuration().Members, Silent: c.silent(),
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

// shown returns what was published last.
func (r *Replicator) shown() published {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.published
}

// Status returns the present state.
func (r *Replicator) Status() Status {
	s := r.shown().status
	r.ledger.lock.Lock()
	s.Applied = r.ledger.applied
	r.ledger.lock.Unlock()
	return s
}

// Leader returns the known leader and whether there is one.
func (r *Replicator) Leader() (Member, bool) {
	s := r.shown().status
	return Configuration{Members: s.Members}.Find(s.Leader)
}

// LeaseValid reports whether this host is the leader and no other host can have
// been elected, provided that clocks drift no further than LeaseDrift.
func (r *Replicator) LeaseValid() bool { return r.clock.read() < r.shown().leaseUntil }

// LeaderContact returns how long ago it was last certain that a leader with a
// majority existed: 0 on a leader whose lease holds, and the time since the
// start where none was heard of.
func (r *Replicator) LeaderContact() time.Duration {
	now, p := r.clock.read(), r.shown()
	if now < p.leaseUntil {
		return 0
	}
	return now - max(0, p.contactAt)
}
