package permitter

import "time"

// The thresholds of a pace, as factors of the time that a load takes alone.
const (
	// widenBelow is where loads count as undisturbed by each other.
	widenBelow = 1.25
	// narrowAbove is where they count as sharing the store.
	narrowAbove = 1.6
	// aloneDrift is the part of a longer time by which the time alone rises, so
	// that a store which has become slower for good is learnt.
	aloneDrift = 1.0 / 32
	// shortest is the part of the store's interval under which a permit tells
	// nothing: its load failed or was not needed.
	shortest = 0.5
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
	least, most int
	// limit is the number of permits that may be held at once, from least to
	// most.
	limit int
	// alone is the time that a load takes undisturbed, 0 while not known.
	alone time.Duration
	// undisturbed counts the loads in a row that took no longer than alone.
	undisturbed int
}

func newPace(s Settings) pace {
	return pace{least: s.Parallel, most: s.Parallel * s.Overlap, limit: s.Parallel}
}

// finished takes in that a permit was held for a time. Interval is the store's
// time for one transfer.
func (p *pace) finished(held, interval time.Duration) {
	if float64(held) < shortest*float64(interval) {
		return
	}
	switch {
	case p.alone == 0 || held < p.alone:
		p.alone = held
	default:
		p.alone += time.Duration(aloneDrift * float64(held-p.alone))
	}
	switch ratio := float64(held) / float64(p.alone); {
	case ratio > narrowAbove:
		p.undisturbed = 0
		p.limit = max(p.least, p.limit/2)
	case ratio <= widenBelow:
		p.undisturbed++
		if p.undisturbed >= p.limit {
			p.undisturbed = 0
			p.limit = min(p.most, p.limit+1)
		}
	default:
		p.undisturbed = 0
	}
}
