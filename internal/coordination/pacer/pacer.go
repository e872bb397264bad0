package pacer

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Defaults of Settings.
const (
	// DefaultMaxLoads allows one adapter to be loaded while the slot for the next one
	// is being freed.
	DefaultMaxLoads = 4.0
	// DefaultLoad is the duration of a load from a store without other load.
	DefaultLoad = 250 * time.Millisecond
)

const (
	// minLimit is the lowest limit: one load, followed by a pause of three times its
	// duration. With 46 engines on a store that serves 24 loads at once, it uses half
	// of the store's capacity.
	minLimit = 0.25
	// initialLimit is the limit before any measurement: one load, and two after the
	// first undisturbed one. With a higher value, engines that restart together would
	// overload the store with their first loads: in the first three seconds after a
	// loss of power, with 46 engines, 0.86 of the requests get their adapter in time;
	// with 2.0 it is 0.72.
	initialLimit = 1.5
	// limitStep is the increase of the limit per load at full speed.
	limitStep = 0.5
	// Loads count as slowed down by others above slowedRatio times the duration of a
	// load alone, and as running at full speed up to undisturbedRatio times it. A
	// reduced limit aims at the range in between.
	slowedRatio      = 1.45
	undisturbedRatio = 1.3
	// memoryLoadShare is the share of the duration of a load alone below which a load
	// came from the engine's own memory and says nothing about the store.
	memoryLoadShare = 0.5
	// baselineWeight is the weight with which a slow load at minLimit raises the
	// baseline: the store is then slower than assumed, not overloaded.
	baselineWeight = 0.2
)

// Settings are the options of a Pacer. A field other than Random with the zero value
// takes its documented default.
type Settings struct {
	// MaxLoads is the maximum number of loads in progress.
	MaxLoads float64
	// Load is the assumed duration of a load without other load on the store.
	Load time.Duration
	// Random spreads the pauses of engines that started together. It is required.
	Random *rand.Rand
}

// Pacer limits the loads of one engine. It is not safe for concurrent use.
type Pacer struct {
	settings Settings
	// limit is the number of loads that may be in progress; below 1 it is the share of
	// the time during which one is.
	limit float64
	// baseline is the estimated duration of a load without other load on the store.
	baseline time.Duration
	// narrowedAt is the time at which the limit was last reduced. Loads that started
	// earlier reflect the previous limit.
	narrowedAt time.Time
	// resumeAt is the time at which the next load may start.
	resumeAt time.Time
}

// NewPacer returns a pacer without measurements of the store.
func NewPacer(s Settings) *Pacer {
	if s.Random == nil {
		panic("pacer: NewPacer needs a random source")
	}
	s.MaxLoads, s.Load = cmp.Or(s.MaxLoads, DefaultMaxLoads), cmp.Or(s.Load, DefaultLoad)
	return &Pacer{settings: s, limit: min(initialLimit, s.MaxLoads), baseline: s.Load}
}

// Loaded records that a load started at began has completed successfully at now.
func (p *Pacer) Loaded(now, began time.Time) {
	took := now.Sub(began)
	ratio := float64(took) / float64(p.baseline)
	switch {
	case ratio < memoryLoadShare:
		return
	case ratio <= undisturbedRatio:
		p.limit = min(p.settings.MaxLoads, p.limit+limitStep)
	case !began.After(p.narrowedAt):
	case p.limit <= minLimit:
		p.baseline += time.Duration(float64(took-p.baseline) * baselineWeight)
	case ratio > slowedRatio:
		p.limit, p.narrowedAt = max(minLimit, p.limit*undisturbedRatio/ratio), now
	}
	if p.limit < 1 {
		pause := float64(p.baseline) * undisturbedRatio * (1/p.limit - 1)
		p.resumeAt = now.Add(time.Duration(pause * (0.5 + p.settings.Random.Float64())))
	}
}

// Limit returns the number of loads that may be in progress now.
func (p *Pacer) Limit(now time.Time) int {
	if now.Before(p.resumeAt) {
		return 0
	}
	return max(1, int(p.limit))
}

// Pause returns the time until Limit is above 0, or 0 if it is.
func (p *Pacer) Pause(now time.Time) time.Duration { return max(0, p.resumeAt.Sub(now)) }
