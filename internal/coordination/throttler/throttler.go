package throttler

import (
	"math/rand/v2"
	"time"
)

const (
	// least is the narrowest: one call and nine times its time without. Forty entries
	// then send no more than four calls at once.
	least = 0.1
	// widening is what an answer of a server with places to spare adds to the bound,
	// as a share of it and in calls.
	widening     = 0.1
	wideningCall = 0.02
	// narrowing is what is left of the bound after an answer of a server whose calls
	// exceed its places, and shedding after a call that was turned away.
	narrowing = 0.8
	shedding  = 0.5
	// ample and crowded are the numbers of calls, in places, up to which a server has
	// room, and from which it is crowded. Some calls wait, so that no place stands idle;
	// at twice the places a call takes twice its time.
	ample   = 1.5
	crowded = 2.0
)

// Throttler bounds the calls of one entry at one server. It is not safe for concurrent
// use.
type Throttler struct {
	// places is the number of calls that the server works on at once.
	places int
	// width is the number of calls that may be in progress; below 1 it is the share of
	// the time in which there is one.
	width float64
	// narrowed is when the width was last cut: answers to calls that began before tell
	// of the width before.
	narrowed time.Time
	// resume is when the next call may begin.
	resume time.Time
	// spare tells that the server had places free at its last word.
	spare bool
}

// NewThrottler returns the throttler of a server that has said nothing yet: an entry may
// fill its places.
func NewThrottler(places int) *Throttler {
	return &Throttler{places: places, width: max(1, float64(places)), spare: true}
}

// Allows reports whether one more call may begin beside those in progress.
func (t *Throttler) Allows(now time.Time, inProgress int) bool {
	return !now.Before(t.resume) && inProgress < max(1, int(t.width))
}

// HasSpareCapacity reports whether the server had places free when it was last heard of. Calls that
// can't be in time any more are for such servers only: elsewhere each would make one late
// that other entries have.
func (t *Throttler) HasSpareCapacity() bool { return t.spare }

// RecordAnswer takes in an answer to a call that began at a time: the server's calls in
// progress. Took is the time of a call when the server is not crowded.
func (t *Throttler) RecordAnswer(now, began time.Time, calls int, took time.Duration, random *rand.Rand) {
	t.spare = calls < t.places
	switch {
	case float64(calls) <= float64(t.places)*ample:
		t.width = min(max(1, float64(t.places)), t.width*(1+widening)+wideningCall)
	case float64(calls) > float64(t.places)*crowded && began.After(t.narrowed):
		t.narrow(now, narrowing)
	}
	t.pause(now, took, random)
}

// RecordRejection takes in that the server was full.
func (t *Throttler) TurnedAway(now, began time.Time, took time.Duration, random *rand.Rand) {
	t.spare = false
	if began.After(t.narrowed) {
		t.narrow(now, shedding)
	}
	t.pause(now, took, random)
}

func (t *Throttler) narrow(now time.Time, share float64) {
	t.width, t.narrowed = max(least, t.width*share), now
}

// pause keeps a bound below one call: a call is followed by a time without, spread so
// that entries which began together don't go on together.
func (t *Throttler) pause(now time.Time, took time.Duration, random *rand.Rand) {
	if t.width >= 1 {
		return
	}
	t.resume = now.Add(time.Duration(float64(took) * (1/t.width - 1) * (0.5 + random.Float64())))
}
