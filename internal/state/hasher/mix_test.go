package hasher_test

import (
	"testing"

	"marigoldpoint.example/marigoldpoint/internal/state/hasher"
)

// TestMixIsStable checks fixed values, since processes of different versions must compute
// the same orders.
func TestMixIsStable(t *testing.T) {
	for x, want := range map[uint64]uint64{0: 0, 1: 0x5692161d100b05e5, 2: 0xdbd238973a2b148a} {
		if got := hasher.Mix(x); got != want {
			t.Errorf("Mix(%d) = %#x, want %#x", x, got, want)
		}
	}
}

// TestMixAvalanche checks that flipping one bit of the input changes about half of the bits
// of the result.
func TestMixAvalanche(t *testing.T) {
	for bit := range 64 {
		difference := hasher.Mix(12345) ^ hasher.Mix(12345^1<<bit)
		changed := 0
		for ; difference > 0; difference &= difference - 1 {
			changed++
		}
		if changed < 16 || changed > 48 {
			t.Errorf("flipping bit %d changes %d bits, want 16 to 48", bit, changed)
		}
	}
}
