package configurer

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of the settings that apply to all roles.
const (
	DefaultBalancerDelay = Duration(5 * time.Second)
	DefaultGracePeriod   = Duration(3 * time.Minute)
	DefaultRingSize      = 16384
)

// Settings are the settings of one process. The zero value of a field stands for the
// default in the field's comment; a required field has no default.
type Settings struct {
	// Node is the name of this process, unique in the deployment, such as
	// "atl-a-entry-1". Required.
	Node string

	// Region is the name of the host's region. Required.
	Region string

	// FailureDomain is the name of the host's failure domain, unique in the whole
	// deployment. Required.
	FailureDomain string

	// Roles are the roles of this process, each at most once. Required.
	Roles []Role

	// DataFolder is the absolute path of the folder for all durable state. Required
	// with RoleControl; the other roles store nothing on disk.
	DataFolder string

	// ControlHosts are the control hosts and their addresses. Required; the same in
	// all files of a deployment.
	ControlHosts []ControlHost

	// Control applies with RoleControl.
	Control ControlSettings

	// Entry applies with RoleEntry.
	Entry EntrySettings

	// Companion applies with RoleCompanion.
	Companion CompanionSettings

	// Operators configures the listener for operators.
	Operators OperatorsSettings

	// Peers configures the mutual authentication of the processes.
	Peers PeersSettings

	// Limits are what the process may use of its host.
	Limits LimitSettings

	// Log configures the log.
	Log LogSettings

	// Stop configures a planned stop.
	Stop StopSettings

	// Events configures the ring buffer of events.
	Events EventSettings
}

// ControlHost is one host of the control group.
type ControlHost struct {
	// ID identifies the host in the group. It is never 0, and must not be reused for
	// a host whose disk was lost.
	ID uint64

	// Address is the IP and port of the host's messenger listener.
	Address string

	// FailureDomain is the failure domain of the host.
	FailureDomain string

	// Region is the region of the host.
	Region string
}

// OperatorsSettings configure the listener for operators, which serves the resource API,
// metrics, health and events.
type OperatorsSettings struct {
	// Listen is the IP and port to which operators connect. Required.
	Listen string

	// KeyFile is the absolute path of the file with the operators' bearer key.
	// Required unless Listen is a loopback address.
	KeyFile string
}

// LogSettings configure the log.
type LogSettings struct {
	// Level is the lowest level that is logged; LogLevelInfo by default.
	Level LogLevel

	// Format is the format of a line; LogFormatJSON by default.
	Format LogFormat
}

// StopSettings configure a planned stop.
type StopSettings struct {
	// BalancerDelay is the time between reporting the process as not ready and
	// refusing new requests, in which the load balancer of the platform can react;
	// DefaultBalancerDelay by default.
	BalancerDelay Duration

	// GracePeriod is the maximum time for which a stop waits for requests in progress
	// after BalancerDelay; DefaultGracePeriod by default. It must not be shorter than
	// Entry.RequestTimeout or Companion.DrainTimeout, since a planned stop would then
	// abort requests.
	GracePeriod Duration
}

// EventSettings configure the ring buffer of events.
type EventSettings struct {
	// RingSize is the number of events retained; DefaultRingSize by default.
	RingSize int
}

// HasRole reports whether the process has role r.
func (s Settings) HasRole(r Role) bool {
	return slices.Contains(s.Roles, r)
}

// WithDefaults returns s with the default in place of each zero value that has one. The
// result shares its slices with s.
func (s Settings) WithDefaults() Settings {
	s.Control = s.Control.withDefaults()
	s.Entry = s.Entry.withDefaults()
	s.Companion = s.Companion.withDefaults()
	s.Stop.BalancerDelay = cmp.Or(s.Stop.BalancerDelay, DefaultBalancerDelay)
	s.Stop.GracePeriod = cmp.Or(s.Stop.GracePeriod, DefaultGracePeriod)
	s.Events.RingSize = cmp.Or(s.Events.RingSize, DefaultRingSize)
	return s
}

// ControlID returns the ID of this process in the control group: Control.ID, or else that
// of the control host whose address is Control.Listen. It returns 0 if there is neither.
func (s Settings) ControlID() uint64 {
	if s.Control.ID != 0 {
		return s.Control.ID
	}
	for _, h := range s.ControlHosts {
		if h.Address == s.Control.Listen {
			return h.ID
		}
	}
	return 0
}
