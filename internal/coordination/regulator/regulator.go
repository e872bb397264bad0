package regulator

import "time"

// Regulator counts and spaces the requests of all senders to one incarnation of a backend
// server. Without a limit it admits all of them. The zero value is ready for use.
type Regulator struct {
	limit Limit
	// next is the theoretical arrival time of the next request.
	next time.Time
}

// Limit returns the limit that applies.
func (r *Regulator) Limit() Limit { return r.limit }

// Record applies a notice, as Limit.Record does. The first request under a new limit is
// admitted an interval later, since the requests sent before were not counted.
func (r *Regulator) Record(sentAt, at time.Time, n Notice) (changed bool) {
	named := r.limit.Named
	changed = r.limit.Record(sentAt, at, n)
	if !named && r.limit.Named {
		r.start(at)
	}
	return changed
}

// start empties the bucket.
func (r *Regulator) start(now time.Time) {
	if next := now.Add(r.limit.tolerance() + r.limit.Interval()); r.next.Before(next) {
		r.next = next
	}
}

// Take counts a request if it may be sent now, and reports whether it may.
func (r *Regulator) Take(now time.Time) bool {
	if r.Wait(now, 0) > 0 {
		return false
	}
	r.count(now)
	return true
}

// count counts a request that is sent at now or as soon as it is admitted.
func (r *Regulator) count(now time.Time) {
	if !r.limit.Named {
		return
	}
	if r.next.Before(now) {
		r.next = now
	}
	r.next = r.next.Add(r.limit.Interval())
}

// Wait returns the time until a request that follows ahead others may be sent.
func (r *Regulator) Wait(now time.Time, ahead int) time.Duration {
	if !r.limit.Named {
		return 0
	}
	next := max(0, r.next.Sub(now)) + time.Duration(ahead)*r.limit.Interval()
	return max(0, next-r.limit.tolerance())
}
