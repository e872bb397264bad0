package registrar

//go:generate stringer -type=Level -trimprefix=Level

// Level is a coarse load. Only a change of level is worth a message; the exact
// load travels with each answer.
type Level int

// The levels, by the share of the maximum batch in use.
const (
	// LevelIdle runs nothing.
	LevelIdle Level = iota
	// LevelLight runs less than half of its maximum batch.
	LevelLight
	// LevelBusy runs half or more.
	LevelBusy
	// LevelFull runs its maximum batch, or all but an eighth.
	LevelFull
	// LevelQueueing has more waiting than it runs.
	LevelQueueing
)

// nearlyFull is the share of the maximum batch, in eighths, from which a
// backend server is full.
const nearlyFull = 7

// Load is a backend server's load as its companion counts it.
type Load struct {
	Running  int
	Queued   int
	MaxBatch int
	// QueuedTokens is the estimated work of the requests that wait.
	QueuedTokens int64
}

// Level returns the coarse load.
func (l Load) Level() Level {
	batch := max(l.MaxBatch, 1)
	switch {
	case l.Queued > max(l.Running, 1):
		return LevelQueueing
	case 8*l.Running >= nearlyFull*batch || l.Queued > 0:
		return LevelFull
	case 2*l.Running >= batch:
		return LevelBusy
	case l.Running > 0:
		return LevelLight
	default:
		return LevelIdle
	}
}
