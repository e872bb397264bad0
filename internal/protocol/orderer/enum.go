package orderer

import (
	"strings"

	"github.com/juju/errors"
)

//go:generate stringer -type=Role,AdapterPhase,CacheEventKind,Endpoint -output=enum_string.go

// Role is the part of the work that an engine takes.
type Role int

// The roles of an engine.
const (
	// Both prefills and decodes; it is what an engine starts as.
	Both Role = iota
	// Prefill computes prompts and holds the result until it is exported.
	Prefill
	// Decode goes on only with imported requests.
	Decode
)

// AdapterPhase is the phase of an adapter slot.
type AdapterPhase int

// The phases of an adapter slot that an engine reports.
const (
	// Loading means that the weights are on their way; the adapter can't be used.
	Loading AdapterPhase = iota
	// Resident means that the adapter can be used.
	Resident
)

// CacheEventKind tells what happened to blocks of a prefix cache.
type CacheEventKind int

// The kinds of cache events.
const (
	// Stored means that the blocks entered the cache.
	Stored CacheEventKind = iota
	// Evicted means that the blocks left the cache.
	Evicted
)

// Endpoint is one of the two generation endpoints.
type Endpoint int

// The generation endpoints.
const (
	// Completions takes a prompt.
	Completions Endpoint = iota
	// ChatCompletions takes messages.
	ChatCompletions
)

// Path returns the endpoint's path.
func (e Endpoint) Path() string {
	if e == ChatCompletions {
		return PathChatCompletions
	}
	return PathCompletions
}

// MarshalText writes the role in lower case, as the wire has it.
func (r Role) MarshalText() ([]byte, error) {
	return []byte(strings.ToLower(r.String())), nil
}

// UnmarshalText reads a role in any case. It returns an error for any other text.
func (r *Role) UnmarshalText(text []byte) error {
	for _, known := range []Role{Both, Prefill, Decode} {
		if strings.EqualFold(known.String(), string(text)) {
			*r = known
			return nil
		}
	}
	return errors.NotValidf("role %q", text)
}

// MarshalText writes the phase by its name.
func (p AdapterPhase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a phase by its name.
func (p *AdapterPhase) UnmarshalText(text []byte) error {
	for _, known := range []AdapterPhase{Loading, Resident} {
		if known.String() == string(text) {
			*p = known
			return nil
		}
	}
	return errors.NotValidf("adapter phase %q", text)
}

// MarshalText writes the kind by its name.
func (k CacheEventKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind by its name.
func (k *CacheEventKind) UnmarshalText(text []byte) error {
	for _, known := range []CacheEventKind{Stored, Evicted} {
		if known.String() == string(text) {
			*k = known
			return nil
		}
	}
	return errors.NotValidf("cache event kind %q", text)
}
