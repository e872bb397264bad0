package registrar

//go:generate stringer -type=Level -trimprefix=Level

// Level is a coarse measure of load. Only a change of level is published; the exact load is part of
// each answer.
type Level int

// The levels, by the share of the maximum batch in use.
const (
	// LevelIdle means that no request is running.
	LevelIdle Level = iota
	// LevelLight means that less than half of the maximum batch is running.
	LevelLight
	// LevelBusy means that half of the maximum batch or more is running.
	LevelBusy
	// LevelFull means that at least seven eighths of the maximum batch are running, or that
	// requests are queued.
	LevelFull
	// LevelQueueing means that more requests are queued than running.
	LevelQueueing
)

// fullEighths is the share of the maximum batch, in eighths, from which a backend server counts as
// full.
const fullEighths = 7

// Load is the load of a backend server as measured by its companion.
type Load struct {
	Running  int
	Queued   int
	MaxBatch int
	// QueuedTokens is the estimated work of the queued requests in tokens.
	QueuedTokens int64
}

// Level returns the level of the load.
func (l Load) Level() Level {
	batch := max(l.MaxBatch, 1)
	switch {
	case l.Queued > max(l.Running, 1):
		return LevelQueueing
	case 8*l.Running >= fullEighths*batch || l.Queued > 0:
		return LevelFull
	case 2*l.Running >= batch:
		return LevelBusy
	case l.Running > 0:
		return LevelLight
	default:
		return LevelIdle
	}
}
