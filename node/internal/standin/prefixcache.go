package standin

import (
	"slices"

	"doorstack.dev/node/target"
)

// prefixCache is a cache of prefixes of prefilled prompts that evicts the least recently
// used. An entry counts the tokens between its prefix and the next shorter one.
type prefixCache struct {
	maxTokens   int64
	totalTokens int64
	tokens      map[uint64]int64
	byRecency   []uint64
}

// matchedTokens returns how many tokens at the beginning of a prompt are cached, and marks
// their prefixes as used.
func (c *prefixCache) matchedTokens(prefixes []uint64) int64 {
	matched := int64(0)
	for i, p := range prefixes {
		if _, ok := c.tokens[p]; !ok {
			break
		}
		matched = target.PrefixTokens(i)
		c.markUsed(p)
	}
	return matched
}

// markUsed makes a prefix the most recently used.
func (c *prefixCache) markUsed(p uint64) {
	if at := slices.Index(c.byRecency, p); at >= 0 {
		c.byRecency = append(slices.Delete(c.byRecency, at, at+1), p)
	}
}

// add adds the prefixes of a prompt that fit within the size limit, and returns the
// hashes added and those evicted.
func (c *prefixCache) add(prefixes []uint64) (stored, evicted []uint64) {
	before := int64(0)
	for i, p := range prefixes {
		upto := target.PrefixTokens(i)
		if upto > c.maxTokens {
			break
		}
		if _, ok := c.tokens[p]; !ok {
			c.tokens[p] = upto - before
			c.totalTokens += upto - before
			c.byRecency = append(c.byRecency, p)
			stored = append(stored, p)
		}
		before = upto
	}
	for c.totalTokens > c.maxTokens {
		oldest := c.byRecency[0]
		c.byRecency = c.byRecency[1:]
		c.totalTokens -= c.tokens[oldest]
		delete(c.tokens, oldest)
		evicted = append(evicted, oldest)
	}
	return stored, evicted
}
