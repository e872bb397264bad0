package recorder

import (
	"sync"
	"time"
)

// DefaultRingSize is the number of events a ring keeps when none is set.
const DefaultRingSize = 4096

// Settings are a recorder's options.
type Settings struct {
	Node string
	// RingSize is the number of events kept; 0 means DefaultRingSize.
	RingSize int
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
}

// Recorder keeps the latest events of one process. It may be used by several
// goroutines. A nil *Recorder drops events.
type Recorder struct {
	node  string
	clock *Clock

	mu sync.Mutex
	// ring holds the latest events, oldest at next once full; guarded by mu.
	ring []Event
	// next is the position of the next write; guarded by mu.
	next int
	// total counts the events recorded ever; guarded by mu.
	total uint64
}

// NewRecorder returns an empty recorder.
func NewRecorder(s Settings) *Recorder {
	if s.RingSize <= 0 {
		s.RingSize = DefaultRingSize
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	return &Recorder{node: s.Node, clock: NewClock(s.Now), ring: make([]Event, 0, s.RingSize)}
}

// Clock returns the process's hybrid logical clock.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record stamps the event with time and node and keeps it.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	e.Time = r.clock.Now()
	e.Node = r.node
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
}

// Page is a part of a recorder's events.
type Page struct {
	Node string
	// Total counts the events recorded since the process began. The ring may
	// hold fewer.
	Total  uint64
	Events []Event
}

// Events returns the events kept, oldest first; with a request, only those
// which concern it.
func (r *Recorder) Events(request string) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	page := Page{Node: r.node, Total: r.total, Events: make([]Event, 0, len(r.ring))}
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if request == "" || e.Request == request {
			page.Events = append(page.Events, e)
		}
	}
	return page
}
