package pacer

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Defaults of Settings.
const (
	// DefaultMost is the widest that an engine loads: one adapter on its way while
	// the slot of the next is made free.
	DefaultMaxLoads = 4.0
	// DefaultLoad is the time of a load from a store that nobody else uses.
	DefaultLoad = 250 * time.Millisecond
)

const (
	// least is the narrowest: a load of its own, and the time of three without. At
	// 46 engines before a store that serves 24 at once it is half of what that can.
	least = 0.25
	// initial is the width before anything is known: one load, and two after the first
	// that was quick. Engines that restart together would fill the store with more for
	// the time of their first loads: of the requests of the first three seconds after a
	// loss of power 0.86 have their adapter in time at 46 engines, with 2.0 0.72.
	initial = 1.5
	// widening is what a load at full speed adds to the width.
	widening = 0.5
	// Loads count as slowed by others beyond slowed times the time of one alone, and
	// as at full speed up to quick times it. A narrowed width aims at what lies between.
	slowed = 1.45
	quick  = 1.3
	// memoryShare is the part of the time of a load alone under which a load came from the
	// engine's own memory and tells nothing about the store.
	memoryShare = 0.5
	// learning is the weight of a load that is slow at the least width in the time
	// of a load alone: the store is slower than was assumed, not crowded.
	learning = 0.2
)

// Settings are a Pacer's options. The zero value of a field but Random means its
// documented default.
type Settings struct {
	// Most is the number of loads under way at most.
	MaxLoads float64
	// Load is the assumed time of a load alone.
	Load time.Duration
	// Random spreads the pauses of engines that began together. Required.
	Random *rand.Rand
}

// Pacer bounds the loads of one engine. It is not safe for concurrent use.
type Pacer struct {
	settings Settings
	// width is the number of loads that may be under way; below 1 it is the share
	// of the time in which there is one.
	width float64
	// alone is the time of a load alone, as far as it is known.
	alone time.Duration
	// narrowed is when the width was last cut: loads that began before tell of the
	// width before.
	narrowed time.Time
	// resume is when the next load may begin.
	resume time.Time
}

// NewPacer returns a pacer that knows nothing of the store.
func NewPacer(s Settings) *Pacer {
	if s.Random == nil {
		panic("pacer: NewPacer needs a random source")
	}
	s.MaxLoads, s.Load = cmp.Or(s.MaxLoads, DefaultMaxLoads), cmp.Or(s.Load, DefaultLoad)
	return &Pacer{settings: s, width: min(initial, s.MaxLoads), alone: s.Load}
}

// Loaded takes in that a load has ended well which began at a time.
func (p *Pacer) Loaded(now, began time.Time) {
	took := now.Sub(began)
	ratio := float64(took) / float64(p.alone)
	switch {
	case ratio < memoryShare:
		return
	case ratio <= quick:
		p.width = min(p.settings.MaxLoads, p.width+widening)
	case !began.After(p.narrowed):
	case p.width <= least:
		p.alone += time.Duration(float64(took-p.alone) * learning)
	case ratio > slowed:
		p.width, p.narrowed = max(least, p.width*quick/ratio), now
	}
	if p.width < 1 {
		pause := float64(p.alone) * quick * (1/p.width - 1)
		p.resume = now.Add(time.Duration(pause * (0.5 + p.settings.Random.Float64())))
	}
}

// Limit returns the number of loads that may be under way now.
func (p *Pacer) Limit(now time.Time) int {
	if now.Before(p.resume) {
		return 0
	}
	return max(1, int(p.width))
}

// Pause returns the time until the width is above 0; 0 where it is.
func (p *Pacer) Pause(now time.Time) time.Duration { return max(0, p.resume.Sub(now)) }
