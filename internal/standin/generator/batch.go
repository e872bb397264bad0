package generator

import "slices"

// batch is a continuous batch: sequences wait in order of priority, then arrival, and
// enter as soon as a running one has left. It is not safe for concurrent use.
type batch struct {
	// limit is the maximum number of running sequences; len(running) never
	// exceeds it.
	limit   int
	waiting []*sequence
	running []*sequence
}

// enqueue queues the sequence behind those with the same or a lower priority value.
func (b *batch) enqueue(s *sequence) {
	at, _ := slices.BinarySearchFunc(b.waiting, s.priority, func(w *sequence, priority int) int {
		if w.priority <= priority {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, s)
}

// admit moves waiting sequences into the free places of the batch and returns them as
// a subslice of running.
func (b *batch) admit() []*sequence {
	before := len(b.running)
	count := min(b.limit-before, len(b.waiting))
	b.running = append(b.running, b.waiting[:count]...)
	b.waiting = slices.Delete(b.waiting, 0, count)
	return b.running[before:]
}

// remove removes the sequence, whether it is waiting or running.
func (b *batch) remove(s *sequence) {
	same := func(other *sequence) bool { return other == s }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.running = slices.DeleteFunc(b.running, same)
}
