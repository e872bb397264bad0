package generator

import (
	"math/rand/v2"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

const (
	maxCacheEvents  = 4096
	maxEventsAnswer = 512
	maxReports      = 4096
	reportsPerLag   = 16
)

// eventLog holds the latest cache events, late and with gaps. It is not safe for
// concurrent use.
type eventLog struct {
	lag    time.Duration
	loss   float64
	random *rand.Rand
	last   int64
	events []orderer.CacheEvent
	// visible holds, for each of events, the moment from which it is given out.
	visible []time.Time
}

// add numbers the event and keeps it, unless it is lost.
func (l *eventLog) add(now time.Time, event orderer.CacheEvent) {
	l.last++
	if l.loss > 0 && l.random.Float64() < l.loss {
		return
	}
	event.Number = l.last
	l.events = append(l.events, event)
	l.visible = append(l.visible, now.Add(l.lag))
	if over := len(l.events) - maxCacheEvents; over > 0 {
		l.events = append(l.events[:0], l.events[over:]...)
		l.visible = append(l.visible[:0], l.visible[over:]...)
	}
}

// after returns the visible events after the numbered one.
func (l *eventLog) after(now time.Time, number int64) []orderer.CacheEvent {
	found := make([]orderer.CacheEvent, 0)
	for i, e := range l.events {
		if l.visible[i].After(now) || len(found) == maxEventsAnswer {
			break
		}
		if e.Number > number {
			found = append(found, e)
		}
	}
	return found
}

// reportLog gives out load reports of the past. It is not safe for concurrent use.
type reportLog struct {
	lag     time.Duration
	reports []orderer.LoadReport
}

// add keeps the report unless it would tell nothing new: the same counts as the
// last one, which is nearly as young.
func (l *reportLog) add(r orderer.LoadReport) {
	if l.lag == 0 {
		l.reports = append(l.reports[:0], r)
		return
	}
	if n := len(l.reports); n > 0 {
		last := &l.reports[n-1]
		same := last.Running == r.Running && last.Waiting == r.Waiting && last.SlotsFree == r.SlotsFree
		if same && r.Measured.Sub(last.Measured) < l.lag/reportsPerLag {
			return
		}
	}
	l.reports = append(l.reports, r)
	if over := len(l.reports) - maxReports; over > 0 {
		l.reports = append(l.reports[:0], l.reports[over:]...)
	}
}

// at returns the newest report that is at least the lag old and forgets those
// before it.
func (l *reportLog) at(now time.Time) orderer.LoadReport {
	found := 0
	for i := range l.reports {
		if now.Sub(l.reports[i].Measured) >= l.lag {
			found = i
		}
	}
	l.reports = append(l.reports[:0], l.reports[found:]...)
	r := l.reports[0]
	r.Age = now.Sub(r.Measured)
	return r
}
