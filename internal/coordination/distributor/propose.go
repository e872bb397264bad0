package distributor

import "marigoldpoint.example/marigoldpoint/internal/state/storer"

// Propose submits a change. Any control host takes it, and forwards it to the
// leader at most once.
type Propose struct {
	// Envelope is the change as storer.Encode gives it.
	Envelope []byte
	// TimeoutMillis is the time that the sender waits.
	TimeoutMillis int64
	// Forwarded tells that the sender is a control host.
	Forwarded bool `json:",omitempty"`
}

// Proposed answers Propose once the change is committed and applied at the
// leader.
type Proposed struct{ Result storer.Result }

// Barrier asks the leader for a revision that covers all changes accepted
// before.
type Barrier struct{ TimeoutMillis int64 }

// BarrierPassed answers Barrier.
type BarrierPassed struct{ Revision uint64 }

//go:generate stringer -type=ReadKind -trimprefix=Read

// ReadKind tells what a Read asks for.
type ReadKind int

// The kinds of reads.
const (
	// ReadGet reads one resource.
	ReadGet ReadKind = iota
	// ReadList reads the resources of a kind in a workspace, in pages.
	ReadList
	// ReadSince reads changes after a revision.
	ReadSince
)

// Read reads the replicated state at a control host, at or after all that was
// accepted before.
type Read struct {
	Kind ReadKind
	// Key is the resource for ReadGet; its Kind and Workspace select for
	// ReadList, and its Name is the last name of the page before.
	Key storer.Key
	// LastWorkspace is the workspace of the last resource of the page before, in
	// a ReadList over all workspaces.
	LastWorkspace string `json:",omitempty"`
	// After is the revision for ReadSince.
	After uint64
	// Limit bounds the changes or resources of the answer; 0 means ReadLimit.
	Limit int
	// WaitMillis is how long ReadSince waits for a change.
	WaitMillis    int64
	TimeoutMillis int64
	// Behind spares the barrier: the answer may miss the latest changes.
	Behind bool `json:",omitempty"`
}

// ReadLimit is the greatest number of resources or changes in one answer.
const ReadLimit = 2048

// ReadAnswer answers a Read.
type ReadAnswer struct {
	Resources []storer.Resource
	Changes   []storer.Change
	// Revision is the one up to which the answer is complete: a watcher may go
	// on from it.
	Revision uint64
	// More tells that a list goes on after the last name.
	More bool
	// Compacted tells that ReadSince can't be answered: list again.
	Compacted bool
}

//go:generate stringer -type=GroupAction -trimprefix=Group

// GroupAction is what a GroupChange does.
type GroupAction int

// The actions on a control group.
const (
	// GroupShow only reads.
	GroupShow GroupAction = iota
	// GroupAdd adds a host, first as a learner.
	GroupAdd
	// GroupRemove removes a host.
	GroupRemove
	// GroupTransfer hands leadership to another host.
	GroupTransfer
)

// GroupChange reads or changes the control group.
type GroupChange struct {
	Action GroupAction
	Host   GroupHost
	// TimeoutMillis is the time that the sender waits.
	TimeoutMillis int64
	Forwarded     bool `json:",omitempty"`
}

// GroupHost is one host of the control group.
type GroupHost struct {
	ID            uint64
	Address       string
	FailureDomain string
	Voter         bool
}

// Group describes the control group as one of its hosts sees it.
type Group struct {
	// Host is the node name of the host that answered.
	Host   string
	Leader uint64
	Term   uint64
	// Commit and Applied are positions in the log.
	Commit, Applied uint64
	Revision        uint64
	Hosts           []GroupHost
}
