package permitter

import "time"

// The thresholds of a pace, as factors of the time that a load takes alone.
const (
	// widenBelow is where loads count as undisturbed by each other.
	widenRatio = 1.25
	// narrowAbove is where they count as sharing the store.
	narrowRatio = 1.6
	// aloneDrift is the part of a longer time by which the time alone rises, so
	// that a store which has become slower for good is learnt.
	baselineDrift = 1.0 / 32
	// shortest is the part of the store's interval under which a permit tells
	// nothing: its load failed or was not needed.
	minHeldShare = 0.5
)

// pace decides how many permits are held at once.
//
// A load is a transfer from the store, which all loads share, and then an
// activation, which is the engine's own affair. A companion learns only of the
// load's end. Were the next permit to wait for it, the store would stand idle
// during every activation: seen as load stalls beside a store that is used for
// half of its rate. Grants are spaced by the store's rate, which is the time of
// one transfer, so that transfers of a healthy store don't meet. Where the store
// has become slower they do meet; that shows in longer loads, and the pace
// narrows down to one load after the other.
type pace struct {
	minLimit, maxLimit int
	// limit is the number of permits that may be held at once, from least to
	// most.
	limit int
	// alone is the time that a load takes undisturbed, 0 while not known.
	baseline time.Duration
	// undisturbed counts the loads in a row that took no longer than alone.
	undisturbedLoads int
}

func newPace(s Settings) pace {
	return pace{minLimit: s.Parallel, maxLimit: s.Parallel * s.Overlap, limit: s.Parallel}
}

// finished takes in that a permit was held for a time. Interval is the store's
// time for one transfer.
func (p *pace) recordHeld(held, interval time.Duration) {
	if float64(held) < minHeldShare*float64(interval) {
		return
	}
	switch {
	case p.baseline == 0 || held < p.baseline:
		p.baseline = held
	default:
		p.baseline += time.Duration(baselineDrift * float64(held-p.baseline))
	}
	switch ratio := float64(held) / float64(p.baseline); {
	case ratio > narrowRatio:
		p.undisturbedLoads = 0
		p.limit = max(p.minLimit, p.limit/2)
	case ratio <= widenRatio:
		p.undisturbedLoads++
		if p.undisturbedLoads >= p.limit {
			p.undisturbedLoads = 0
			p.limit = min(p.maxLimit, p.limit+1)
		}
	default:
		p.undisturbedLoads = 0
	}
}
