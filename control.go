package marigoldpoint

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// The parts of a control host.
type (
	// PermitTable is the leader's list of load permits.
	PermitTable = permitter.Table
	// PermitSettings are a PermitTable's options.
	PermitSettings = permitter.Settings
	// PermitRequest asks for the permit to load one version.
	PermitRequest = permitter.Request
	// PermitFinish returns a permit.
	PermitFinish = permitter.Finish
	// PermitGrant is a permit to load.
	PermitGrant = permitter.Grant
	// LeaseTable is the leader's list of memberships and their leases.
	LeaseTable = registrar.Table
	// LeaseSettings are a LeaseTable's options.
	LeaseSettings = registrar.Settings
	// Replicator agrees with the other hosts on a log; several goroutines may use
	// it.
	Replicator = replicator.Replicator
	// ReplicatorSettings are a Replicator's options.
	ReplicatorSettings = replicator.Settings
	// ReplicatorTransport carries a Replicator's messages.
	ReplicatorTransport = replicator.Transport
	// ReplicatorMessage is one of them.
	ReplicatorMessage = replicator.Message
	// StateMachine is what a Replicator applies its log to.
	StateMachine = replicator.StateMachine
	// Store is the state machine of resources, claims and memberships.
	Store = storer.Store
	// StoreSettings are a Store's options.
	StoreSettings = storer.Settings
	// Resource is one declared thing.
	Resource = storer.Resource
	// Index is the compact replica of the resources; several goroutines may use it.
	Index = indexer.Index
)

// NewPermitTable returns the table of a leader elected in term at the time now.
// Holders name the companions which may still hold permits of former leaders.
func NewPermitTable(s PermitSettings, term uint64, now time.Time, holders []string) *PermitTable {
	return permitter.NewTable(s, term, now, holders)
}

// NewReplicator opens the data folder and takes part in the group.
func NewReplicator(s ReplicatorSettings, m StateMachine, t ReplicatorTransport) (*Replicator, error) {
	return replicator.NewReplicator(s, m, t)
}

// NewStore returns an empty store.
func NewStore(s StoreSettings) *Store { return storer.NewStore(s) }

// NewIndex returns an empty index.
func NewIndex() *Index { return indexer.NewIndex(indexer.Settings{}) }
