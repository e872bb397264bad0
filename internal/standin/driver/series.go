package driver

import "time"

// Point holds the figures of one interval of a run.
type Point struct {
	// Seconds is the start of the interval since the start of the run.
	Seconds float64
	// Calls counts the calls intended in the interval. Completed and NotRun count these
	// calls by their ending.
	Calls     int64
	Completed int64
	NotRun    int64
	// StallSeconds is the total load stall of these calls; nil if none is known.
	StallSeconds *float64
	// QueueSeconds is their total wait for batch capacity; nil if none is known.
	QueueSeconds *float64
	// BatchFill is the mean fill of the engines' batches over the steps of the interval;
	// nil if it was not observed or no step ran.
	BatchFill *float64
	// Loads and Unloads count the orders of the interval; nil if not observed.
	Loads   *int64
	Unloads *int64
}

// maxPoints limits the series; later calls are added to the last point.
const maxPoints = 100_000

// series holds the figures of a run over time.
type series struct {
	interval time.Duration
	points   []Point
}

// at returns the point of the interval that contains the moment, and appends the points up
// to it.
func (s *series) at(moment time.Duration) *Point {
	index := min(max(int(moment/s.interval), 0), maxPoints-1)
	for len(s.points) <= index {
		start := time.Duration(len(s.points)) * s.interval
		s.points = append(s.points, Point{Seconds: seconds(start)})
	}
	return &s.points[index]
}

func (s *series) addAnswer(c *Call, a *Answer) {
	p := s.at(c.Intended)
	p.Calls++
	switch a.Ending() {
	case Completed:
		p.Completed++
	case NotRun:
		p.NotRun++
	default:
	}
	addWait(&p.StallSeconds, a.Stall)
	addWait(&p.QueueSeconds, a.Queue)
}

func addWait(sum **float64, w Wait) {
	if !w.Known {
		return
	}
	if *sum == nil {
		*sum = new(float64)
	}
	**sum += w.Length.Seconds()
}
