package hasher

// Mix scrambles x (the finaliser of SplitMix64: Steele, Lea and Flood, "Fast
// splittable pseudorandom number generators", 2014).
//
// Of the exclusive or of two hashes it makes a third: without it the order of some
// names by their hash with another would be nearly the same for like others.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
