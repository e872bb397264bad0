package subscriber

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/moderator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// Defaults of Settings.
const (
	DefaultDialTimeout    = time.Second
	DefaultRetryInterval  = 100 * time.Millisecond
	DefaultRetryMax       = 2 * time.Second
	DefaultCallTimeout    = 5 * time.Second
	DefaultReturnInterval = 30 * time.Second

	DefaultAcknowledgeInterval = 200 * time.Millisecond

	DefaultReportInterval         = 250 * time.Millisecond
	DefaultLowQuotaReportInterval = 100 * time.Millisecond
)

// Settings are the options of a Client.
type Settings struct {
	// Node, Region and FailureDomain describe this process.
	Node          string
	Region        string
	FailureDomain string
	// Group is the name of the control group; empty accepts any.
	Group string
	// Scope is the part of the configuration that the node needs.
	Scope distributor.Scope
	// Backend is the name of a companion's own backend server; Node by default.
	Backend string
	// Hosts are the control hosts. Required.
	Hosts []configurer.ControlHost
	// Index is the node's replica of the configuration. Required.
	Index distributor.Target

	// ConfigurationLease is the longest time since the replica was known to be complete for
	// which the node trusts it; 0 means configurer.DefaultConfigurationLease.
	ConfigurationLease time.Duration
	// CallTimeout limits a call whose context has no deadline; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
	// DialTimeout limits the dial and the subscription together; 0 means
	// DefaultDialTimeout.
	DialTimeout time.Duration
	// RetryInterval and RetryMax are the initial and the longest jittered pause after all
	// control hosts have failed; 0 means the defaults. RetryInterval is also the pause
	// between attempts of a call.
	RetryInterval time.Duration
	RetryMax      time.Duration
	// ReturnInterval is the time after which a client of a control host in another failure
	// domain tries its nearer hosts again; 0 means DefaultReturnInterval.
	ReturnInterval time.Duration

	// AcknowledgeInterval is the shortest time between two acknowledgements of deltas,
	// unless many are unacknowledged; 0 means DefaultAcknowledgeInterval.
	AcknowledgeInterval time.Duration

	// Keyed reports whether callers currently need API keys, so that the node must keep
	// confirming its replica; nil means never. Quotas in use are reported in any case.
	Keyed func() bool
	// ReportInterval is the time between two reports, and LowQuotaReportInterval the time
	// while a quota is nearly used up; 0 means the defaults.
	ReportInterval         time.Duration
	LowQuotaReportInterval time.Duration

	// OnLimits receives the limits of backend servers whose requests the leader schedules,
	// with each pulse of a control host; nil means that they are not needed.
	OnLimits func([]regulator.ServerLimit)

	// Moderator receives the times of round trips to control hosts and other peers; nil means
	// that none are measured.
	Moderator *moderator.Moderator
	// Peers returns the addresses of up to n random other hosts; required with Moderator.
	Peers func(random *rand.Rand, n int) []string

	// Messenger holds the intervals of connections; its other fields are set by the client.
	Messenger messenger.Settings
	Recorder  *recorder.Recorder
	// Registerer registers the node's metrics; nil means none.
	Registerer prometheus.Registerer
	Log        zerolog.Logger
	// Now is a clock with monotonic readings; nil means time.Now.
	Now func() time.Time
	// Random is the source of jitter. Required; it must not be used by others.
	Random *rand.Rand
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (s Settings) withDefaults() Settings {
	s.Backend = cmp.Or(s.Backend, s.Node)
	s.ConfigurationLease = cmp.Or(s.ConfigurationLease, time.Duration(configurer.DefaultConfigurationLease))
	s.CallTimeout = cmp.Or(s.CallTimeout, DefaultCallTimeout)
	s.DialTimeout = cmp.Or(s.DialTimeout, DefaultDialTimeout)
	s.RetryInterval = cmp.Or(s.RetryInterval, DefaultRetryInterval)
	s.RetryMax = cmp.Or(s.RetryMax, DefaultRetryMax)
	s.ReturnInterval = cmp.Or(s.ReturnInterval, DefaultReturnInterval)
	s.AcknowledgeInterval = cmp.Or(s.AcknowledgeInterval, DefaultAcknowledgeInterval)
	s.ReportInterval = cmp.Or(s.ReportInterval, DefaultReportInterval)
	s.LowQuotaReportInterval = cmp.Or(s.LowQuotaReportInterval, DefaultLowQuotaReportInterval)
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Dial == nil {
		s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	s.Messenger.Recorder = s.Recorder
	s.Messenger.Log = s.Log
	return s
}
