package soaker

import (
	"math/rand/v2"
	"time"
)

//go:generate stringer -type=LinkFault

// LinkFault is a disturbance of the connections to one process from other processes.
type LinkFault int

const (
	// Delay delivers bytes later, in both directions.
	Delay LinkFault = iota
	// Reset resets the open connections, and new ones as long as it lasts.
	Reset
	// CutInward holds back what is sent to the process until the fault ends.
	CutInward
	// CutOutward holds back what the process sends until the fault ends.
	CutOutward
	// Silence makes the open connections, and those opened while it lasts, discard all bytes and
	// their end, also after the fault, as a middlebox does that has lost its state.
	Silence

	linkFaults = iota
)

const (
	// linkPause is the mean time between two link faults that don't belong to a series.
	linkPause = 1200 * time.Millisecond
	// minDelay and maxDelay bound what the fault Delay adds to each read of the proxy.
	minDelay = 5 * time.Millisecond
	maxDelay = 250 * time.Millisecond
	// processStream and linkStream select the random streams of a seed. They differ so that a
	// seed's disturbances of processes don't depend on its link faults.
	processStream = 17
	linkStream    = 23
)

// LinkEvent is one link fault.
type LinkEvent struct {
	// At is the time since the start of the load.
	At      time.Duration
	Process string
	Fault   LinkFault
	Length  time.Duration
	// Delay is set with the fault Delay only.
	Delay time.Duration
}

// LinkSchedule draws the link faults of the named processes until duration. They overlap, also at
// the same process.
func LinkSchedule(random *rand.Rand, processes []string, duration time.Duration) []LinkEvent {
	var events []LinkEvent
	at := undisturbedStart
	for {
		pause := time.Duration(random.ExpFloat64() * float64(linkPause))
		if random.Float64() < seriesShare {
			pause = time.Duration(random.Int64N(int64(seriesPause)))
		}
		if at += pause; at >= duration {
			return events
		}
		e := LinkEvent{
			At: at, Process: processes[random.IntN(len(processes))], Fault: LinkFault(random.IntN(linkFaults)),
			Length: minLength + time.Duration(random.Int64N(int64(maxLength-minLength))),
		}
		if e.Fault == Delay {
			e.Delay = minDelay + time.Duration(random.Int64N(int64(maxDelay-minDelay)))
		}
		events = append(events, e)
	}
}

// Draw draws the disturbances of a seed: those of processes, and with links also the link faults.
func Draw(seed uint64, processes []string, duration time.Duration, links bool) ([]Event, []LinkEvent) {
	events := Schedule(rand.New(rand.NewPCG(seed, processStream)), processes, duration)
	if !links {
		return events, nil
	}
	return events, LinkSchedule(rand.New(rand.NewPCG(seed, linkStream)), processes, duration)
}
