package marigoldpoint

import (
	"math/rand/v2"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/scheduler"
)

// The components of an engine's companion.
type (
	// SlotTable decides which adapter versions an engine holds.
	SlotTable = loader.Table
	// SlotSettings are a SlotTable's options.
	SlotSettings = loader.Settings
	// SlotWant is a request that needs an adapter version.
	SlotWant = loader.Want
	// SlotAction is an action that the owner of a SlotTable must carry out: one of
	// PermitAction, LoadAction, UnloadAction, ReadyAction, FailAction or a similar type.
	SlotAction = loader.Action
	// PermitAction requests a load permit.
	PermitAction = loader.PermitAction
	// LoadAction orders a load.
	LoadAction = loader.LoadAction
	// UnloadAction orders an eviction.
	UnloadAction = loader.UnloadAction
	// ReadyAction reports that a request's version is resident and pinned.
	ReadyAction = loader.ReadyAction
	// FailAction reports that a request's version can't be made resident.
	FailAction = loader.FailAction
	// FairQueue holds the requests that wait for a place in an engine's batch.
	FairQueue = scheduler.Queue
	// FairQueueSettings are a FairQueue's options.
	FairQueueSettings = scheduler.Settings
	// QueuedItem is one waiting request.
	QueuedItem = scheduler.Item
)

// NewSlotTable returns the table of an empty engine. The fencing numbers of its orders
// increase from the membership's epoch.
func NewSlotTable(s SlotSettings, epoch uint64, random *rand.Rand) *SlotTable {
	return loader.NewTable(s, epoch, random)
}

// NewFairQueue returns an empty queue.
func NewFairQueue(s FairQueueSettings) *FairQueue { return scheduler.NewQueue(s) }
