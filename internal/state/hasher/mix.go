package hasher

// Mix returns a bijective scrambling of x, the finalizer of SplitMix64 (Steele, Lea and
// Flood, "Fast splittable pseudorandom number generators", 2014).
//
// Applied to the exclusive or of two hashes, it gives a hash of the pair. Without it, the
// order of a set of names by their hash combined with another name's hash would be nearly
// the same for similar hashes of that other name.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
