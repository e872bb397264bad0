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
	// ID is the ID of this host in ControlHosts; by default that of the control host
	// whose address is Listen.
	ID uint64

	// Listen is the IP and port of the messenger listener, to which control hosts,
	// entries and companions connect. Required.
	Listen string

	// Group is the name of the control group. A host ignores messages of other
	// groups. Required.
	Group string

	// Bootstrap makes this host form the group from ControlHosts if its data folder
	// is empty. It is set on the host with the lowest ID for its first start. On any
	// other host it is refused, since it would have no effect.
	Bootstrap bool

	// Join makes this host, if its data folder is empty, wait until the group adds it
	// as a learner. It excludes Bootstrap.
	Join bool

	// WantedVoters is the number of voters above which unresponsive ones are removed
	// automatically; 0 disables the removal.
	WantedVoters int

	// ElectionTimeout is the minimum time without contact to a leader after which a
	// follower starts an election; the actual time is drawn at random between
	// ElectionTimeout and twice that. DefaultElectionTimeout by default, and at least
	// three times HeartbeatInterval.
	ElectionTimeout Duration

	// HeartbeatInterval is the time between two heartbeats of a leader;
	// DefaultControlHeartbeat by default.
	HeartbeatInterval Duration

	// SnapshotEvery is the number of log entries after which a snapshot is written
	// and the log truncated; DefaultSnapshotEvery by default.
	SnapshotEvery int

	// LeaseDrift is the maximum drift between the clocks of two hosts within one
	// ElectionTimeout. A leader's lease ends this much before its followers may elect
	// another leader. DefaultLeaseDrift by default, and less than half of
	// ElectionTimeout.
	LeaseDrift Duration

	// MemberLease is the time without a heartbeat after which a backend server is
	// considered dead; DefaultMemberLease by default.
	MemberLease Duration

	// ConfigurationLease is the time without contact to a leader after which a node
	// no longer trusts its rules; DefaultConfigurationLease by default.
	ConfigurationLease Duration

	// StoreRate is the number of loads per second that the weight store allows;
	// DefaultStoreRate by default.
	StoreRate float64

	// StoreParallel is the number of concurrent loads that the weight store serves at
	// full speed; DefaultStoreParallel by default.
	StoreParallel int

	// StoreOverlap is the maximum number of loads in progress for each of
	// StoreParallel: while one engine activates the adapter it fetched, the store
	// serves the next load. Loads overlap only as long as the measurements show that
	// they don't slow each other down; DefaultStoreOverlap by default.
	StoreOverlap int

	// PermitExpiry is the time after which a load permit expires if its holder no
	// longer reports; DefaultPermitExpiry by default.
	PermitExpiry Duration

	// ClaimRetention is the time for which the claim of a non-idempotent call is
	// retained after its end; DefaultClaimRetention by default.
	ClaimRetention Duration

	// IdempotencyRetention is the time for which the first answer to an operator's
	// change is retained; DefaultIdempotencyRetention by default.
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

// control checks the section Control of s, and that the ID, failure domain and region of
// this host agree with ControlHosts: a host with the ID of another would vote in its
// place.
func (c *checker) control(s Settings) {
	t := s.Control
	c.path("DataFolder", s.DataFolder)
	c.address("Control.Listen", t.Listen)
	c.name("Control.Group", t.Group)
	if t.Bootstrap && t.Join {
		c.addProblem("Control.Join", "excludes Control.Bootstrap: a host forms a group or joins one")
	}
	id := s.ControlID()
	ownIndex := slices.IndexFunc(s.ControlHosts, func(h ControlHost) bool { return h.ID == id })
	switch {
	case id == 0 || ownIndex < 0:
		c.addProblem("Control.ID", "no host in ControlHosts has this host's ID or the address in Control.Listen")
	case t.Bootstrap && slices.ContainsFunc(s.ControlHosts, func(h ControlHost) bool { return h.ID < id }):
		// On another host the setting has no effect. The group would never be formed,
		// without an indication of the reason.
		c.addProblem("Control.Bootstrap", "has an effect only on the host with the lowest ID in ControlHosts")
	case s.ControlHosts[ownIndex].FailureDomain != s.FailureDomain:
		c.addProblem(elementPath("ControlHosts", ownIndex)+".FailureDomain", "differs from FailureDomain, %q", s.FailureDomain)
	case s.ControlHosts[ownIndex].Region != s.Region:
		c.addProblem(elementPath("ControlHosts", ownIndex)+".Region", "differs from Region, %q", s.Region)
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

// elections checks the settings for elections and their relations.
func (c *checker) elections(t ControlSettings) {
	checkRange(c, "Control.ElectionTimeout", t.ElectionTimeout, Duration(10*time.Millisecond), maxInterval)
	checkRange(c, "Control.HeartbeatInterval", t.HeartbeatInterval, minInterval, maxInterval)
	checkRange(c, "Control.LeaseDrift", t.LeaseDrift, Duration(time.Microsecond), maxInterval)
	if 3*t.HeartbeatInterval > t.ElectionTimeout {
		c.addProblem("Control.HeartbeatInterval", "more than a third of Control.ElectionTimeout, %v, so that one late heartbeat starts an election", t.ElectionTimeout)
	}
	if 2*t.LeaseDrift >= t.ElectionTimeout {
		c.addProblem("Control.LeaseDrift", "half of Control.ElectionTimeout, %v, or more, which leaves a leader no lease", t.ElectionTimeout)
	}
}
