package replicator

import "marigoldpoint.example/marigoldpoint/internal/state/snapshotter"

// event is an input of the replicator's loop.
type event interface{ event() }

type (
	delivered struct{ message Message }

	// proposal is a command or, where change is set, a change of the
	// membership.
	proposal struct {
		data   []byte
		change Change
		done   chan outcome
	}

	readRequest struct {
		done chan ReadState
	}

	transferRequest struct {
		done chan error
	}

	snapshotTaken struct{ metadata snapshotter.Metadata }
)

func (delivered) event()       {}
func (proposal) event()        {}
func (readRequest) event()     {}
func (transferRequest) event() {}
func (snapshotTaken) event()   {}

// outcome is the result of a proposal.
type outcome struct {
	index  uint64
	result any
	err    error
}
