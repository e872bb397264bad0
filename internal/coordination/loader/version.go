package loader

import (
	"math"
	"time"
)

// version is the state of one adapter version.
type version struct {
	name      string
	source    string
	workspace string
	share     int

	phase Phase
	// changed is the table's sequence number at the last change of phase.
	changed uint64
	// closing prevents new pins. Only a resident version can be closing.
	closing bool
	// replaced reports that a later version replaces this one, which takes no new pins
	// and is evicted at its last unpin.
	replaced bool
	// permit reports that a permit was requested and is not settled yet.
	permit bool
	// prefetch reports that the permit was requested while no request waited.
	prefetch bool
	// withdrawn reports that the request for the permit is being withdrawn, with the
	// outcome still open.
	withdrawn bool
	// victim is the version whose slot this one takes over when it is unloaded, or nil.
	// It is only set while this version is empty and holds a permit.
	victim *version
	// successor is the version that takes over this one's slot; it is the inverse of
	// victim.
	successor *version
	// outcomeUnknown reports that the outcome of the order in flight is unknown, so
	// that it is settled only by the engine's state.
	outcomeUnknown bool
	// unloadUncertain reports that an unload order was given up without a known outcome
	// and may still be carried out.
	unloadUncertain bool
	// fence is the fencing number of the order in flight, or 0.
	fence uint64
	// loadStarted is the time of the load order in flight.
	loadStarted time.Time
	// residentSince is the time of the last successful load or adoption.
	residentSince time.Time

	// pins holds the requests that use the version; it is empty unless the version is
	// resident.
	pins map[string]struct{}
	// foreignPins is the number of requests of an earlier companion that use the
	// version. They count as pins.
	foreignPins int
	// waiters holds the requests that wait to pin the version.
	waiters map[string]waiter

	activity
	// lastUsed is the time of the last request or unpin.
	lastUsed time.Time
	// loadTime is the measured duration of the last load, or 0.
	loadTime time.Duration
	// evictedAt is the time of the last eviction, or zero.
	evictedAt time.Time

	// failures is the number of consecutive failed loads.
	failures int
	// retryAt is the time before which no load is attempted.
	retryAt time.Time
}

// waiter is a request that waits to pin a version.
type waiter struct {
	since time.Time
	// due is the time by which the request needs the version; zero means none.
	due time.Time
	// rank is the priority rank, 0 first, and ranked means that loads follow the ranks.
	rank   int
	ranked bool
}

// pinned reports whether a request may be using the version.
func (v *version) pinned() bool { return len(v.pins) > 0 || v.foreignPins > 0 }

// evictable reports whether the version may be unloaded.
func (v *version) evictable() bool {
	return v.phase == PhaseResident && !v.pinned() && (v.closing || len(v.waiters) == 0)
}

// pending reports whether requests wait for the version and no slot has been arranged
// for it.
func (v *version) pending(now time.Time) bool {
	return v.phase == PhaseEmpty && !v.permit && len(v.waiters) > 0 && !now.Before(v.retryAt)
}

// oldest returns the time at which the longest-waiting request began to wait.
func (v *version) oldest() time.Time {
	var first time.Time
	for _, w := range v.waiters {
		if first.IsZero() || w.since.Before(first) {
			first = w.since
		}
	}
	return first
}

// servableInTime returns the number of waiting requests that would be served in time by
// a load started now.
func (v *version) servableInTime(now time.Time, s Settings) int {
	ready := now.Add(v.expectedLoad(s))
	n := 0
	for _, w := range v.waiters {
		if w.due.After(ready) {
			n++
		}
	}
	return n
}

// expectedLoad returns the expected duration of a load.
func (v *version) expectedLoad(s Settings) time.Duration {
	if v.loadTime > 0 {
		return v.loadTime
	}
	return s.AssumedLoadTime
}

// activity is a count of requests that decays with a half-life.
type activity struct {
	// demand is the count as of demandAt.
	demand   float64
	demandAt time.Time
}

// demandNow returns the decayed count.
func (a *activity) demandNow(now time.Time, halfLife time.Duration) float64 {
	age := now.Sub(a.demandAt)
	if age <= 0 {
		return a.demand
	}
	return a.demand * math.Exp2(-float64(age)/float64(halfLife))
}

// recordRequest counts one more request.
func (a *activity) recordRequest(now time.Time, halfLife time.Duration) {
	a.demand = a.demandNow(now, halfLife) + 1
	a.demandAt = now
}

// value returns the cost of not having the version, in seconds per half-life: the time
// that its demand would spend waiting for a reload.
func (v *version) value(now time.Time, s Settings) float64 {
	return v.demandNow(now, s.HalfLife) * v.expectedLoad(s).Seconds()
}
