package attendant

import (
	"strconv"
	"strings"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
)

// HeldAdapter is an adapter that an engine has loaded or is loading.
type HeldAdapter struct {
	Name    string
	Version uint64
}

// HeldModel is a model that an engine has loaded, with its loaded adapters.
type HeldModel struct {
	Name     string
	Version  uint64
	Adapters []HeldAdapter
}

// PendingAdapter is an adapter that an engine is loading.
type PendingAdapter struct {
	Model string
	HeldAdapter
}

//go:generate stringer -type=Presence -trimprefix=Presence

// Presence is what a new connection to an engine's address shows.
type Presence int

// The presences.
const (
	// PresenceUnknown means that there was no answer.
	PresenceUnknown Presence = iota
	// PresenceAccepts means that the expected incarnation accepts connections.
	PresenceAccepts
	// PresenceConnected means that the address refuses connections, but that an earlier connection
	// is still open.
	PresenceConnected
	// PresenceReplaced means that another incarnation answered.
	PresenceReplaced
	// PresenceRefused means that the address refuses connections, and that no earlier connection
	// is open.
	PresenceRefused
)

// Report is the state that an engine reports.
type Report struct {
	// Sequence is the number of orders that this incarnation of the engine has accepted.
	Sequence uint64
	// Born is when this incarnation started, in milliseconds since 1970; 0 if not reported.
	Born uint64
	// Busy reports whether an order for a whole model is in progress.
	Busy    bool
	Models  []HeldModel
	Pending []PendingAdapter
	// OnDisk names the models whose weights are on the disk of the engine's host.
	OnDisk []string
	// Running and Queued count requests.
	Running, Queued int
	// MemoryUsed and MemoryTotal are the tokens of the memory for prompts and answers that
	// can't be evicted now, and in total; 0 if not reported.
	MemoryUsed, MemoryTotal int
	// Limit is what the engine said about its limit of requests.
	Limit regulator.Notice
}

// hasModel reports whether the engine has loaded a model.
func (r Report) hasModel(model string) bool {
	for _, m := range r.Models {
		if m.Name == model {
			return true
		}
	}
	return false
}

// slot is an occupied adapter slot.
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

// OrderKind is the action that an order asks for.
type OrderKind int

// The kinds of orders.
const (
	OrderLoad OrderKind = iota
	OrderUnload
)

// Order asks an engine to load or unload a model, or one adapter of a model.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter string
	// Version is the version to load; 0 means the newest.
	Version uint64
	// Expect is the engine's Sequence on which the order is based. The engine refuses an
	// order that arrives after later ones.
	Expect uint64
	// Fence is the fencing token, and Incarnation the incarnation of the engine that the
	// order is for; empty means any.
	Fence       uint64
	Incarnation string
}

// Reply is an engine's answer to an order.
type Reply int

// The replies.
const (
	// ReplyAccepted means that the engine is carrying out the order.
	ReplyAccepted Reply = iota
	// ReplyAlreadyDone means that the engine is already in the requested state.
	ReplyAlreadyDone // ReplyHolds
	// ReplyConflict means that another order is in progress, or that the engine has
	// accepted other orders since the expected sequence.
	ReplyConflict // ReplyOvertaken
	// ReplyFenced means that the engine has seen a higher fencing token.
	ReplyFenced
	// ReplyWrongIncarnation means that the order is for another incarnation of the engine.
	ReplyWrongIncarnation // ReplyElsewhere
	// ReplyInvalid means that the engine considers the order invalid.
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
	// A name of another format gets version 0, which is never requested.
	version, _ = strconv.ParseUint(number, 10, 64)
	return model, adapter, version
}
