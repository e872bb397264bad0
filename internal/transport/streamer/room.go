package streamer

import (
	"container/list"
	"sync"
	"sync/atomic"
)

// room is the memory that all answers of a buffer share. Its lock may be acquired while
// an answer is locked, but not the other way round.
type room struct {
	limit int64
	// used is the number of bytes held in all answers.
	used atomic.Int64
	// waiting is the length of queue; it avoids locking while nobody waits.
	waiting atomic.Int32

	mu sync.Mutex
	// queue holds the *waiter of each blocked writer in FIFO order; guarded by mu.
	queue list.List
}

// waiter is a writer in a room's queue.
type waiter struct {
	bytes int64
	// ready is closed when there may be room for the bytes.
	ready chan struct{}
	// element is the position in the queue, and nil once ready is closed; guarded by
	// room.mu.
	element *list.Element
}

// readyChan returns the channel that is closed when there may be room. For a nil waiter
// it returns nil, which blocks forever.
func (p *waiter) readyChan() <-chan struct{} {
	if p == nil {
		return nil
	}
	return p.ready
}

// hasRoom reports whether n more bytes fit.
func (r *room) hasRoom(n int64) bool { return r.used.Load()+n <= r.limit }

// reserve counts n bytes as held.
func (r *room) reserve(n int64) { r.used.Add(n) }

// release no longer counts n bytes as held, and wakes the writers for which there is
// room now. If writers waited only for their own answer, streams would block although
// other answers had freed memory.
func (r *room) release(n int64) {
	if n == 0 {
		return
	}
	r.used.Add(-n)
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake()
}

// enqueue adds a waiter for n bytes, or returns nil if they fit now. It checks the room
// after it has incremented waiting, so that no release in between is missed.
func (r *room) enqueue(n int64) *waiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting.Add(1)
	if r.hasRoom(n) {
		r.waiting.Add(-1)
		return nil
	}
	p := &waiter{bytes: n, ready: make(chan struct{})}
	p.element = r.queue.PushBack(p)
	return p
}

// dequeue removes a waiter, which may be nil, and wakes the next ones: a writer whose
// turn it was has used the room by then, or does not need it.
func (r *room) dequeue(p *waiter) {
	if p == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.element != nil {
		r.remove(p)
	}
	r.wake()
}

// wake wakes the first writers for which there is room. The caller holds mu.
func (r *room) wake() {
	promised := int64(0)
	for e := r.queue.Front(); e != nil; e = r.queue.Front() {
		p, ok := e.Value.(*waiter)
		if !ok || !r.hasRoom(promised+p.bytes) {
			return
		}
		promised += p.bytes
		r.remove(p)
		close(p.ready)
	}
}

// remove removes a waiter from the queue. The caller holds mu.
func (r *room) remove(p *waiter) {
	r.queue.Remove(p.element)
	p.element = nil
	r.waiting.Add(-1)
}
