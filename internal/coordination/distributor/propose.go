package distributor

import "marigoldpoint.example/marigoldpoint/internal/state/storer"

// Propose submits a change. Any control host accepts it and forwards it to the leader
// at most once.
type Propose struct {
	// Envelope is the change as encoded by storer.Encode.
	Envelope []byte
	// TimeoutMillis is how long the sender waits, in milliseconds.
	TimeoutMillis int64
	// Forwarded reports that the sender is a control host.
	Forwarded bool `json:",omitempty"`
}

// Proposed is the answer to Propose, sent once the change is committed and applied at
// the leader.
type Proposed struct{ Result storer.Result }

// Barrier requests a revision from the leader that covers all previously accepted
// changes.
type Barrier struct{ TimeoutMillis int64 }

// BarrierPassed is the answer to Barrier.
type BarrierPassed struct{ Revision uint64 }

//go:generate stringer -type=ReadKind -trimprefix=Read

// ReadKind is the kind of a Read.
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

// Read reads the replicated state at a control host, including all previously accepted
// changes.
type Read struct {
	Kind ReadKind
	// Key identifies the resource for ReadGet. For ReadList, its Kind and Workspace
	// select the resources and its Name is the last name of the previous page.
	Key storer.Key
	// LastWorkspace is the workspace of the last resource of the previous page in a
	// ReadList over all workspaces.
	LastWorkspace string `json:",omitempty"`
	// After is the revision after which ReadSince returns changes.
	After uint64
	// Limit bounds the number of changes or resources in the answer; 0 means ReadLimit.
	Limit int
	// WaitMillis is how long ReadSince waits for a change, in milliseconds.
	WaitMillis    int64
	TimeoutMillis int64
	// Behind skips the barrier: the answer may lack the latest changes.
	Behind bool `json:",omitempty"`
}

// ReadLimit is the maximum number of resources or changes in one answer.
const ReadLimit = 2048

// ReadAnswer is the answer to Read.
type ReadAnswer struct {
	Resources []storer.Resource
	Changes   []storer.Change
	// Revision is the revision up to which the answer is complete. A watcher may
	// continue from it.
	Revision uint64
	// More reports that the list continues after the last name.
	More bool
	// Compacted reports that ReadSince cannot be answered because the history has been
	// compacted. The caller must list again.
	Compacted bool
}

//go:generate stringer -type=GroupAction -trimprefix=Group

// GroupAction is the action of a GroupChange.
type GroupAction int

// The actions on a control group.
const (
	// GroupShow only reads the group.
	GroupShow GroupAction = iota
	// GroupAdd adds a host, first as a learner.
	GroupAdd
	// GroupRemove removes a host.
	GroupRemove
	// GroupTransfer transfers leadership to another host.
	GroupTransfer
)

// GroupChange reads or changes the control group.
type GroupChange struct {
	Action GroupAction
	Host   GroupHost
	// TimeoutMillis is how long the sender waits, in milliseconds.
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

// Group describes the control group as seen by one of its hosts.
type Group struct {
	// Host is the node name of the answering host.
	Host   string
	Leader uint64
	Term   uint64
	// Commit and Applied are positions in the log.
	Commit, Applied uint64
	Revision        uint64
	Hosts           []GroupHost
}
