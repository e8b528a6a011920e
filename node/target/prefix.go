package target

import "github.com/cespare/xxhash/v2"

// BytesPerToken is the assumed average length of a token, in bytes of prompt text. It is
// an estimate for admission and routing; engines count tokens themselves.
const BytesPerToken = 4

// EstimateTokens estimates the number of tokens, at least one, in a text of the given length.
func EstimateTokens(bytes int) int64 {
	return max(1, int64(bytes)/BytesPerToken)
}

// The prefixes of a prompt that are hashed: the first denseBlocks of them grow by one block
// each, and every later prefix is twice as long as the one before, so that a prompt of a
// million tokens has few prefixes.
const (
	blockTokens = 1024
	blockBytes  = blockTokens * BytesPerToken
	denseBlocks = 16
	maxPrefixes = 24
)

// prefixBlocks returns the number of blocks in prefix i.
func prefixBlocks(i int) int {
	if i < denseBlocks {
		return i + 1
	}
	return denseBlocks << (i - denseBlocks + 1)
}

// PrefixTokens returns the length in tokens of prefix i of PrefixHashes.
func PrefixTokens(i int) int64 { return int64(prefixBlocks(i)) * blockTokens }

// PrefixHashes returns the hashes of a prompt's prefixes, the shortest first.
// Two prompts with the same hash at index i share their first PrefixTokens(i) tokens.
func PrefixHashes(prompt string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	done := 0
	for i := range maxPrefixes {
		end := prefixBlocks(i) * blockBytes
		if end > len(prompt) {
			break
		}
		_, _ = digest.WriteString(prompt[done:end]) // Writing to a digest never fails.
		done = end
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
