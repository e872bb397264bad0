package generator

import "slices"

// batch is a continuous batch: sequences wait in order of priority and arrival,
// and enter whenever one that runs has left. It is not safe for concurrent use.
type batch struct {
	// limit is the number of sequences that run at once; len(running) never
	// exceeds it.
	limit   int
	waiting []*sequence
	running []*sequence
}

// enqueue lets the sequence wait behind those of the same or a lower priority value.
func (b *batch) enqueue(s *sequence) {
	at, _ := slices.BinarySearchFunc(b.waiting, s.priority, func(w *sequence, priority int) int {
		if w.priority <= priority {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, s)
}

// admit moves waiting sequences into the batch and returns them, the last part of
// running.
func (b *batch) admit() []*sequence {
	before := len(b.running)
	count := min(b.limit-before, len(b.waiting))
	b.running = append(b.running, b.waiting[:count]...)
	b.waiting = slices.Delete(b.waiting, 0, count)
	return b.running[before:]
}

// remove takes the sequence out, waiting or running.
func (b *batch) remove(s *sequence) {
	same := func(other *sequence) bool { return other == s }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.running = slices.DeleteFunc(b.running, same)
}
