package bucketer

// Limit is a workspace's quota. The cost of a call in units is its number of tokens, or one.
type Limit struct {
	// Rate is the refill rate in units per second; 0 means no limit.
	Rate float64
	// Burst is the capacity of the bucket in units.
	Burst float64
	// Number is the number of the configuration that defines the limit. The limit with the highest
	// number applies.
	Number uint64
}

// replace adopts a newer limit and returns the level of a bucket under it. An increase of the burst
// is added at once.
func (l *Limit) replace(n Limit, level float64) float64 {
	if n.Number <= l.Number {
		return level
	}
	level = min(level+max(0, n.Burst-l.Burst), n.Burst)
	*l = n
	return level
}
