package driver

import (
	"math"
	"math/rand/v2"
	"sort"
)

// Popularity is a Zipf distribution over the adapters of one workspace. A shift changes the
// ranks of all adapters at once. It is safe for concurrent use.
type Popularity struct {
	// cumulative holds, by rank, the probability of that rank or a lower one.
	cumulative []float64
	// before and after the shift, the adapter's index by rank. Each is a permutation.
	before []int
	after  []int
}

// NewPopularity returns the distribution 1/rank^exponent over count adapters, whose ranks
// are drawn from random. It panics if count is not positive.
func NewPopularity(count int, exponent float64, random *rand.Rand) *Popularity {
	if count < 1 {
		panic("driver: NewPopularity needs at least one adapter")
	}
	p := &Popularity{cumulative: zipf(count, exponent)}
	p.before = random.Perm(count)
	p.after = random.Perm(count)
	return p
}

// zipf returns, by rank, the probability of that rank or a lower one.
func zipf(count int, exponent float64) []float64 {
	cumulative := make([]float64, count)
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -exponent)
		cumulative[i] = sum
	}
	for i := range cumulative {
		cumulative[i] /= sum
	}
	return cumulative
}

// Rank draws a rank, 0 for the most popular.
func (p *Popularity) Rank(random *rand.Rand) int {
	u := random.Float64()
	return min(sort.SearchFloat64s(p.cumulative, u), len(p.cumulative)-1)
}

// Adapter returns the index of the adapter with the rank before or after the shift.
func (p *Popularity) Adapter(rank int, shifted bool) int {
	if shifted {
		return p.after[rank]
	}
	return p.before[rank]
}
