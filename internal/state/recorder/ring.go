package recorder

import (
	"sync"
	"time"
)

// DefaultRingSize is the default of Settings.RingSize, in events.
const DefaultRingSize = 4096

// Settings are a recorder's options.
type Settings struct {
	Node string
	// RingSize is the capacity of the ring buffer, in events; 0 means
	// DefaultRingSize.
	RingSize int
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
}

// Recorder keeps the latest events of one process in a ring buffer. It may be used
// by several goroutines. Record on a nil *Recorder does nothing.
type Recorder struct {
	node  string
	clock *Clock

	mu sync.Mutex
	// ring holds the latest events; once full, the oldest is at next; guarded by mu.
	ring []Event
	// next is the index of the next write once ring is full; guarded by mu.
	next int
	// total is the number of events recorded since the start; guarded by mu.
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

// Record sets the time and the node of the event and stores it.
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
	// Total is the number of events recorded since the process started. The ring
	// buffer may hold fewer.
	Total  uint64
	Events []Event
}

// Events returns the stored events, oldest first. If request is not empty, it
// returns only those of the request.
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
