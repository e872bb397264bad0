package configurer

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of the settings that every role shares.
const (
	DefaultBalancerDelay = Duration(5 * time.Second)
	DefaultGracePeriod   = Duration(3 * time.Minute)
	DefaultRingSize      = 16384
)

// Settings are the settings of one process. The zero value of a field stands
// for the default that the field's comment states; a field called required has
// none.
type Settings struct {
	// Node is the name of this process, unique in the deployment, such as
	// "atl-a-entry-1". Required.
	Node string

	// Region is the name of the region that the host stands in. Required.
	Region string

	// FailureDomain is the name of the failure domain that the host stands in,
	// unique over all regions. Required.
	FailureDomain string

	// Roles are the roles that this process runs, each at most once. Required.
	Roles []Role

	// DataFolder is the absolute path of the folder that holds all durable
	// state. Required with RoleControl; the other roles keep nothing on disk.
	DataFolder string

	// ControlHosts tell where the control hosts are found. Required; the same
	// in all files of a deployment.
	ControlHosts []ControlHost

	// Control is read with RoleControl.
	Control ControlSettings

	// Entry is read with RoleEntry.
	Entry EntrySettings

	// Companion is read with RoleCompanion.
	Companion CompanionSettings

	// Operators is the listener for operators.
	Operators OperatorsSettings

	// Peers says how the processes prove to each other who they are.
	Peers PeersSettings

	// Log says what is logged and how.
	Log LogSettings

	// Stop says how a planned stop goes.
	Stop StopSettings

	// Events sizes the ring of events.
	Events EventSettings
}

// ControlHost is one host of the control group.
type ControlHost struct {
	// ID is the host's identity in the group; never zero, never used again for
	// a host whose disk was lost.
	ID uint64

	// Address is the IP and port of the host's messenger listener.
	Address string

	// FailureDomain is the failure domain of the host.
	FailureDomain string

	// Region is the region of the host.
	Region string
}

// OperatorsSettings describe the listener for operators: resource API, metrics,
// health and events.
type OperatorsSettings struct {
	// Listen is the IP and port that operators reach. Required.
	Listen string

	// KeyFile is the absolute path of the file that holds the operators' bearer
	// key. Required unless Listen is on the loopback.
	KeyFile string
}

// LogSettings say what is logged and how.
type LogSettings struct {
	// Level is the lowest level that is logged; LogLevelInfo by default.
	Level LogLevel

	// Format is the form of a line; LogFormatJSON by default.
	Format LogFormat
}

// StopSettings say how a planned stop goes.
type StopSettings struct {
	// BalancerDelay is the time between turning unready and accepting nothing
	// more, in which the platform's balancer notices; DefaultBalancerDelay by
	// default.
	BalancerDelay Duration

	// GracePeriod is the longest time that a stop waits for requests in
	// progress after BalancerDelay; DefaultGracePeriod by default. No shorter
	// than Entry.RequestTimeout or Companion.DrainTimeout, or else a planned
	// stop cuts requests off.
	GracePeriod Duration
}

// EventSettings size the ring of events.
type EventSettings struct {
	// RingSize is the number of events kept; DefaultRingSize by default.
	RingSize int
}

// HasRole reports whether the process runs role r.
func (s Settings) HasRole(r Role) bool {
	return slices.Contains(s.Roles, r)
}

// WithDefaults returns s with the documented default in place of each zero
// value that has one. The slices are shared with s.
func (s Settings) WithDefaults() Settings {
	s.Control = s.Control.withDefaults()
	s.Entry = s.Entry.withDefaults()
	s.Companion = s.Companion.withDefaults()
	s.Stop.BalancerDelay = cmp.Or(s.Stop.BalancerDelay, DefaultBalancerDelay)
	s.Stop.GracePeriod = cmp.Or(s.Stop.GracePeriod, DefaultGracePeriod)
	s.Events.RingSize = cmp.Or(s.Events.RingSize, DefaultRingSize)
	return s
}

// ControlID returns the identity of this process in the control group: the ID
// in Control, or else that of the control host whose address is Control.Listen.
// It is zero where neither is there.
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
