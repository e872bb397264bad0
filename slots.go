package marigoldpoint

import (
	"math/rand/v2"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/scheduler"
)

// The parts beside one engine.
type (
	// SlotTable decides which adapter versions an engine holds.
	SlotTable = loader.Table
	// SlotSettings are a SlotTable's options.
	SlotSettings = loader.Settings
	// SlotWant is a request that needs a version.
	SlotWant = loader.Want
	// SlotAction is what a SlotTable asks its owner to do: one of PermitAction,
	// LoadAction, UnloadAction, ReadyAction, FailAction and their like.
	SlotAction = loader.Action
	// PermitAction asks for a load permit.
	PermitAction = loader.PermitAction
	// LoadAction asks to order a load.
	LoadAction = loader.LoadAction
	// UnloadAction asks to order an eviction.
	UnloadAction = loader.UnloadAction
	// ReadyAction tells that a request's version is resident and pinned.
	ReadyAction = loader.ReadyAction
	// FailAction tells that a request's version can't be had.
	FailAction = loader.FailAction
	// FairQueue holds the requests that wait for a place in one batch.
	FairQueue = scheduler.Queue
	// FairQueueSettings are a FairQueue's options.
	FairQueueSettings = scheduler.Settings
	// QueuedItem is one waiting request.
	QueuedItem = scheduler.Item
)

// NewSlotTable returns the table of an empty engine. Its orders' fencing numbers
// rise from the membership's epoch.
func NewSlotTable(s SlotSettings, epoch uint64, random *rand.Rand) *SlotTable {
	return loader.NewTable(s, epoch, random)
}

// NewFairQueue returns an empty queue.
func NewFairQueue(s FairQueueSettings) *FairQueue { return scheduler.NewQueue(s) }
