package hasher_test

import (
	"testing"

	"marigoldpoint.example/marigoldpoint/internal/state/hasher"
)

// TestMixAgrees holds the values: processes of different versions order the same
// things, and each must come to the same order.
func TestMixAgrees(t *testing.T) {
	for x, want := range map[uint64]uint64{0: 0, 1: 0x5692161d100b05e5, 2: 0xdbd238973a2b148a} {
		if got := hasher.Mix(x); got != want {
			t.Errorf("Mix(%d) = %#x, want %#x", x, got, want)
		}
	}
}

// TestMixSpreads: one bit more or less changes about half of the bits.
func TestMixSpreads(t *testing.T) {
	for bit := range 64 {
		differ := hasher.Mix(12345) ^ hasher.Mix(12345^1<<bit)
		n := 0
		for ; differ > 0; differ &= differ - 1 {
			n++
		}
		if n < 16 || n > 48 {
			t.Errorf("bit %d changes %d bits", bit, n)
		}
	}
}
