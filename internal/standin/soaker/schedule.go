package soaker

import (
	"math/rand/v2"
	"time"
)

const (
	// meanPause is the mean time between two disturbances, seriesShare the share of them that
	// belong to a series, and seriesPause the longest time between two of a series.
	meanPause   = 900 * time.Millisecond
	seriesShare = 0.4
	seriesPause = 150 * time.Millisecond
	// minLength and maxLength bound how long a process is down or frozen.
	minLength = 100 * time.Millisecond
	maxLength = 2500 * time.Millisecond
	// undisturbedStart is the time without disturbances at the start of a soak.
	undisturbedStart = time.Second
)

// Event is one disturbance.
type Event struct {
	// At is the time since the start of the load.
	At      time.Duration
	Process string
	Action  Action
	// Length is how long the process is down after its end, or frozen.
	Length time.Duration
}

// Schedule draws the disturbances of the named processes until duration. They overlap, also at the
// same process.
func Schedule(random *rand.Rand, processes []string, duration time.Duration) []Event {
	var events []Event
	at := undisturbedStart
	for {
		pause := time.Duration(random.ExpFloat64() * float64(meanPause))
		if random.Float64() < seriesShare {
			pause = time.Duration(random.Int64N(int64(seriesPause)))
		}
		if at += pause; at >= duration {
			return events
		}
		events = append(events, Event{
			At: at, Process: processes[random.IntN(len(processes))], Action: Action(random.IntN(actions)),
			Length: minLength + time.Duration(random.Int64N(int64(maxLength-minLength))),
		})
	}
}
