package regulator

import (
	"cmp"
	"slices"
	"time"
)

// Waiter is a request that waits for its turn.
type Waiter struct {
	ID string
	// Urgency is lowest for the most urgent requests.
	Urgency int
	// Due is when the request has to be sent to be answered on time, and Deadline when it
	// is given up.
	Due, Deadline time.Time
}

// compare orders requests by their turns: the most urgent ones first, and among equals
// those that are due first.
func (w Waiter) compare(o Waiter) int {
	return cmp.Or(cmp.Compare(w.Urgency, o.Urgency), w.Due.Compare(o.Due), cmp.Compare(w.ID, o.ID))
}

// SortWaiters sorts requests by the order of their turns.
func SortWaiters(waiters []Waiter) { slices.SortFunc(waiters, Waiter.compare) }

// Place returns the number of the sorted waiters whose turn is before that of w.
func Place(waiters []Waiter, w Waiter) int {
	before, _ := slices.BinarySearchFunc(waiters, w, Waiter.compare)
	return before
}

// LateWait is the longest wait of a request that can't be answered on time any more, if
// others wait too.
const LateWait = 100 * time.Millisecond

// LongestWait returns the longest time for which a request may wait for its turn under the
// limit, where it is answered on time after a wait of at most slack, and given up after most.
//
// While there are more requests than the limit allows, longer waits would make all of them
// late. A request that no other precedes may wait for the next turn in any case.
func (l *Limit) LongestWait(slack, most time.Duration) time.Duration {
	return min(most, max(slack, LateWait, l.Interval()))
}

// Refusal is a request that is refused, and the time until its turn.
type Refusal struct {
	ID   string
	Wait time.Duration
}

// Hopeless returns those of the sorted waiters whose turn comes too late, if the others take
// theirs: after the deadline, or, behind others, too late for an answer on time.
func (r *Regulator) Hopeless(now time.Time, waiters []Waiter) []Refusal {
	var refused []Refusal
	ahead := 0
	for _, w := range waiters {
		wait := r.Wait(now, ahead)
		if wait > r.limit.LongestWait(w.Due.Sub(now), w.Deadline.Sub(now)) {
			refused = append(refused, Refusal{ID: w.ID, Wait: wait})
			continue
		}
		ahead++
	}
	return refused
}
