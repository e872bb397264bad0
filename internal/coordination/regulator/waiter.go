package regulator

import (
	"cmp"
	"slices"
	"time"
)

// Waiter is a request that waits for its turn.
type Waiter struct {
	ID string
	// Urgency ranges from 0, the most urgent, upwards.
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

// Refusal is a request whose turn comes after its deadline, and the time until its turn.
type Refusal struct {
	ID   string
	Wait time.Duration
}

// Hopeless returns those of the sorted waiters whose turn comes after their deadline, if the
// others take theirs.
func (r *Regulator) Hopeless(now time.Time, waiters []Waiter) []Refusal {
	var refused []Refusal
	ahead := 0
	for _, w := range waiters {
		if wait := r.Wait(now, ahead); now.Add(wait).After(w.Deadline) {
			refused = append(refused, Refusal{ID: w.ID, Wait: wait})
			continue
		}
		ahead++
	}
	return refused
}
