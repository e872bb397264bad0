package storer

import (
	"time"
)

// Key names one resource.
type Key struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	// Workspace is empty for a member: backend servers are shared.
	Workspace string `cbor:"2,keyasint,omitempty"`
	// Name is unique within the kind and the workspace. A version's name is
	// ADAPTER@VERSION; a workspace's own Workspace and Name are equal.
	Name string `cbor:"3,keyasint,omitempty"`
}

// Metadata is the part of a resource which every kind has.
type Metadata struct {
	Workspace string
	Name      string
	// Revision is the log index of the command which last wrote the resource.
	Revision uint64
}

// Resource is one declared thing. Its Spec is what the operator asked for.
type Resource struct {
	Kind     Kind
	Metadata Metadata
	// Spec has the type which belongs to Kind.
	Spec Spec
}

// Key returns the name under which the resource is stored.
func (r Resource) Key() Key {
	return Key{Kind: r.Kind, Workspace: r.Metadata.Workspace, Name: r.Metadata.Name}
}

// Spec is the declared content of a resource: one of WorkspaceSpec,
// AdapterSpec, VersionSpec, PriorityRuleSpec, ServiceSpec, KeySpec, MemberSpec,
// RoutingSpec, NewestSpec and SuspectSpec.
type Spec interface{ spec() }

// WorkspaceSpec declares a workspace and its share of the engines.
type WorkspaceSpec struct {
	// Share weighs the workspace in queues, slots and load permits; 0 means 1.
	Share int `cbor:"1,keyasint,omitempty"`
	// MaxInFlight bounds the workspace's requests in progress at one entry; 0
	// means the entry's own limit.
	MaxInFlight int `cbor:"2,keyasint,omitempty"`
	// TokenRate is the workspace's quota over all entries together, in tokens of prompts and
	// answers a second; 0 means no limit.
	TokenRate int64 `cbor:"3,keyasint,omitempty"`
	// TokenBurst is what of the quota may be saved up, in tokens; 0 means that of a second.
	TokenBurst int64 `cbor:"4,keyasint,omitempty"`
}

// AdapterSpec declares an adapter of a base model.
type AdapterSpec struct {
	BaseModel string `cbor:"1,keyasint,omitempty"`
	// Current is the version which answers calls naming no version. It may be
	// empty; then such calls are refused.
	Current string `cbor:"2,keyasint,omitempty"`
}

// VersionSpec declares one immutable version of an adapter.
type VersionSpec struct {
	// Source is the path of the weights in the weight store.
	Source string `cbor:"1,keyasint,omitempty"`
	// Digest is the hexadecimal SHA-256 of the weights; it may be empty.
	Digest string `cbor:"2,keyasint,omitempty"`
	// SizeBytes is the size of the weights.
	SizeBytes int64 `cbor:"3,keyasint,omitempty"`
}

// PriorityRuleSpec decides whose work comes first inside a workspace. The rule
// with the most specific match wins: adapter and key, adapter, key, neither;
// among equals the one with the smaller name.
type PriorityRuleSpec struct {
	// Adapter limits the rule to one adapter; empty means all.
	Adapter string `cbor:"1,keyasint,omitempty"`
	// Key limits the rule to callers with one key's name; empty means all.
	Key string `cbor:"2,keyasint,omitempty"`
	// Priority ranges from 0, last, to 9, first.
	Priority int `cbor:"3,keyasint,omitempty"`
	// DeadlineMillis is the deadline given to calls which bring none; 0 means
	// the entry's own.
	DeadlineMillis int64 `cbor:"4,keyasint,omitempty"`
}

// ServiceSpec declares a plain service. Calls which match neither list are
// non-idempotent.
type ServiceSpec struct {
	IdempotentMethods []string `cbor:"1,keyasint,omitempty"`
	// IdempotentPaths are path prefixes below the service.
	IdempotentPaths []string `cbor:"2,keyasint,omitempty"`
}

// KeySpec declares a caller's bearer key by its hash.
type KeySpec struct {
	// Hash is the hexadecimal SHA-256 of the bearer key.
	Hash     string `cbor:"1,keyasint,omitempty"`
	Disabled bool   `cbor:"2,keyasint,omitempty"`
}

//go:generate stringer -type=MemberKind -trimprefix=MemberKind

// MemberKind tells what a backend server runs.
type MemberKind int

// The kinds of backend servers.
const (
	MemberKindEngine MemberKind = iota
	MemberKindService
)

//go:generate stringer -type=MemberState -trimprefix=MemberState

// MemberState tells whether a backend server takes new work.
type MemberState int

// The states of a backend server's membership.
const (
	// MemberStateServing takes new work.
	MemberStateServing MemberState = iota
	// MemberStateLeaving finishes what it has and takes nothing new.
	MemberStateLeaving
)

// MemberSpec is the announcement of a backend server by its companion.
type MemberSpec struct {
	Kind  MemberKind  `cbor:"1,keyasint,omitempty"`
	State MemberState `cbor:"2,keyasint,omitempty"`
	// Address is the companion's address for entries, IP:port.
	Address       string `cbor:"3,keyasint,omitempty"`
	Region        string `cbor:"4,keyasint,omitempty"`
	FailureDomain string `cbor:"5,keyasint,omitempty"`
	BaseModel     string `cbor:"6,keyasint,omitempty"`
	// Service is the name of the plain service as WORKSPACE/NAME or, where all
	// workspaces share it, NAME; empty for an engine.
	Service       string `cbor:"7,keyasint,omitempty"`
	Slots         int    `cbor:"8,keyasint,omitempty"`
	MaxBatch      int    `cbor:"9,keyasint,omitempty"`
	ChecksFencing bool   `cbor:"10,keyasint,omitempty"`
	Incarnation   string `cbor:"11,keyasint,omitempty"`
	// Epoch is the log index of the command which began this membership. It
	// fences orders: a later membership has a higher epoch.
	Epoch uint64 `cbor:"12,keyasint,omitempty"`
	// Instance is what a backend server keeps over its lives, and Born when this one
	// began, in milliseconds since 1970; both are empty where a life is known by its
	// Incarnation alone.
	Instance string `cbor:"13,keyasint,omitempty"`
	Born     uint64 `cbor:"14,keyasint,omitempty"`
	// Sequence is that of the message which the rest comes from; it rises within a
	// life. 0 means not told.
	Sequence uint64 `cbor:"15,keyasint,omitempty"`
}

// RoutingName is the name of the one routing configuration.
const RoutingName = "routing"

// RoutingSpec is a whole routing configuration.
type RoutingSpec struct {
	// Number is the operator's; the highest is in force.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	// Document is the configuration as the operator sent it, in the form of package
	// packer.
	Document []byte `cbor:"2,keyasint,omitempty"`
}

// NewestSpec names the newest version of an adapter or model.
type NewestSpec struct {
	Version uint64 `cbor:"1,keyasint,omitempty"`
}

func (WorkspaceSpec) spec()    {}
func (AdapterSpec) spec()      {}
func (VersionSpec) spec()      {}
func (PriorityRuleSpec) spec() {}
func (ServiceSpec) spec()      {}
func (KeySpec) spec()          {}
func (MemberSpec) spec()       {}
func (RoutingSpec) spec()      {}
func (NewestSpec) spec()       {}

// Change is one step of the resource history: a resource as written, or its
// deletion.
type Change struct {
	Revision uint64   `cbor:"1,keyasint,omitempty"`
	Resource Resource `cbor:"2,keyasint,omitempty"`
	// Deleted means that the resource ended at Revision; Resource then holds
	// its last content.
	Deleted bool `cbor:"3,keyasint,omitempty"`
}

// Instant is a leader's wall clock reading in nanoseconds since 1970, UTC.
type Instant int64

// InstantOf returns t as an Instant.
func InstantOf(t time.Time) Instant { return Instant(t.UnixNano()) }

// Time returns the instant as a time in UTC.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)).UTC() }
