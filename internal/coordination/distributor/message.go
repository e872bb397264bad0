package distributor

import (
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Subscribe starts a subscription. It replaces an earlier one on the same connection.
type Subscribe struct {
	// Group is the name of the control group; empty accepts any. A node never applies
	// configuration of another group.
	Group string
	// Formation is the number of the group from which the node's configuration
	// originates; 0 while it has none. Revisions of different formations are not
	// comparable.
	Formation     uint64
	Node          string
	Region        string
	FailureDomain string
	Scope         Scope
	// Backend is the name of a companion's own backend server.
	Backend string
	// After is the revision held by the node.
	After uint64
}

// Subscribed answers Subscribe.
type Subscribed struct {
	// Host is the control host's node name.
	Host string
	// Formation is the number of the host's group; 0 if it belongs to none.
	Formation uint64
	// Revision is the revision held by the host. If it is below the node's After,
	// deltas start when the host has passed After.
	Revision uint64
}

// Delta transfers configuration to a node, in order of revision. It is sent as Packed.
type Delta struct {
	// Reset reports that Resources is a page of the whole state.
	Reset bool
	// Last marks the last page of a reset. It is set in every delta that is not a
	// reset.
	Last bool
	// From is the revision that the delta builds on; 0 in a reset, which builds on
	// none. A node that holds an older revision has missed a delta.
	From uint64
	// UpTo is the revision held by the node after applying the delta.
	UpTo      uint64
	Changes   []storer.Change
	Resources []storer.Resource
}

// AcknowledgeRevision reports to the host that a node has applied everything up to a
// revision.
type AcknowledgeRevision struct {
	Revision uint64
	// Batches is the number of deltas of this subscription applied so far.
	Batches uint64
}

// Pulse is the heartbeat of a control host to its subscribers.
type Pulse struct {
	// Term is the latest leader's term known to the host.
	Term uint64
	// AgeMillis is the time, in milliseconds, since the host was last known to hold
	// everything committed by the leader; -1 means never.
	AgeMillis int64
	// Revision is the revision held by the host at that time.
	Revision uint64
	// Entries is the number of entries connected to all control hosts, as last known to the
	// leader; 0 means unknown.
	Entries int `json:",omitempty"`
	// Limits are the limits of backend servers whose requests the leader schedules. Only
	// control hosts and entries get them.
	Limits []regulator.ServerLimit `json:",omitempty"`
}

// NodeRevision describes a node that lacks a revision.
type NodeRevision struct {
	Node          string
	FailureDomain string
	Scope         Scope
	// Revision is the revision held by the node.
	Revision uint64
	// Connected reports whether the node has a subscription.
	Connected bool
	// BehindMillis is the time, in milliseconds, since the node was last known to hold
	// everything its host held.
	BehindMillis int64
}

// TallyRequest asks a control host which of its nodes hold a revision.
type TallyRequest struct{ Revision uint64 }

// TallyAnswer is a control host's answer to TallyRequest.
type TallyAnswer struct {
	Host string
	// Holding lists the subscribed nodes that hold the revision. The names are used to
	// exclude nodes that another host lists as missing.
	Holding []string
	Missing []NodeRevision
}

// InForce describes how far a revision has been distributed.
type InForce struct {
	Revision uint64
	// Holding is the number of nodes that hold the revision.
	Holding int
	// Lacking is the number of known nodes that do not hold it.
	Lacking int
	// Missing lists the lacking nodes, up to MissingLimit, those behind for the longest
	// time first.
	Missing []NodeRevision
	// Unreachable lists the control hosts that did not answer. Their nodes are in
	// neither count.
	Unreachable []string
}
