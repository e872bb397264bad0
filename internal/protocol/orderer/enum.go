package orderer

import (
	"strings"

	"github.com/juju/errors"
)

//go:generate stringer -type=Role,AdapterPhase,CacheEventKind,Endpoint -output=enum_string.go

// Role is the part of the generation work that an engine performs.
type Role int

// The roles of an engine.
const (
	// Both means prefill and decode. It is the initial role of an engine.
	Both Role = iota
	// Prefill means that the engine processes prompts and retains the result until it
	// is exported.
	Prefill
	// Decode means that the engine only continues imported requests.
	Decode
)

// AdapterPhase is the phase of an adapter slot.
type AdapterPhase int

// The phases of an adapter slot that an engine reports.
const (
	// Loading means that the weights are being loaded and the adapter can't be used yet.
	Loading AdapterPhase = iota
	// Resident means that the adapter can be used.
	Resident
)

// CacheEventKind is the kind of a change to blocks of a prefix cache.
type CacheEventKind int

// The kinds of cache events.
const (
	// Stored means that the blocks were added to the cache.
	Stored CacheEventKind = iota
	// Evicted means that the blocks were removed from the cache.
	Evicted
)

// Endpoint is one of the two generation endpoints.
type Endpoint int

// The generation endpoints.
const (
	// Completions accepts a prompt.
	Completions Endpoint = iota
	// ChatCompletions accepts messages.
	ChatCompletions
)

// Path returns the URL path of the endpoint.
func (e Endpoint) Path() string {
	if e == ChatCompletions {
		return PathChatCompletions
	}
	return PathCompletions
}

// MarshalText returns the name of the role in lower case, as in the engine protocol.
func (r Role) MarshalText() ([]byte, error) {
	return []byte(strings.ToLower(r.String())), nil
}

// UnmarshalText sets the role by its name, ignoring case.
func (r *Role) UnmarshalText(text []byte) error {
	for _, known := range []Role{Both, Prefill, Decode} {
		if strings.EqualFold(known.String(), string(text)) {
			*r = known
			return nil
		}
	}
	return errors.NotValidf("role %q", text)
}

// MarshalText returns the name of the phase.
func (p AdapterPhase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText sets the phase by its name.
func (p *AdapterPhase) UnmarshalText(text []byte) error {
	for _, known := range []AdapterPhase{Loading, Resident} {
		if known.String() == string(text) {
			*p = known
			return nil
		}
	}
	return errors.NotValidf("adapter phase %q", text)
}

// MarshalText returns the name of the kind.
func (k CacheEventKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets the kind by its name.
func (k *CacheEventKind) UnmarshalText(text []byte) error {
	for _, known := range []CacheEventKind{Stored, Evicted} {
		if known.String() == string(text) {
			*k = known
			return nil
		}
	}
	return errors.NotValidf("cache event kind %q", text)
}
