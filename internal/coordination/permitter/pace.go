package permitter

import "time"

// Thresholds of a pace, relative to the duration of an undisturbed load.
const (
	// widenRatio is the ratio up to which loads count as undisturbed.
	widenRatio = 1.25
	// narrowRatio is the ratio above which loads count as sharing the store.
	narrowRatio = 1.6
	// baselineDrift is the share of a longer duration by which the baseline rises, so
	// that it adapts to a store that has become slower permanently.
	baselineDrift = 1.0 / 32
	// minHeldShare is the share of the store's interval below which a permit's duration
	// is ignored: its load failed or was not needed.
	minHeldShare = 0.5
)

// pace limits how many permits are held at once.
//
// A load consists of a transfer from the store, which is shared by all loads, and an
// activation, which involves only the engine. A companion observes only the end of the
// load. If the next permit waited for it, the store would be idle during every
// activation, and loads would stall while the store runs at half of its rate. Grants
// are spaced by the store's rate, that is, the duration of one transfer, so that
// transfers of a healthy store do not overlap. If the store has become slower they do;
// loads then take longer, and the pace narrows down to one load at a time.
type pace struct {
	minLimit, maxLimit int
	// limit is the number of permits that may be held at once, from minLimit to
	// maxLimit.
	limit int
	// baseline is the duration of an undisturbed load; 0 while unknown.
	baseline time.Duration
	// undisturbedLoads is the number of consecutive loads that were not slowed down.
	undisturbedLoads int
}

func newPace(s Settings) pace {
	return pace{minLimit: s.Parallel, maxLimit: s.Parallel * s.Overlap, limit: s.Parallel}
}

// recordHeld records how long a permit was held. interval is the store's time for one
// transfer.
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
