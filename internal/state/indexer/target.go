package indexer

import "github.com/juju/errors"

// Errors of Resolve.
const (
	// ErrUnknownAdapter means that the workspace has no such adapter.
	ErrUnknownAdapter = errors.ConstError("unknown adapter")
	// ErrUnknownVersion means that the adapter has no such version.
	ErrUnknownVersion = errors.ConstError("unknown version")
	// ErrNoCurrent means that the call names no version and the adapter
	// declares none as current.
	ErrNoCurrent = errors.ConstError("adapter without a current version")
	// ErrStaleSnapshot means that a snapshot is older than the replica. It is an
	// error of StateLoad.Finish and Index.Reset, not of Resolve.
	ErrStaleSnapshot = errors.ConstError("snapshot older than the replica")
)

// Target is the adapter version to which a call resolves. Its strings refer to memory of
// the replica and stay valid.
type Target struct {
	Workspace string
	Adapter   string
	Version   string
	// Name is WORKSPACE/ADAPTER@VERSION.
	Name string
	// Source is the path of the weights in the weight store.
	Source    string
	BaseModel string
}

// Model is one entry of a workspace's list of models.
type Model struct {
	// Name is WORKSPACE/ADAPTER@VERSION.
	Name      string
	Adapter   string
	Version   string
	BaseModel string
	// Current reports whether calls that name no version resolve to this one.
	Current bool
}
