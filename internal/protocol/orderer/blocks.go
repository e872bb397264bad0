package orderer

import (
	"encoding/binary"
	"iter"
	"unicode"

	"github.com/cespare/xxhash/v2"
)

// BlockHashes appends to dst the hashes of the complete blocks of prompt for model and
// returns the extended slice. A token is a sequence of non-space characters. Each hash
// covers the model, all preceding blocks and the blockTokens tokens of its own block, so
// equal hashes mean equal prefixes. BlockHashes panics if blockTokens is not positive.
func BlockHashes(dst []uint64, model, prompt string, blockTokens int) []uint64 {
	if blockTokens <= 0 {
		panic("orderer: blockTokens must be positive")
	}
	parent := xxhash.Sum64String(model)
	digest := xxhash.New()
	startBlock(digest, parent)
	filled := 0
	for token := range tokens(prompt) {
		_, _ = digest.WriteString(token)
		_, _ = digest.Write([]byte{0})
		filled++
		if filled == blockTokens {
			parent = digest.Sum64()
			dst = append(dst, parent)
			startBlock(digest, parent)
			filled = 0
		}
	}
	return dst
}

// CountTokens returns the number of tokens in prompt, with tokens as in BlockHashes.
func CountTokens(prompt string) int {
	count := 0
	for range tokens(prompt) {
		count++
	}
	return count
}

func startBlock(digest *xxhash.Digest, parent uint64) {
	digest.Reset()
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], parent)
	_, _ = digest.Write(seed[:])
}

// tokens yields the tokens of text.
func tokens(text string) iter.Seq[string] {
	return func(yield func(string) bool) {
		start := -1
		for i, r := range text {
			space := unicode.IsSpace(r)
			if space && start >= 0 {
				if !yield(text[start:i]) {
					return
				}
				start = -1
			}
			if !space && start < 0 {
				start = i
			}
		}
		if start >= 0 {
			yield(text[start:])
		}
	}
}
