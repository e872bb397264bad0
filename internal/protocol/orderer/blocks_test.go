package orderer_test

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// TestPropertyBlockHashesNamePrefixes checks that equal hashes mean equal prefixes for the
// same model. Otherwise a router would consider a block cached and send a prompt to an
// engine where it gains nothing.
func TestPropertyBlockHashesNamePrefixes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		words := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab", "è"}), 0, 40)
		one, other := words.Draw(rt, "one"), words.Draw(rt, "other")
		size := rapid.IntRange(1, 5).Draw(rt, "size")
		first := orderer.BlockHashes(nil, "m", strings.Join(one, " "), size)
		second := orderer.BlockHashes(nil, "m", strings.Join(other, "\n "), size)
		if len(first) != len(one)/size || orderer.CountTokens(strings.Join(one, "  ")) != len(one) {
			rt.Fatalf("%d blocks of %d words", len(first), len(one))
		}
		for i := range min(len(first), len(second)) {
			same := slices.Equal(one[:(i+1)*size], other[:(i+1)*size])
			if same != (first[i] == second[i]) {
				rt.Fatalf("block %d: same prefix %v, hashes %x and %x", i, same, first[i], second[i])
			}
		}
		if len(first) > 0 && orderer.BlockHashes(nil, "n", strings.Join(one, " "), size)[0] == first[0] {
			rt.Fatal("another model has the same hash")
		}
	})
}
