package target

import "github.com/cespare/xxhash/v2"

// BytesPerToken is the average length of a token, in bytes of prompt text. It is
// an estimate for admission and routing; engines count for themselves.
const BytesPerToken = 4

// EstimateTokens estimates the tokens of a text of so many bytes, at least one.
func EstimateTokens(bytes int) int64 {
	return max(1, int64(bytes)/BytesPerToken)
}

// The points at which prefixes of a prompt are hashed: each block up to
// denseBlocks, and from there on at twice the distance each time, so that a
// prompt of a million tokens has few of them.
const (
	blockTokens  = 1024
	blockBytes   = blockTokens * BytesPerToken
	denseBlocks  = 16
	maxPrefixes  = 24
	sparseFactor = 2
)

// prefixBlocks is the number of blocks in prefix i.
func prefixBlocks(i int) int {
	if i < denseBlocks {
		return i + 1
	}
	return denseBlocks << (i - denseBlocks + 1)
}

// PrefixTokens is the length in tokens of prefix i of PrefixHashes.
func PrefixTokens(i int) int64 { return int64(prefixBlocks(i)) * blockTokens }

// PrefixHashes returns the hashes of a prompt's prefixes, the shortest first.
// Two prompts that share PrefixHashes(...)[i] share PrefixTokens(i) tokens.
func PrefixHashes(prompt string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	done := 0
	for i := range maxPrefixes {
		end := prefixBlocks(i) * blockBytes
		if end > len(prompt) {
			break
		}
		_, _ = digest.WriteString(prompt[done:end]) // A digest never fails.
		done = end
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
