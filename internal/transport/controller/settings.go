package controller

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

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

// linkBackOffMax bounds the pause before a control host that is down is dialled
// again. Control hosts are few, and one that has returned stays behind, with the
// nodes that rely on it, until the leader dials it: with the pool's default that
// took up to 3 s of the time in which a change is to be in force.
const linkBackOffMax = 250 * time.Millisecond

// linkDialTimeout bounds one dial of a control host: some twenty round trips between
// failure domains, a few between regions. A host without power does not answer at all,
// nor does a dial that has begun before it is back; all that is to be said to the host
// waits for its end. With the usual second, no leader was found after a loss of power
// until a second after the first host was back.
const linkDialTimeout = 300 * time.Millisecond

// renewParts is the part of a lease, as its divisor, for which a control host
// gathers renewals before it passes them on.
const renewParts = 10

// ReplicatedLog is the replicated log as a Control uses it. *replicator.Replicator
// is one.
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

// Settings are the options of a Control.
type Settings struct {
	// Node, Region and FailureDomain are this process's.
	Node          string
	Region        string
	FailureDomain string
	// ID is this host's number in the group.
	ID uint64
	// Hosts are the control hosts of the settings, by which those that are not
	// members yet are reached.
	Hosts []configurer.ControlHost
	// Control holds the settings of the role; its zero fields mean their
	// defaults.
	Control configurer.ControlSettings
	// DataFolder holds all durable state.
	DataFolder string

	// Listener takes the messenger connections. Control closes it.
	Listener net.Listener
	// Dial opens a connection to another host; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Messenger holds the intervals of connections; the rest is set here.
	Messenger messenger.Settings
	// Open makes the replicated log; nil means replicator.NewReplicator.
	Open func(replicator.Settings, *storer.Store, replicator.Transport) (ReplicatedLog, error)

	// TickInterval is the resolution of the duties; 0 means
	// DefaultTickInterval.
	TickInterval time.Duration
	// DigestInterval is the time between two digests of the backend servers; 0
	// means DefaultDigestInterval.
	DigestInterval time.Duration
	// PulseInterval is the time between two pulses to a node; 0 means
	// DefaultPulseInterval.
	PulseInterval time.Duration
	// FanoutInterval is the least time between two deltas to a node: a change
	// after a pause leaves at once, those of a burst leave together; 0 means
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

// replicator returns the options of the replicated log.
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
	if s.Control.Join || !s.Control.Bootstrap && s.lowest() {
		// The host with the lowest number forms the group; without Bootstrap it
		// waits, so that hosts which all lost their disks form no other one by
		// themselves.
		return rs
	}
	for _, h := range s.Hosts {
		rs.Bootstrap = append(rs.Bootstrap, replicator.Member{
			ID: replicator.HostID(h.ID), Address: h.Address, FailureDomain: h.FailureDomain, Voter: true,
		})
	}
	return rs
}

// lowest reports whether this host has the lowest number of all in the settings.
func (s Settings) lowest() bool {
	for _, h := range s.Hosts {
		if h.ID < s.ID {
			return false
		}
	}
	return true
}

// retention returns what the replicated state is to remember.
func (s Settings) retention() storer.Retention {
	return storer.Retention{
		IdempotencyAge: time.Duration(s.Control.IdempotencyRetention),
		ClaimAge:       time.Duration(s.Control.ClaimRetention),
	}
}
