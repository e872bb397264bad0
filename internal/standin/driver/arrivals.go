package driver

import (
	"math/rand/v2"
	"time"
)

// longestWait bounds one wait; no run is as long.
const longestWait = 1000 * time.Hour

// Arrivals draws the moments of open-loop arrivals: a Poisson process, or a
// Poisson process modulated by bursts. It is not safe for concurrent use.
type Arrivals struct {
	// calm and busy are the arrivals per second between and during bursts.
	calm, busy float64
	burst      Burst
	random     *rand.Rand

	now time.Duration
	// inBurst lasts until changes; changes is only set where there are bursts.
	inBurst bool
	changes time.Duration
}

// NewArrivals returns arrivals at a mean of rate in a second, from the start of
// the run on. It panics if rate is not positive.
func NewArrivals(rate float64, b Burst, random *rand.Rand) *Arrivals {
	if rate <= 0 {
		panic("driver: rate must be positive")
	}
	a := &Arrivals{calm: rate, busy: rate, burst: b, random: random}
	if b.Factor > 0 && b.MeanLength > 0 && b.MeanPause > 0 {
		share := b.MeanLength.Seconds() / (b.MeanLength + b.MeanPause).Seconds()
		a.calm = rate / (1 - share + share*b.Factor)
		a.busy = a.calm * b.Factor
		a.inBurst = true // begin toggles it.
		a.begin()
	}
	return a
}

// begin starts the next burst or pause.
func (a *Arrivals) begin() {
	a.inBurst = !a.inBurst
	length := a.burst.MeanPause
	if a.inBurst {
		length = a.burst.MeanLength
	}
	a.changes += time.Duration(a.random.ExpFloat64() * float64(length))
}

// Next returns the moment of the next arrival. Where the rate changes first, the
// wait is drawn anew from the change on, which an exponential wait allows.
func (a *Arrivals) Next() time.Duration {
	for {
		rate := a.calm
		if a.inBurst {
			rate = a.busy
		}
		wait := a.random.ExpFloat64() / rate
		if a.changes == 0 || wait < (a.changes-a.now).Seconds() {
			// A rate near 0 gives a wait beyond any run and beyond a Duration.
			a.now += time.Duration(min(wait, longestWait.Seconds()) * float64(time.Second))
			return a.now
		}
		a.now = a.changes
		a.begin()
	}
}
