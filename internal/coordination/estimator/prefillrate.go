package estimator

import (
	"math"
	"slices"
)

const (
	// rateSamples is the number of observed rates that are kept, and minRateSamples the number
	// below which the assumed rate holds.
	rateSamples    = 64
	minRateSamples = 20
	// rateQuantile is the quantile of the observed rates that is used: waits that were not
	// expected, and events of other streams, only lower an observed rate.
	rateQuantile = 0.9
	// maxRateRatio bounds the ratio of the learnt rate to the assumed one, both ways.
	maxRateRatio = 4
)

// PrefillRate is the rate at which the engines of a service prefill at factor 1, in tokens per
// second. The zero value has observed nothing.
type PrefillRate struct {
	observed []float64
	next     int
	// quantile is that of the observed rates, 0 below minRateSamples.
	quantile float64
}

// Add records an observed rate.
func (r *PrefillRate) Add(rate float64) {
	if !(rate > 0) || math.IsInf(rate, 0) {
		return
	}
	if len(r.observed) < rateSamples {
		r.observed = append(r.observed, rate)
	} else {
		r.observed[r.next] = rate
		r.next = (r.next + 1) % rateSamples
	}
	if len(r.observed) < minRateSamples {
		return
	}
	sorted := slices.Sorted(slices.Values(r.observed))
	r.quantile = sorted[int(rateQuantile*float64(len(sorted)-1))]
}

// Learnt returns the learnt rate, bounded by the assumed one, and false as long as the assumed rate
// holds.
func (r *PrefillRate) Learnt(assumed float64) (float64, bool) {
	if r.quantile == 0 {
		return assumed, false
	}
	return BoundRate(r.quantile, assumed), true
}

// BoundRate bounds a rate to between a quarter of and four times the assumed one. It returns the
// assumed rate for a rate that is no number above zero.
func BoundRate(rate, assumed float64) float64 {
	if !(rate > 0) {
		return assumed
	}
	return min(max(rate, assumed/maxRateRatio), assumed*maxRateRatio)
}
