package streamer

import (
	"container/list"
	"sync"
	"sync/atomic"
)

// room is the memory that all answers of a buffer share. Its lock is taken under
// those of answers, and none is taken under it.
type room struct {
	limit int64
	// used counts the bytes held in all answers.
	used atomic.Int64
	// waiting is the length of queue, which spares the lock while nobody waits.
	waiting atomic.Int32

	mu sync.Mutex
	// queue holds the *place of each writer that waits, the first come first;
	// guarded by mu.
	queue list.List
}

// place is a writer's place in a room's queue.
type place struct {
	bytes int64
	// ready is closed once there may be room for the bytes.
	ready chan struct{}
	// element is the place in the queue, and nil once ready is closed; guarded by
	// room.mu.
	element *list.Element
}

// turn returns the channel that is closed when it is the writer's turn. One
// without a place waits for ever.
func (p *place) turn() <-chan struct{} {
	if p == nil {
		return nil
	}
	return p.ready
}

// fits tells whether n more bytes fit.
func (r *room) fits(n int64) bool { return r.used.Load()+n <= r.limit }

// take counts n bytes as held.
func (r *room) take(n int64) { r.used.Add(n) }

// free counts n bytes as held no more, and wakes the writers that they make room
// for. Without it a writer would wait for its own entry although others had made
// room: streams stood still beside an empty buffer.
func (r *room) free(n int64) {
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

// join queues for n bytes, or returns nil if they fit now. It looks again once it
// is queued, so that no bytes can be freed unseen between look and queue.
func (r *room) join(n int64) *place {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting.Add(1)
	if r.fits(n) {
		r.waiting.Add(-1)
		return nil
	}
	p := &place{bytes: n, ready: make(chan struct{})}
	p.element = r.queue.PushBack(p)
	return p
}

// leave gives up a place, if there is one. A writer whose turn it was has used
// the room by then or does not need it; what is left is for the next.
func (r *room) leave(p *place) {
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

// wake wakes the first writers, as many as there is room for. The caller holds
// mu.
func (r *room) wake() {
	promised := int64(0)
	for e := r.queue.Front(); e != nil; e = r.queue.Front() {
		p, ok := e.Value.(*place)
		if !ok || !r.fits(promised+p.bytes) {
			return
		}
		promised += p.bytes
		r.remove(p)
		close(p.ready)
	}
}

// remove takes a place out of the queue. The caller holds mu.
func (r *room) remove(p *place) {
	r.queue.Remove(p.element)
	p.element = nil
	r.waiting.Add(-1)
}
