package distributor

import "marigoldpoint.example/marigoldpoint/internal/state/storer"

// Subscribe begins a subscription. A second one on the same connection replaces
// the first.
type Subscribe struct {
	// Group is the name of the control group; empty takes any. A node never
	// takes configuration of another group.
	Group string
	// Formation is the number of the group that the node's configuration is
	// from; 0 while it has none. Revisions of two formations can't be compared.
	Formation     uint64
	Node          string
	Region        string
	FailureDomain string
	Scope         Scope
	// Backend is the name of a companion's own backend server.
	Backend string
	// After is the revision which the node holds.
	After uint64
}

// Subscribed answers Subscribe.
type Subscribed struct {
	// Host is the control host's node name.
	Host string
	// Formation is the number of the host's group; 0 while it belongs to none.
	Formation uint64
	// Revision is what the host holds. It may lie below the node's After; then
	// deltas begin once the host has passed it.
	Revision uint64
}

// Delta carries configuration to a node, in order of revision. It travels as
// Packed.
type Delta struct {
	// Reset tells that Resources are a page of the whole state.
	Reset bool
	// Last ends the pages of a reset, or a delta.
	Last bool
	// From is the revision that the delta builds on; 0 in a reset, which builds
	// on none. A node that holds less has lost a delta.
	From uint64
	// UpTo is the revision that the node holds after the delta.
	UpTo      uint64
	Changes   []storer.Change
	Resources []storer.Resource
}

// AcknowledgeRevision tells the host that a node has applied all up to a
// revision.
type AcknowledgeRevision struct {
	Revision uint64
	// Batches is the number of deltas of this subscription taken in so far.
	Batches uint64
}

// Pulse is the heartbeat of a control host to its subscribers.
type Pulse struct {
	// Term is the newest leader's term that the host knows.
	Term uint64
	// AgeMillis is how long ago the host was known to hold all that the leader
	// had committed; -1 means never.
	AgeMillis int64
	// Revision is what the host held then.
	Revision uint64
}

// NodeRevision tells that a node lacks a revision.
type NodeRevision struct {
	Node          string
	FailureDomain string
	Scope         Scope
	// Revision is what the node holds.
	Revision uint64
	// Connected tells that the node has a subscription.
	Connected bool
	// BehindMillis is how long ago the node was last known to hold all that its
	// host held.
	BehindMillis int64
}

// TallyRequest asks a control host how many of its nodes hold a revision.
type TallyRequest struct{ Revision uint64 }

// TallyAnswer is a control host's answer to TallyRequest.
type TallyAnswer struct {
	Host string
	// Holding names the nodes with a subscription that hold the revision; only
	// their number matters, unless another host lists them as missing.
	Holding []string
	Missing []NodeRevision
}

// InForce tells how far a revision has come.
type InForce struct {
	Revision uint64
	// Holding counts the nodes that hold the revision.
	Holding int
	// Lacking counts the nodes known that don't.
	Lacking int
	// Missing lists them, up to MissingLimit, longest behind first.
	Missing []NodeRevision
	// Unreachable names the control hosts that did not answer: their nodes are
	// in neither count.
	Unreachable []string
}
