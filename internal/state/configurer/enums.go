package configurer

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

//go:generate stringer -type=Role -trimprefix=Role
//go:generate stringer -type=BackendKind -trimprefix=BackendKind
//go:generate stringer -type=Policy -trimprefix=Policy
//go:generate stringer -type=LogLevel -trimprefix=LogLevel
//go:generate stringer -type=LogFormat -trimprefix=LogFormat

// Role is a part that a process plays in a deployment.
type Role int

// The roles.
const (
	// RoleEntry takes the calls and chooses the backend servers.
	RoleEntry Role = iota
	// RoleCompanion stands beside a backend server and gives its orders.
	RoleCompanion
	// RoleControl holds the replicated log and grants load permits.
	RoleControl
)

// BackendKind is the kind of a backend server.
type BackendKind int

// The kinds of backend servers.
const (
	// BackendKindEngine is a model engine with adapter slots.
	BackendKindEngine BackendKind = iota
	// BackendKindService is a plain service.
	BackendKindService
)

// Policy is a way to choose a backend server.
type Policy int

// The policies. All but PolicyMarigold are baselines to measure against.
const (
	// PolicyMarigold weighs residency, load stalls and batch fill.
	PolicyMarigold Policy = iota
	// PolicyRandom chooses at random.
	PolicyRandom
	// PolicyLeastLoaded chooses the one with the fewest requests.
	PolicyLeastLoaded
	// PolicyConsistentHash chooses by a hash of the adapter alone.
	PolicyConsistentHash
)

// LogLevel is the weight of a log line.
type LogLevel int

// The log levels. LogLevelInfo stands first, since it is the default.
const (
	// LogLevelInfo logs what operators follow in ordinary work.
	LogLevelInfo LogLevel = iota
	// LogLevelDebug logs each decision too.
	LogLevelDebug
	// LogLevelWarn logs only what may need attention.
	LogLevelWarn
	// LogLevelError logs only failures.
	LogLevelError
)

// LogFormat is the form of a log line.
type LogFormat int

// The log formats.
const (
	// LogFormatJSON writes one JSON object a line.
	LogFormatJSON LogFormat = iota
	// LogFormatConsole writes coloured text for a terminal.
	LogFormatConsole
)

// MarshalText returns the name of r.
func (r Role) MarshalText() ([]byte, error) {
	return marshalEnum(r, RoleControl)
}

// UnmarshalText sets r by its name.
func (r *Role) UnmarshalText(text []byte) error {
	return unmarshalEnum(r, RoleControl, text)
}

// MarshalText returns the name of k.
func (k BackendKind) MarshalText() ([]byte, error) {
	return marshalEnum(k, BackendKindService)
}

// UnmarshalText sets k by its name.
func (k *BackendKind) UnmarshalText(text []byte) error {
	return unmarshalEnum(k, BackendKindService, text)
}

// MarshalText returns the name of p.
func (p Policy) MarshalText() ([]byte, error) {
	return marshalEnum(p, PolicyConsistentHash)
}

// UnmarshalText sets p by its name.
func (p *Policy) UnmarshalText(text []byte) error {
	return unmarshalEnum(p, PolicyConsistentHash, text)
}

// MarshalText returns the name of l.
func (l LogLevel) MarshalText() ([]byte, error) {
	return marshalEnum(l, LogLevelError)
}

// UnmarshalText sets l by its name.
func (l *LogLevel) UnmarshalText(text []byte) error {
	return unmarshalEnum(l, LogLevelError, text)
}

// MarshalText returns the name of f.
func (f LogFormat) MarshalText() ([]byte, error) {
	return marshalEnum(f, LogFormatConsole)
}

// UnmarshalText sets f by its name.
func (f *LogFormat) UnmarshalText(text []byte) error {
	return unmarshalEnum(f, LogFormatConsole, text)
}

// enum is an integer type with names from stringer, whose values run from zero.
type enum interface {
	~int
	fmt.Stringer
}

// marshalEnum returns the name of v, which lies between zero and last.
func marshalEnum[T enum](v, last T) ([]byte, error) {
	if v < 0 || v > last {
		return nil, errors.NotValidf("%T %d", v, int(v))
	}
	return []byte(v.String()), nil
}

// unmarshalEnum sets v to the value between zero and last that has the name in
// text.
func unmarshalEnum[T enum](v *T, last T, text []byte) error {
	var names []string
	for e := T(0); e <= last; e++ {
		if e.String() == string(text) {
			*v = e
			return nil
		}
		names = append(names, e.String())
	}
	return errors.Errorf("%q is none of %s", text, strings.Join(names, ", "))
}
