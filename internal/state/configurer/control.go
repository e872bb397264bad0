package configurer

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of ControlSettings.
const (
	DefaultElectionTimeout      = Duration(600 * time.Millisecond)
	DefaultControlHeartbeat     = Duration(100 * time.Millisecond)
	DefaultSnapshotEvery        = 50000
	DefaultLeaseDrift           = Duration(60 * time.Millisecond)
	DefaultMemberLease          = Duration(3 * time.Second)
	DefaultConfigurationLease   = Duration(10 * time.Second)
	DefaultStoreRate            = 3.0
	DefaultStoreParallel        = 1
	DefaultStoreOverlap         = 4
	DefaultPermitExpiry         = Duration(30 * time.Second)
	DefaultClaimRetention       = Duration(30 * time.Minute)
	DefaultIdempotencyRetention = Duration(24 * time.Hour)
)

// ControlSettings are the settings of a control host.
type ControlSettings struct {
	// ID is this host's identity in ControlHosts; by default that of the
	// control host whose address is Listen.
	ID uint64

	// Listen is the IP and port of the messenger listener, on which control
	// hosts, entries and companions call this host. Required.
	Listen string

	// Group is the name of the control group. A host answers no message of
	// another group. Required.
	Group string

	// Bootstrap has this host form the group out of ControlHosts, where its
	// data folder is empty. Set it on the host with the lowest ID, for its
	// first start; on any other it is refused, since it has no effect there.
	Bootstrap bool

	// Join has this host, with an empty data folder, wait until the group takes
	// it in as a learner. It excludes Bootstrap.
	Join bool

	// WantedVoters is the number of voters above which silent ones are removed
	// without an operator; 0 leaves that to operators.
	WantedVoters int

	// ElectionTimeout is the least time without word from a leader after which
	// a follower seeks an election; the real one is drawn from it to its
	// double. DefaultElectionTimeout by default, and at least three times
	// HeartbeatInterval.
	ElectionTimeout Duration

	// HeartbeatInterval is the time between two heartbeats of a leader;
	// DefaultControlHeartbeat by default.
	HeartbeatInterval Duration

	// SnapshotEvery is the number of log entries after which a snapshot is
	// taken and the log cut; DefaultSnapshotEvery by default.
	SnapshotEvery int

	// LeaseDrift is the most by which the clocks of two hosts run apart over
	// one ElectionTimeout: a leader's lease ends that much before its
	// followers may elect another. DefaultLeaseDrift by default, and less than
	// half of ElectionTimeout.
	LeaseDrift Duration

	// MemberLease is the time without heartbeat after which a backend server
	// is held for dead; DefaultMemberLease by default.
	MemberLease Duration

	// ConfigurationLease is the time without contact to a leader after which a
	// node no longer trusts the rules it holds; DefaultConfigurationLease by
	// default.
	ConfigurationLease Duration

	// StoreRate is the number of loads per second that the weight store
	// allows; DefaultStoreRate by default.
	StoreRate float64

	// StoreParallel is the number of loads that the weight store serves at full
	// speed at once; DefaultStoreParallel by default.
	StoreParallel int

	// StoreOverlap is the most loads in progress for each of StoreParallel:
	// while one engine activates what it fetched, the store serves the next.
	// They overlap only as far as they are seen not to slow each other down;
	// DefaultStoreOverlap by default.
	StoreOverlap int

	// PermitExpiry is the life of a load permit whose holder no longer
	// reports; DefaultPermitExpiry by default.
	PermitExpiry Duration

	// ClaimRetention is the time for which the claim of a non-idempotent call
	// is remembered after its end; DefaultClaimRetention by default.
	ClaimRetention Duration

	// IdempotencyRetention is the time for which the first answer to an
	// operator's change is remembered; DefaultIdempotencyRetention by default.
	IdempotencyRetention Duration
}

func (c ControlSettings) withDefaults() ControlSettings {
	c.ElectionTimeout = cmp.Or(c.ElectionTimeout, DefaultElectionTimeout)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultControlHeartbeat)
	c.SnapshotEvery = cmp.Or(c.SnapshotEvery, DefaultSnapshotEvery)
	c.LeaseDrift = cmp.Or(c.LeaseDrift, DefaultLeaseDrift)
	c.MemberLease = cmp.Or(c.MemberLease, DefaultMemberLease)
	c.ConfigurationLease = cmp.Or(c.ConfigurationLease, DefaultConfigurationLease)
	c.StoreRate = cmp.Or(c.StoreRate, DefaultStoreRate)
	c.StoreParallel = cmp.Or(c.StoreParallel, DefaultStoreParallel)
	c.StoreOverlap = cmp.Or(c.StoreOverlap, DefaultStoreOverlap)
	c.PermitExpiry = cmp.Or(c.PermitExpiry, DefaultPermitExpiry)
	c.ClaimRetention = cmp.Or(c.ClaimRetention, DefaultClaimRetention)
	c.IdempotencyRetention = cmp.Or(c.IdempotencyRetention, DefaultIdempotencyRetention)
	return c
}

// control checks the section Control of s, and that s names this host as
// ControlHosts does: a host under the identity of another would vote for it.
func (c *checker) control(s Settings) {
	t := s.Control
	c.path("DataFolder", s.DataFolder)
	c.address("Control.Listen", t.Listen)
	c.name("Control.Group", t.Group)
	if t.Bootstrap && t.Join {
		c.fault("Control.Join", "excludes Control.Bootstrap: a host forms a group or joins one")
	}
	id := s.ControlID()
	own := slices.IndexFunc(s.ControlHosts, func(h ControlHost) bool { return h.ID == id })
	switch {
	case id == 0 || own < 0:
		c.fault("Control.ID", "no host in ControlHosts has this host's ID or the address in Control.Listen")
	case t.Bootstrap && slices.ContainsFunc(s.ControlHosts, func(h ControlHost) bool { return h.ID < id }):
		// Elsewhere it has no effect: the group would never come up, and
		// nothing would tell why.
		c.fault("Control.Bootstrap", "has an effect only on the host with the lowest ID in ControlHosts")
	case s.ControlHosts[own].FailureDomain != s.FailureDomain:
		c.fault(element("ControlHosts", own)+".FailureDomain", "differs from FailureDomain, %q", s.FailureDomain)
	case s.ControlHosts[own].Region != s.Region:
		c.fault(element("ControlHosts", own)+".Region", "differs from Region, %q", s.Region)
	}
	c.elections(t)
	checkRange(c, "Control.WantedVoters", t.WantedVoters, 0, maxVoters)
	checkRange(c, "Control.SnapshotEvery", t.SnapshotEvery, 100, maxCount)
	checkRange(c, "Control.MemberLease", t.MemberLease, Duration(100*time.Millisecond), maxInterval)
	checkRange(c, "Control.ConfigurationLease", t.ConfigurationLease, Duration(time.Second), Duration(time.Hour))
	checkRange(c, "Control.StoreRate", t.StoreRate, 0.001, 10000)
	checkRange(c, "Control.StoreParallel", t.StoreParallel, 1, 1000)
	checkRange(c, "Control.StoreOverlap", t.StoreOverlap, 1, 100)
	checkRange(c, "Control.PermitExpiry", t.PermitExpiry, Duration(time.Second), Duration(time.Hour))
	checkRange(c, "Control.ClaimRetention", t.ClaimRetention, Duration(time.Minute), 30*maxTimeout)
	checkRange(c, "Control.IdempotencyRetention", t.IdempotencyRetention, Duration(time.Minute), 30*maxTimeout)
}

// elections checks the times of elections against each other.
func (c *checker) elections(t ControlSettings) {
	checkRange(c, "Control.ElectionTimeout", t.ElectionTimeout, Duration(10*time.Millisecond), maxInterval)
	checkRange(c, "Control.HeartbeatInterval", t.HeartbeatInterval, minInterval, maxInterval)
	checkRange(c, "Control.LeaseDrift", t.LeaseDrift, Duration(time.Microsecond), maxInterval)
	if 3*t.HeartbeatInterval > t.ElectionTimeout {
		c.fault("Control.HeartbeatInterval", "more than a third of Control.ElectionTimeout, %v, so that one late heartbeat starts an election", t.ElectionTimeout)
	}
	if 2*t.LeaseDrift >= t.ElectionTimeout {
		c.fault("Control.LeaseDrift", "half of Control.ElectionTimeout, %v, or more, which leaves a leader no lease", t.ElectionTimeout)
	}
}
