package controller

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Defaults of Settings.
const (
	DefaultTickInterval   = 50 * time.Millisecond
	DefaultDigestInterval = 250 * time.Millisecond
	DefaultPulseInterval  = time.Second
	DefaultFanoutInterval = 50 * time.Millisecond
	DefaultCallTimeout    = 5 * time.Second
)

// linkBackOffMax bounds the pause before an unreachable control host is dialled again.
// There are few control hosts, and one that has restarted lags behind, together with its
// nodes, until the leader dials it. The pool's default delayed this by up to 3 s, out of
// the time within which a change should be in force.
const linkBackOffMax = 250 * time.Millisecond

// linkDialTimeout bounds one dial of a control host: some twenty round trips between
// failure domains, or a few between regions. A host without power does not answer, and a
// dial begun before it is back gets no answer either, while all messages to the host wait
// for that dial. With the usual timeout of a second, no leader was elected after a power
// failure until a second after the first host was back.
const linkDialTimeout = 300 * time.Millisecond

// renewalsPerLease is the number of renewal batches per member lease: a control host
// collects renewals for this fraction of a lease before it forwards them.
const renewalsPerLease = 10

// ReplicatedLog is the replicated log used by a Control. *replicator.Replicator
// implements it.
type ReplicatedLog interface {
	Propose(ctx context.Context, data []byte) (index uint64, result any, err error)
	Deliver(m replicator.Message)
	ReadBarrier(ctx context.Context) error
	LeaseValid() bool
	LeaderContact() time.Duration
	Leader() (replicator.Member, bool)
	Status() replicator.Status
	AddMember(ctx context.Context, m replicator.Member) error
	RemoveMember(ctx context.Context, id replicator.HostID) error
	TransferLeadership(ctx context.Context) error
	Close() error
}

// Settings configures a Control.
type Settings struct {
	// Node, Region and FailureDomain identify this process and its location.
	Node          string
	Region        string
	FailureDomain string
	// ID is this host's ID in the group.
	ID uint64
	// Hosts are the configured control hosts, used to reach hosts that are not members
	// yet.
	Hosts []configurer.ControlHost
	// Rejoin means that this host may have restarted while Hosts formed the group. See
	// replicator.Settings.
	Rejoin bool
	// Control holds the settings of the role. Zero fields mean their defaults.
	Control configurer.ControlSettings
	// DataFolder is the folder of all durable state.
	DataFolder string

	// Listener accepts the messenger connections. Control closes it.
	Listener net.Listener
	// Dial opens a connection to another host; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Messenger holds the connection intervals; NewControl sets the other fields.
	Messenger messenger.Settings
	// Allotter limits the connections that Listener accepts; nil means no limit.
	Allotter *allotter.Allotter
	// Open opens the replicated log; nil means replicator.NewReplicator.
	Open func(replicator.Settings, *storer.Store, replicator.Transport) (ReplicatedLog, error)

	// TickInterval is the resolution of the periodic tasks; 0 means DefaultTickInterval.
	TickInterval time.Duration
	// DigestInterval is the time between two digests of the backend servers; 0 means
	// DefaultDigestInterval.
	DigestInterval time.Duration
	// PulseInterval is the time between two pulses to a node; 0 means
	// DefaultPulseInterval.
	PulseInterval time.Duration
	// FanoutInterval is the minimum time between two deltas to a node: a change after a
	// pause is sent at once, and those of a burst are sent together; 0 means
	// DefaultFanoutInterval.
	FanoutInterval time.Duration

	Recorder   *recorder.Recorder
	Registerer prometheus.Registerer
	Log        zerolog.Logger
	// Now is a clock with monotonic readings; nil means time.Now.
	Now func() time.Time
	// Random is the source of jitter. Required.
	Random *rand.Rand
}

func (s Settings) withDefaults() Settings {
	s.Control = configurer.Settings{Control: s.Control}.WithDefaults().Control
	s.TickInterval = cmp.Or(s.TickInterval, DefaultTickInterval)
	s.DigestInterval = cmp.Or(s.DigestInterval, DefaultDigestInterval)
	s.PulseInterval = cmp.Or(s.PulseInterval, DefaultPulseInterval)
	s.FanoutInterval = cmp.Or(s.FanoutInterval, DefaultFanoutInterval)
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Open == nil {
		s.Open = func(rs replicator.Settings, st *storer.Store, t replicator.Transport) (ReplicatedLog, error) {
			return replicator.NewReplicator(rs, st, t)
		}
	}
	s.Messenger.Recorder = s.Recorder
	s.Messenger.Log = s.Log
	return s
}

// replicator returns the settings of the replicated log.
func (s Settings) replicator() replicator.Settings {
	self := replicator.Member{ID: replicator.HostID(s.ID), Address: s.Control.Listen, FailureDomain: s.FailureDomain, Voter: true}
	rs := replicator.Settings{
		Group:             s.Control.Group,
		Self:              self,
		DataFolder:        s.DataFolder,
		Join:              s.Control.Join,
		ElectionTimeout:   time.Duration(s.Control.ElectionTimeout),
		HeartbeatInterval: time.Duration(s.Control.HeartbeatInterval),
		LeaseDrift:        time.Duration(s.Control.LeaseDrift),
		SnapshotEvery:     uint64(s.Control.SnapshotEvery),
		Now:               s.Now,
		Log:               s.Log,
	}
	if s.Rejoin {
		rs.Join, rs.Rejoin = false, true
	} else if s.Control.Join || !s.Control.Bootstrap && s.hasLowestID() {
		// The host with the lowest ID forms the group. Without Bootstrap it waits, so
		// that hosts that have all lost their disks do not form a new group on their own.
		return rs
	}
	for _, h := range s.Hosts {
		rs.Bootstrap = append(rs.Bootstrap, replicator.Member{
			ID: replicator.HostID(h.ID), Address: h.Address, FailureDomain: h.FailureDomain, Voter: true,
		})
	}
	return rs
}

// hasLowestID reports whether this host has the lowest ID of all configured hosts.
func (s Settings) hasLowestID() bool {
	for _, h := range s.Hosts {
		if h.ID < s.ID {
			return false
		}
	}
	return true
}

// retention returns how long the replicated state keeps idempotency keys and claims.
func (s Settings) retention() storer.Retention {
	return storer.Retention{
		IdempotencyAge: time.Duration(s.Control.IdempotencyRetention),
		ClaimAge:       time.Duration(s.Control.ClaimRetention),
	}
}
