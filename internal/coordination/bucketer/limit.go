package bucketer

// Limit is a workspace's quota. A call costs a number of units: its tokens, or one.
type Limit struct {
	// Rate is what flows in, in units a second; 0 means no limit.
	Rate float64
	// Burst is what the bucket holds at most, in units.
	Burst float64
	// Number is that of the configuration which the limit is from: the higher is in
	// force.
	Number uint64
}

// replace takes a newer limit, and returns what a bucket with a level holds under it. A
// larger burst is there at once.
func (l *Limit) replace(n Limit, level float64) float64 {
	if n.Number <= l.Number {
		return level
	}
	level = min(level+max(0, n.Burst-l.Burst), n.Burst)
	*l = n
	return level
}
