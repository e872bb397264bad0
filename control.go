package marigoldpoint

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// The components of a control host.
type (
	// PermitTable is the leader's table of load permits.
	PermitTable = permitter.Table
	// PermitSettings are a PermitTable's options.
	PermitSettings = permitter.Settings
	// PermitRequest is a request for a permit to load one version.
	PermitRequest = permitter.Request
	// PermitFinish ends a permit or withdraws a request.
	PermitFinish = permitter.Finish
	// PermitGrant is a granted load permit.
	PermitGrant = permitter.Grant
	// LeaseTable is the leader's table of memberships and their leases.
	LeaseTable = registrar.Table
	// LeaseSettings are a LeaseTable's options.
	LeaseSettings = registrar.Settings
	// Replicator replicates a log among the hosts of a control group. It is safe for
	// concurrent use.
	Replicator = replicator.Replicator
	// ReplicatorSettings are a Replicator's options.
	ReplicatorSettings = replicator.Settings
	// ReplicatorTransport sends and receives a Replicator's messages.
	ReplicatorTransport = replicator.Transport
	// ReplicatorMessage is a message between Replicators.
	ReplicatorMessage = replicator.Message
	// StateMachine is the state machine to which a Replicator applies its log.
	StateMachine = replicator.StateMachine
	// Store is the state machine of resources, claims and memberships.
	Store = storer.Store
	// StoreSettings are a Store's options.
	StoreSettings = storer.Settings
	// Resource is a resource in a Store.
	Resource = storer.Resource
	// Index is a compact replica of the resources. It is safe for concurrent use.
	Index = indexer.Index
)

// NewPermitTable returns the table of a leader elected in term at the time now.
// The holders are the companions that may still hold permits of previous leaders.
func NewPermitTable(s PermitSettings, term uint64, now time.Time, holders []string) *PermitTable {
	return permitter.NewTable(s, term, now, holders)
}

// NewReplicator opens the data folder and starts replication in the group.
func NewReplicator(s ReplicatorSettings, m StateMachine, t ReplicatorTransport) (*Replicator, error) {
	return replicator.NewReplicator(s, m, t)
}

// NewStore returns an empty store.
func NewStore(s StoreSettings) *Store { return storer.NewStore(s) }

// NewIndex returns an empty index.
func NewIndex() *Index { return indexer.NewIndex(indexer.Settings{}) }
