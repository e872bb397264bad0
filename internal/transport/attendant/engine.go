package attendant

import (
	"strconv"
	"strings"
)

// HeldAdapter is an adapter that an engine holds, or that is on its way to it.
type HeldAdapter struct {
	Name    string
	Version uint64
}

// HeldModel is a model that an engine holds.
type HeldModel struct {
	Name     string
	Version  uint64
	Adapters []HeldAdapter
}

// PendingAdapter is an adapter on its way to an engine.
type PendingAdapter struct {
	Model string
	HeldAdapter
}

// Report is what an engine tells of itself.
type Report struct {
	// Sequence is the number of orders that the engine has accepted in this life.
	Sequence uint64
	// Born is when this life began, in milliseconds since 1970; 0 where it isn't told.
	Born uint64
	// Busy means that an order on a whole model is in progress.
	Busy    bool
	Models  []HeldModel
	Pending []PendingAdapter
	// OnDisk names the models whose weights the engine's host has on its disk.
	OnDisk []string
	// Running and Queued count requests.
	Running, Queued int
}

// holds reports whether the engine has a model ready.
func (r Report) holds(model string) bool {
	for _, m := range r.Models {
		if m.Name == model {
			return true
		}
	}
	return false
}

// slot is one occupied adapter slot.
type slot struct {
	version string
	loading bool
}

// slots returns the occupied adapter slots.
func (r Report) slots() []slot {
	var slots []slot
	for _, p := range r.Pending {
		slots = append(slots, slot{version: versionName(p.Model, p.Name, p.Version), loading: true})
	}
	for _, m := range r.Models {
		for _, a := range m.Adapters {
			slots = append(slots, slot{version: versionName(m.Name, a.Name, a.Version)})
		}
	}
	return slots
}

//go:generate stringer -type=OrderKind,Reply -linecomment -output=kinds_string.go

// OrderKind is what an order asks for.
type OrderKind int

// The kinds of orders.
const (
	OrderLoad OrderKind = iota
	OrderUnload
)

// Order asks an engine to load or unload a model, or one adapter of it.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter string
	// Version is the one to load; 0 means the newest.
	Version uint64
	// Expect is the engine's Sequence on which the order is based. An order that
	// is carried out late, after others, is refused by it.
	Expect uint64
	// Fence is the fencing token, and Incarnation the life that is meant.
	Fence       uint64
	Incarnation string
}

// Reply is an engine's answer to an order.
type Reply int

// The replies.
const (
	// ReplyAccepted means that the order is being carried out.
	ReplyAccepted Reply = iota
	// ReplyAlreadyDone means that what was asked for is so.
	ReplyAlreadyDone // ReplyHolds
	// ReplyConflict means that another order is in progress, or that the engine
	// has accepted others since.
	ReplyConflict // ReplyOvertaken
	// ReplyFenced means that a higher fencing token was seen.
	ReplyFenced
	// ReplyWrongIncarnation means that another life of the engine was meant.
	ReplyWrongIncarnation // ReplyElsewhere
	// ReplyInvalid means that the order makes no sense to the engine.
	ReplyInvalid // ReplyRefused
)

// versionName returns MODEL/ADAPTER@VERSION.
func versionName(model, adapter string, version uint64) string {
	return adapterName(model, adapter) + "@" + strconv.FormatUint(version, 10)
}

// adapterName returns MODEL/ADAPTER.
func adapterName(model, adapter string) string { return model + "/" + adapter }

// splitVersion is the inverse of versionName.
func splitVersion(name string) (model, adapter string, version uint64) {
	name, number, _ := strings.Cut(name, "@")
	model, adapter, _ = strings.Cut(name, "/")
	// A name that is not ours has version 0, which nothing asks for.
	version, _ = strconv.ParseUint(number, 10, 64)
	return model, adapter, version
}
