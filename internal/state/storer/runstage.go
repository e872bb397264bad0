package storer

//go:generate stringer -type=RunStage -trimprefix=RunStage

// RunStage is how much of the answer to a request an entry has received. The names of the
// values are written to logs.
type RunStage int

const (
	// RunStageSent means that no part of the answer has arrived: the request may wait, or
	// its prompt is being read.
	RunStageSent RunStage = iota
	// RunStageBegun means that the header has arrived, and no complete event of a stream.
	RunStageBegun
	// RunStageProgressed means that at least one event has arrived.
	RunStageProgressed
)
