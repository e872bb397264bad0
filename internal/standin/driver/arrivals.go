package driver

import (
	"math/rand/v2"
	"time"
)

// maxArrivalWait limits the time between two arrivals. It exceeds the length of any run.
const maxArrivalWait = 1000 * time.Hour

// Arrivals generates the times of open-loop arrivals: a Poisson process, or a Poisson
// process modulated by bursts. It is not safe for concurrent use.
type Arrivals struct {
	// normalRate and burstRate are the arrivals per second outside and during bursts.
	normalRate, burstRate float64
	burst                 Burst
	random                *rand.Rand

	now time.Duration
	// phaseEnd is the time at which inBurst changes; 0 without bursts.
	inBurst  bool
	phaseEnd time.Duration
}

// NewArrivals returns arrivals at a mean of rate per second from the start of the run. It
// panics if rate is not positive.
func NewArrivals(rate float64, b Burst, random *rand.Rand) *Arrivals {
	if rate <= 0 {
		panic("driver: rate must be positive")
	}
	a := &Arrivals{normalRate: rate, burstRate: rate, burst: b, random: random}
	if b.Factor > 0 && b.MeanLength > 0 && b.MeanPause > 0 {
		share := b.MeanLength.Seconds() / (b.MeanLength + b.MeanPause).Seconds()
		a.normalRate = rate / (1 - share + share*b.Factor)
		a.burstRate = a.normalRate * b.Factor
		a.inBurst = true // nextPhase inverts it.
		a.nextPhase()
	}
	return a
}

// nextPhase starts the next burst or the next pause between bursts.
func (a *Arrivals) nextPhase() {
	a.inBurst = !a.inBurst
	length := a.burst.MeanPause
	if a.inBurst {
		length = a.burst.MeanLength
	}
	a.phaseEnd += time.Duration(a.random.ExpFloat64() * float64(length))
}

// Next returns the time of the next arrival. If the rate changes before it, the wait is
// drawn again from the time of the change, which is correct because exponential waits are
// memoryless.
func (a *Arrivals) Next() time.Duration {
	for {
		rate := a.normalRate
		if a.inBurst {
			rate = a.burstRate
		}
		wait := a.random.ExpFloat64() / rate
		if a.phaseEnd == 0 || wait < (a.phaseEnd-a.now).Seconds() {
			// A rate near 0 gives a wait that overflows a Duration.
			a.now += time.Duration(min(wait, maxArrivalWait.Seconds()) * float64(time.Second))
			return a.now
		}
		a.now = a.phaseEnd
		a.nextPhase()
	}
}
