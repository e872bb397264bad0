package driver

import (
	"math"
	"math/rand/v2"
	"sort"
)

// Popularity is a Zipf law over the adapters of one workspace, whose ranks change
// at once when the popularity shifts. It is safe for concurrent use.
type Popularity struct {
	// cumulative holds, by rank, the probability of that rank or a lower one.
	cumulative []float64
	// before and after hold, by rank, the adapter's index. Each is a permutation.
	before []int
	after  []int
}

// NewPopularity returns the law 1/rank^exponent over count adapters, with ranks
// drawn from random. It panics if count is not positive.
func NewPopularity(count int, exponent float64, random *rand.Rand) *Popularity {
	if count < 1 {
		panic("driver: no adapters to draw from")
	}
	p := &Popularity{cumulative: make([]float64, count)}
	sum := 0.0
	for i := range p.cumulative {
		sum += math.Pow(float64(i+1), -exponent)
		p.cumulative[i] = sum
	}
	for i := range p.cumulative {
		p.cumulative[i] /= sum
	}
	p.before = random.Perm(count)
	p.after = random.Perm(count)
	return p
}

// Rank draws a rank, 0 for the most popular.
func (p *Popularity) Rank(random *rand.Rand) int {
	u := random.Float64()
	return min(sort.SearchFloat64s(p.cumulative, u), len(p.cumulative)-1)
}

// Adapter returns the index of the adapter that has the rank, before or after the
// shift.
func (p *Popularity) Adapter(rank int, shifted bool) int {
	if shifted {
		return p.after[rank]
	}
	return p.before[rank]
}

// Share returns the part of the calls that go to the first ranks.
func (p *Popularity) Share(ranks int) float64 {
	if ranks < 1 {
		return 0
	}
	return p.cumulative[min(ranks, len(p.cumulative))-1]
}
