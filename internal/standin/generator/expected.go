package generator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Expected returns the complete text that an engine generates for the prompt with the
// model, which is an adapter or the base model. For a chat, prompt is the result of
// orderer.ChatPrompt.
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

// tokenText returns the token at the index of the text with the seed. A token contains
// its index, so that lost and duplicate tokens can be detected.
func tokenText(seed uint64, index int) string {
	mixed := (seed + uint64(index)) * 0x9e3779b97f4a7c15
	return " " + strconv.FormatUint(mixed>>44, 36) + "." + strconv.Itoa(index)
}
