package standin

import (
	"slices"

	"doorstack.dev/node/target"
)

// prefixCache holds prefixes of finished prompts, the least recently used going
// first. An entry stands for the tokens between it and the prefix before it.
type prefixCache struct {
	limit  int64
	total  int64
	tokens map[uint64]int64
	recent []uint64
}

// match returns how many tokens of a prompt are held.
func (c *prefixCache) match(prefixes []uint64) int64 {
	held := int64(0)
	for i, p := range prefixes {
		if _, ok := c.tokens[p]; !ok {
			break
		}
		held = target.PrefixTokens(i)
		c.touch(p)
	}
	return held
}

func (c *prefixCache) touch(p uint64) {
	if at := slices.Index(c.recent, p); at >= 0 {
		c.recent = append(slices.Delete(c.recent, at, at+1), p)
	}
}

func (c *prefixCache) store(prefixes []uint64) (stored, evicted []uint64) {
	before := int64(0)
	for i, p := range prefixes {
		upto := target.PrefixTokens(i)
		if upto > c.limit {
			break
		}
		if _, ok := c.tokens[p]; !ok {
			c.tokens[p] = upto - before
			c.total += upto - before
			c.recent = append(c.recent, p)
			stored = append(stored, p)
		}
		before = upto
	}
	for c.total > c.limit {
		oldest := c.recent[0]
		c.recent = c.recent[1:]
		c.total -= c.tokens[oldest]
		delete(c.tokens, oldest)
		evicted = append(evicted, oldest)
	}
	return stored, evicted
}
