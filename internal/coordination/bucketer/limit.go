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
