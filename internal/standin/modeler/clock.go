package modeler

import (
	"container/heap"
	"time"
)

// event is something that happens at a time. Events of one moment happen in the order in
// which they were set.
type event struct {
	at   time.Time
	turn uint64
	do   func()
}

// clock runs events in the order of virtual time.
type clock struct {
	now    time.Time
	turn   uint64
	events events
}

// after sets an event.
func (c *clock) after(d time.Duration, do func()) {
	c.turn++
	heap.Push(&c.events, event{at: c.now.Add(d), turn: c.turn, do: do})
}

// run lets time pass until a moment.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e, ok := heap.Pop(&c.events).(event)
		if !ok {
			panic("modeler: a foreign event")
		}
		c.now = e.at
		e.do()
	}
	c.now = until
}

// events is a heap of events, the next first.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].turn < e[j].turn
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) {
	if v, ok := x.(event); ok {
		*e = append(*e, v)
	}
}

// Pop removes the last event.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
