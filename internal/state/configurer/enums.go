package configurer

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

//go:generate stringer -type=Role -trimprefix=Role
//go:generate stringer -type=BackendKind -trimprefix=BackendKind
//go:generate stringer -type=Policy -trimprefix=Policy
//go:generate stringer -type=PromptCache -trimprefix=PromptCache
//go:generate stringer -type=LogLevel -trimprefix=LogLevel
//go:generate stringer -type=LogFormat -trimprefix=LogFormat

// Role is a role of a process in a deployment.
type Role int

// The roles.
const (
	// RoleEntry accepts calls and chooses the backend servers.
	RoleEntry Role = iota
	// RoleCompanion manages one backend server and sends orders to it.
	RoleCompanion
	// RoleControl stores the replicated log and grants load permits.
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

// Policy is a policy for the choice of a backend server.
type Policy int

// The policies. All except PolicyMarigold are baselines for comparisons.
const (
	// PolicyMarigold chooses by residency, load stalls and batch fill.
	PolicyMarigold Policy = iota
	// PolicyRandom chooses at random.
	PolicyRandom
	// PolicyLeastLoaded chooses the backend server with the fewest requests.
	PolicyLeastLoaded
	// PolicyConsistentHash chooses only by a hash of the adapter.
	PolicyConsistentHash
)

// PromptCache specifies how cached beginnings of prompts affect the choice of a backend server.
type PromptCache int

// The values of PromptCache. PromptCacheAuto is the zero value, since it is the default.
const (
	// PromptCacheAuto is PromptCacheWeighed where backend servers report a slowdown factor,
	// else PromptCacheAffinity.
	PromptCacheAuto PromptCache = iota
	// PromptCacheOff ignores what is cached.
	PromptCacheOff
	// PromptCacheAffinity counts what was prefilled recently as cached.
	PromptCacheAffinity
	// PromptCacheWeighed weighs what is cached by the probability that it still is, where
	// backend servers report their memory, else as PromptCacheAffinity.
	PromptCacheWeighed
)

// LogLevel is the lowest severity that is logged.
type LogLevel int

// The log levels. LogLevelInfo is the zero value, since it is the default.
const (
	// LogLevelInfo logs normal operation, warnings and errors.
	LogLevelInfo LogLevel = iota
	// LogLevelDebug also logs individual decisions.
	LogLevelDebug
	// LogLevelWarn logs only conditions that may need attention, and errors.
	LogLevelWarn
	// LogLevelError logs only errors.
	LogLevelError
)

// LogFormat is the format of a log line.
type LogFormat int

// The log formats.
const (
	// LogFormatJSON writes one JSON object per line.
	LogFormatJSON LogFormat = iota
	// LogFormatConsole writes colored text for a terminal.
	LogFormatConsole
)

// MarshalText returns the name of r.
func (r Role) MarshalText() ([]byte, error) {
	return marshalEnum(r, RoleControl)
}

// UnmarshalText sets r to the role with the name in text.
func (r *Role) UnmarshalText(text []byte) error {
	return unmarshalEnum(r, RoleControl, text)
}

// MarshalText returns the name of k.
func (k BackendKind) MarshalText() ([]byte, error) {
	return marshalEnum(k, BackendKindService)
}

// UnmarshalText sets k to the kind with the name in text.
func (k *BackendKind) UnmarshalText(text []byte) error {
	return unmarshalEnum(k, BackendKindService, text)
}

// MarshalText returns the name of p.
func (p PromptCache) MarshalText() ([]byte, error) {
	return marshalEnum(p, PromptCacheWeighed)
}

// UnmarshalText sets p to the value with the name in text.
func (p *PromptCache) UnmarshalText(text []byte) error {
	return unmarshalEnum(p, PromptCacheWeighed, text)
}

// MarshalText returns the name of p.
func (p Policy) MarshalText() ([]byte, error) {
	return marshalEnum(p, PolicyConsistentHash)
}

// UnmarshalText sets p to the policy with the name in text.
func (p *Policy) UnmarshalText(text []byte) error {
	return unmarshalEnum(p, PolicyConsistentHash, text)
}

// MarshalText returns the name of l.
func (l LogLevel) MarshalText() ([]byte, error) {
	return marshalEnum(l, LogLevelError)
}

// UnmarshalText sets l to the level with the name in text.
func (l *LogLevel) UnmarshalText(text []byte) error {
	return unmarshalEnum(l, LogLevelError, text)
}

// MarshalText returns the name of f.
func (f LogFormat) MarshalText() ([]byte, error) {
	return marshalEnum(f, LogFormatConsole)
}

// UnmarshalText sets f to the format with the name in text.
func (f *LogFormat) UnmarshalText(text []byte) error {
	return unmarshalEnum(f, LogFormatConsole, text)
}

// enum is an integer type with names from stringer, whose values are consecutive from 0.
type enum interface {
	~int
	fmt.Stringer
}

// marshalEnum returns the name of v. It returns an error if v is not between 0 and last.
func marshalEnum[T enum](v, last T) ([]byte, error) {
	if v < 0 || v > last {
		return nil, errors.NotValidf("%T %d", v, int(v))
	}
	return []byte(v.String()), nil
}

// unmarshalEnum sets v to the value between 0 and last that has the name in text.
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
