package standin

import (
	"slices"

	"doorstack.dev/node/target"
)

// prefixCache holds prefixes of finished prompts, the least recently used going
// first. An entry stands for the tokens between it and the prefix before it.
type prefixCache struct {
	maxTokens   int64
	totalTokens int64
	tokens      map[uint64]int64
	byRecency   []uint64
}

// match returns how many tokens of a prompt are held.
func (c *prefixCache) matchedTokens(prefixes []uint64) int64 {
	held := int64(0)
	for i, p := range prefixes {
		if _, ok := c.tokens[p]; !ok {
			break
		}
		held = target.PrefixTokens(i)
		c.markUsed(p)
	}
	return held
}

func (c *prefixCache) markUsed(p uint64) {
	if at := slices.Index(c.byRecency, p); at >= 0 {
		c.byRecency = append(slices.Delete(c.byRecency, at, at+1), p)
	}
}

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
