package storer

import (
	"time"
)

// Key identifies one resource.
type Key struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	// Workspace is empty for kinds that belong to no workspace, such as members:
	// backend servers are shared.
	Workspace string `cbor:"2,keyasint,omitempty"`
	// Name is unique within the kind and the workspace. A version's name is
	// ADAPTER@VERSION; for a workspace, Workspace and Name are equal.
	Name string `cbor:"3,keyasint,omitempty"`
}

// Metadata is the part of a resource that every kind has.
type Metadata struct {
	Workspace string
	Name      string
	// Revision is the log index of the command that last wrote the resource.
	Revision uint64
}

// Resource is one declared object. Its Spec is the declared content.
type Resource struct {
	Kind     Kind
	Metadata Metadata
	// Spec has the type that belongs to Kind.
	Spec Spec
}

// Key returns the key under which the resource is stored.
func (r Resource) Key() Key {
	return Key{Kind: r.Kind, Workspace: r.Metadata.Workspace, Name: r.Metadata.Name}
}

// Spec is the declared content of a resource: one of WorkspaceSpec,
// AdapterSpec, VersionSpec, PriorityRuleSpec, ServiceSpec, KeySpec, MemberSpec,
// RoutingSpec, NewestSpec, SuspectSpec, SoftwareSpec and
// PartSpec.
type Spec interface{ spec() }

// WorkspaceSpec declares a workspace and its share of the engines.
type WorkspaceSpec struct {
	// Share is the weight of the workspace in queues, slots and load permits; 0
	// means 1.
	Share int `cbor:"1,keyasint,omitempty"`
	// MaxInFlight limits the workspace's requests in progress at one entry; 0
	// means the entry's own limit.
	MaxInFlight int `cbor:"2,keyasint,omitempty"`
	// TokenRate is the workspace's quota over all entries together, in tokens of prompts and
	// answers per second; 0 means no limit.
	TokenRate int64 `cbor:"3,keyasint,omitempty"`
	// TokenBurst is the capacity of the quota's token bucket, in tokens; 0 means the tokens
	// of one second.
	TokenBurst int64 `cbor:"4,keyasint,omitempty"`
}

// AdapterSpec declares an adapter of a base model.
type AdapterSpec struct {
	BaseModel string `cbor:"1,keyasint,omitempty"`
	// Current is the version that answers calls without a version. If it is
	// empty, such calls are refused.
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

// PriorityRuleSpec sets the priority of calls within a workspace. The rule with
// the most specific match applies: adapter and key, adapter, key, neither; among
// equally specific rules the one whose name sorts first.
type PriorityRuleSpec struct {
	// Adapter limits the rule to one adapter; empty means all.
	Adapter string `cbor:"1,keyasint,omitempty"`
	// Key limits the rule to callers with the key of this name; empty means all.
	Key string `cbor:"2,keyasint,omitempty"`
	// Priority ranges from 0, served last, to 9, served first.
	Priority int `cbor:"3,keyasint,omitempty"`
	// DeadlineMillis is the deadline, in milliseconds, of calls without one; 0
	// means the entry's own.
	DeadlineMillis int64 `cbor:"4,keyasint,omitempty"`
}

// ServiceSpec declares a plain service. Calls that match neither list are
// non-idempotent.
type ServiceSpec struct {
	IdempotentMethods []string `cbor:"1,keyasint,omitempty"`
	// IdempotentPaths are path prefixes relative to the service.
	IdempotentPaths []string `cbor:"2,keyasint,omitempty"`
}

// KeySpec declares a caller's bearer key by its hash.
type KeySpec struct {
	// Hash is the hexadecimal SHA-256 of the bearer key.
	Hash     string `cbor:"1,keyasint,omitempty"`
	Disabled bool   `cbor:"2,keyasint,omitempty"`
}

//go:generate stringer -type=MemberKind -trimprefix=MemberKind

// MemberKind is the kind of workload that a backend server runs.
type MemberKind int

// The kinds of backend servers.
const (
	MemberKindEngine MemberKind = iota
	MemberKindService
)

//go:generate stringer -type=MemberState -trimprefix=MemberState

// MemberState reports whether a backend server accepts new work.
type MemberState int

// The states of a backend server's membership.
const (
	// MemberStateServing accepts new work.
	MemberStateServing MemberState = iota
	// MemberStateLeaving finishes its work in progress and accepts no new work.
	MemberStateLeaving
)

// MemberSpec is the announcement of a backend server by its companion.
type MemberSpec struct {
	Kind  MemberKind  `cbor:"1,keyasint,omitempty"`
	State MemberState `cbor:"2,keyasint,omitempty"`
	// Address is the companion's address for entries, as IP:port.
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
	// Epoch is the log index of the command that began this membership. It
	// fences orders: a later membership has a higher epoch.
	Epoch uint64 `cbor:"12,keyasint,omitempty"`
	// Instance identifies the backend server over its incarnations, and Born is the
	// start time of this incarnation, in milliseconds since 1970. Both are empty if
	// only Incarnation identifies it.
	Instance string `cbor:"13,keyasint,omitempty"`
	Born     uint64 `cbor:"14,keyasint,omitempty"`
	// Sequence is the sequence number of the message from which this content was
	// taken; it increases within an incarnation. 0 means unknown.
	Sequence uint64 `cbor:"15,keyasint,omitempty"`
	// Software is the version of the backend server's software, an opaque, unordered
	// string; empty means unknown.
	Software string `cbor:"16,keyasint,omitempty"`
	// Weights is the version of the weights of BaseModel that the engine has loaded; 0 means
	// unknown.
	Weights uint64 `cbor:"17,keyasint,omitempty"`
}

// RoutingName is the resource name of the only routing configuration.
const RoutingName = "routing"

// RoutingSpec is a complete routing configuration.
type RoutingSpec struct {
	// Number is assigned by the operator; the highest is in force.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	// Document is the configuration as the operator sent it, packed by package
	// packer.
	Document []byte `cbor:"2,keyasint,omitempty"`
}

// NewestSpec is the newest version of an adapter or model.
type NewestSpec struct {
	Version uint64 `cbor:"1,keyasint,omitempty"`
}

// SoftwareSpec records whether the backend servers of a service have had more than one software
// version. If they have not, all streams of the service began at that version.
type SoftwareSpec struct {
	// Software is the first version (MemberSpec.SoftwareID). Several means that another one was
	// announced later.
	Software string `cbor:"1,keyasint,omitempty"`
	Several  bool   `cbor:"2,keyasint,omitempty"`
	// Engine means that a backend server of the service has been an engine.
	Engine bool `cbor:"3,keyasint,omitempty"`
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
func (SoftwareSpec) spec()     {}

// Change is one entry of the resource history: a resource as written, or its
// deletion.
type Change struct {
	Revision uint64   `cbor:"1,keyasint,omitempty"`
	Resource Resource `cbor:"2,keyasint,omitempty"`
	// Deleted means that the resource was deleted at Revision; Resource is its
	// last content.
	Deleted bool `cbor:"3,keyasint,omitempty"`
}

// Instant is a leader's wall clock reading, in nanoseconds since 1970, UTC.
type Instant int64

// InstantOf returns t as an Instant.
func InstantOf(t time.Time) Instant { return Instant(t.UnixNano()) }

// Time returns the instant as a time in UTC.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)).UTC() }
