package router

import (
	"math"
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Pool names the backend servers which can run the same calls.
type Pool struct {
	Kind storer.MemberKind
	// Name is the base model of engines, or the announced name of a service.
	Name string
}

// smoothing is the weight of one new sample in a pool's averages.
const smoothing = 0.05

// averages are what a pool has shown lately. They outlive member changes.
type averages struct {
	mu sync.Mutex
	// loadTime and serviceTime are smoothed seconds; guarded by mu.
	loadTime    float64
	serviceTime float64
	// depth is the smoothed number of calls that reports show at one backend
	// server; guarded by mu.
	depth float64
	// own is the like for the entry's own calls; guarded by mu.
	own float64
	// hits is the smoothed share of the prefixes believed to be cached that were;
	// guarded by mu.
	hits float64
}

// firstHits is the belief in prefixes before there is a sample.
const firstHits = 0.5

// estimate is a copy of the averages at one moment.
type estimate struct{ loadTime, serviceTime, depth, own, hits float64 }

// entries returns how many entries like this one share the pool's work: all
// calls that reports show over the entry's own. The entry sees only its own part
// of the demand for a version, and no entry tells another.
func (e estimate) entries(guess int) float64 {
	const few, most = 0.05, 64
	if e.own < few {
		return float64(guess)
	}
	return min((e.own+e.depth)/e.own, most)
}

func newAverages(s *Settings) *averages {
	return &averages{loadTime: s.LoadTime.Seconds(), serviceTime: s.ServiceTime.Seconds(), hits: firstHits}
}

func (a *averages) read() estimate {
	a.mu.Lock()
	defer a.mu.Unlock()
	return estimate{loadTime: a.loadTime, serviceTime: a.serviceTime, depth: a.depth, own: a.own, hits: a.hits}
}

// sampleReport takes in what a report shows: other entries' calls, the entry's
// own at the time, and the load time.
func (a *averages) sampleReport(depth, own float64, load time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.depth += smoothing * (depth - a.depth)
	a.own += smoothing * (own - a.own)
	if load > 0 {
		a.loadTime += smoothing * (load.Seconds() - a.loadTime)
	}
}

// samplePrefix takes in whether a prefix believed to be cached was.
func (a *averages) samplePrefix(hit bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sample := 0.0
	if hit {
		sample = 1
	}
	a.hits += smoothing * (sample - a.hits)
}

// sampleCall takes in the stall of a cold start, where there was one, and the
// time that the call ran.
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

// pool is one pool's serving members in one view. It never changes.
type pool struct {
	key Pool
	// number is unique among all member sets of all pools; homes computed for
	// one number hold as long as the pool has it.
	number   uint64
	members  []*backend
	averages *averages
}

// halved returns the share of something that is left after age.
func halved(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
