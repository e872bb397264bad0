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

// eventLog retains the latest cache events and returns them with a delay and with gaps.
// It is not safe for concurrent use.
type eventLog struct {
	lag        time.Duration
	loss       float64
	random     *rand.Rand
	lastNumber int64
	events     []orderer.CacheEvent
	// visible contains, for each element of events, the time from which it is returned.
	visible []time.Time
}

// add numbers the event and appends it, unless it is lost by chance.
func (l *eventLog) add(now time.Time, event orderer.CacheEvent) {
	l.lastNumber++
	if l.loss > 0 && l.random.Float64() < l.loss {
		return
	}
	event.Number = l.lastNumber
	l.events = append(l.events, event)
	l.visible = append(l.visible, now.Add(l.lag))
	if over := len(l.events) - maxCacheEvents; over > 0 {
		l.events = append(l.events[:0], l.events[over:]...)
		l.visible = append(l.visible[:0], l.visible[over:]...)
	}
}

// after returns the visible events with a number above the given one, at most
// maxEventsAnswer.
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

// reportLog returns load reports with a lag. It is not safe for concurrent use.
type reportLog struct {
	lag     time.Duration
	reports []orderer.LoadReport
}

// add appends the report, unless the last one has the same counts and is older by less
// than 1/reportsPerLag of the lag.
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

// at returns the newest report that is at least as old as the lag, or the oldest one, and
// discards earlier reports.
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
