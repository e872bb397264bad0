package configurer

import (
	"cmp"
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
	// data folder is empty. Set it on exactly one host, for its first start.
	Bootstrap bool

	// Join has this host, with an empty data folder, wait until the group takes
	// it in as a learner. It excludes Bootstrap.
	Join bool

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
	c.PermitExpiry = cmp.Or(c.PermitExpiry, DefaultPermitExpiry)
	c.ClaimRetention = cmp.Or(c.ClaimRetention, DefaultClaimRetention)
	c.IdempotencyRetention = cmp.Or(c.IdempotencyRetention, DefaultIdempotencyRetention)
	return c
}
