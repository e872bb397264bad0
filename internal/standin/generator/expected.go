package generator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Expected returns the whole text that an engine answers to prompt with the model,
// an adapter or the base model. For a chat, prompt is orderer.ChatPrompt.
func Expected(model, prompt string, maxTokens int) string {
	seed := textSeed(model, prompt)
	var text strings.Builder
	for i := range maxTokens {
		text.WriteString(tokenText(seed, i))
	}
	return text.String()
}

func textSeed(model, prompt string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

// tokenText returns the token at the index of the text with the seed. Its index is
// part of the token, so that a lost or doubled token shows.
func tokenText(seed uint64, index int) string {
	mixed := (seed + uint64(index)) * 0x9e3779b97f4a7c15
	return " " + strconv.FormatUint(mixed>>44, 36) + "." + strconv.Itoa(index)
}
