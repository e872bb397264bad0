package router

import (
	"math"
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Pool identifies the backend servers that can run the same calls.
type Pool struct {
	Kind storer.MemberKind
	// Name is the base model of engines, or the announced name of a service.
	Name string
}

// smoothing is the weight of one new sample in a pool's averages.
const smoothing = 0.05

// averages holds smoothed measurements of a pool. They are kept when members change.
type averages struct {
	mu sync.Mutex
	// loadTime and serviceTime are smoothed seconds; guarded by mu.
	loadTime    float64
	serviceTime float64
	// depth is the smoothed number of other entries' calls that reports show at one
	// backend server; guarded by mu.
	depth float64
	// ownDepth is the corresponding number of the entry's own calls; guarded by mu.
	ownDepth float64
	// hitRate is the smoothed share of prefixes believed to be cached that actually
	// were; guarded by mu.
	hitRate float64
}

// initialHitRate is the assumed hit rate before the first sample.
const initialHitRate = 0.5

// estimate is a snapshot of averages.
type estimate struct{ loadTime, serviceTime, depth, ownDepth, hitRate float64 }

// entries estimates how many entries like this one share the pool's work: the ratio of
// all calls that reports show to the entry's own. An entry sees only its own part of
// the demand for a version, and entries do not exchange their demand.
func (e estimate) entries(guess int) float64 {
	const minOwnDepth, maxEntries = 0.05, 64
	if e.ownDepth < minOwnDepth {
		return float64(guess)
	}
	return min((e.ownDepth+e.depth)/e.ownDepth, maxEntries)
}

func newAverages(s *Settings) *averages {
	return &averages{loadTime: s.LoadTime.Seconds(), serviceTime: s.ServiceTime.Seconds(), hitRate: initialHitRate}
}

func (a *averages) read() estimate {
	a.mu.Lock()
	defer a.mu.Unlock()
	return estimate{loadTime: a.loadTime, serviceTime: a.serviceTime, depth: a.depth, ownDepth: a.ownDepth, hitRate: a.hitRate}
}

// sampleReport adds the values of a load report: the calls of other entries, the
// entry's own calls at the time, and the load time.
func (a *averages) sampleReport(depth, ownDepth float64, load time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.depth += smoothing * (depth - a.depth)
	a.ownDepth += smoothing * (ownDepth - a.ownDepth)
	if load > 0 {
		a.loadTime += smoothing * (load.Seconds() - a.loadTime)
	}
}

// samplePrefix adds whether a prefix believed to be cached actually was.
func (a *averages) samplePrefix(hit bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sample := 0.0
	if hit {
		sample = 1
	}
	a.hitRate += smoothing * (sample - a.hitRate)
}

// sampleCall adds the stall of a cold start, or 0 if there was none, and the time that
// the call ran.
func (a *averages) sampleCall(stall, ran time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if stall > 0 {
		a.loadTime += 2 * smoothing * (stall.Seconds() - a.loadTime)
	}
	if ran > 0 {
		a.serviceTime += smoothing * (ran.Seconds() - a.serviceTime)
	}
}

// pool holds the serving members of one Pool in one view. It is immutable.
type pool struct {
	key Pool
	// number is unique among all member sets of all pools. Homes computed for a number
	// are valid as long as the pool has that number.
	number   uint64
	members  []*backend
	averages *averages
}

// decayFactor returns the share that remains after age.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
