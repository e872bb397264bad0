package throttler

import (
	"math/rand/v2"
	"time"
)

const (
	// minLimit is the lowest limit: one call, followed by a pause of nine times its
	// duration. Forty entries then have no more than four calls in progress.
	minLimit = 0.1
	// growthShare and growthCalls are the increase of the limit per answer of a server
	// with spare places, as a share of the limit and in calls.
	growthShare = 0.1
	growthCalls = 0.02
	// overloadFactor is applied to the limit after an answer of an overloaded server,
	// and rejectionFactor after a rejected call.
	overloadFactor  = 0.8
	rejectionFactor = 0.5
	// spareRatio and overloadRatio are the loads, relative to the places of a server,
	// up to which it has spare places and above which it is overloaded. Some calls
	// wait, so that no place is idle; at twice the places a call takes twice its time.
	spareRatio    = 1.5
	overloadRatio = 2.0
)

// Throttler limits the calls of one entry at one server. It is not safe for concurrent
// use.
type Throttler struct {
	// places is the number of calls that the server processes concurrently.
	places int
	// limit is the number of calls that may be in progress; below 1 it is the share of
	// the time during which one is.
	limit float64
	// narrowedAt is the time at which the limit was last reduced. Answers to calls that
	// started earlier reflect the previous limit.
	narrowedAt time.Time
	// resumeAt is the time at which the next call may start.
	resumeAt time.Time
	// spareCapacity reports whether the server had free places according to its last
	// report.
	spareCapacity bool
}

// NewThrottler returns the throttler of a server without any reports yet. An entry may
// use all its places.
func NewThrottler(places int) *Throttler {
	return &Throttler{places: places, limit: max(1, float64(places)), spareCapacity: true}
}

// Allows reports whether one more call may start in addition to those in progress.
func (t *Throttler) Allows(now time.Time, inProgress int) bool {
	return !now.Before(t.resumeAt) && inProgress < max(1, int(t.limit))
}

// HasSpareCapacity reports whether the server had free places according to its last
// report. Calls that can no longer meet their target should only go to such servers:
// elsewhere each of them would make a call of another entry late.
func (t *Throttler) HasSpareCapacity() bool { return t.spareCapacity }

// RecordAnswer records the answer to a call started at began. calls is the number of
// calls in progress reported by the server, and took the duration of a call when the
// server is not overloaded.
func (t *Throttler) RecordAnswer(now, began time.Time, calls int, took time.Duration, random *rand.Rand) {
	t.spareCapacity = calls < t.places
	switch {
	case float64(calls) <= float64(t.places)*spareRatio:
		t.limit = min(max(1, float64(t.places)), t.limit*(1+growthShare)+growthCalls)
	case float64(calls) > float64(t.places)*overloadRatio && began.After(t.narrowedAt):
		t.narrow(now, overloadFactor)
	}
	t.schedulePause(now, took, random)
}

// TurnedAway records that the server rejected a call because it was full.
func (t *Throttler) TurnedAway(now, began time.Time, took time.Duration, random *rand.Rand) {
	t.spareCapacity = false
	if began.After(t.narrowedAt) {
		t.narrow(now, rejectionFactor)
	}
	t.schedulePause(now, took, random)
}

func (t *Throttler) narrow(now time.Time, share float64) {
	t.limit, t.narrowedAt = max(minLimit, t.limit*share), now
}

// schedulePause implements limits below one call: a call is followed by a pause, which
// is randomized so that entries that started together do not continue together.
func (t *Throttler) schedulePause(now time.Time, took time.Duration, random *rand.Rand) {
	if t.limit >= 1 {
		return
	}
	t.resumeAt = now.Add(time.Duration(float64(took) * (1/t.limit - 1) * (0.5 + random.Float64())))
}
