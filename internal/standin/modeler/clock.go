package modeler

import (
	"container/heap"
	"time"
)

// event is an action at a virtual time. Events with the same time run in the order in
// which they were scheduled.
type event struct {
	at       time.Time
	sequence uint64
	action   func()
}

// clock is a virtual clock that runs scheduled events in order of time.
type clock struct {
	now      time.Time
	sequence uint64
	events   events
}

// after schedules an event after the duration.
func (c *clock) after(d time.Duration, action func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(d), sequence: c.sequence, action: action})
}

// run advances the time to until and runs all events that are due by then.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e, ok := heap.Pop(&c.events).(event)
		if !ok {
			panic("modeler: event queue contains a value that is not an event")
		}
		c.now = e.at
		e.action()
	}
	c.now = until
}

// events is a heap of events with the earliest first.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface. It appends an event.
func (e *events) Push(x any) {
	if v, ok := x.(event); ok {
		*e = append(*e, v)
	}
}

// Pop implements heap.Interface. It removes and returns the last element.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
