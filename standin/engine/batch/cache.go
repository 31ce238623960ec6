package batch

import "container/list"

// prefixCache is an LRU cache of prompt prefixes whose size is counted in tokens.
type prefixCache struct {
	maxTokens  int
	usedTokens int
	recency    *list.List // Of cachedPrefix, most recently used first.
	byHash     map[uint64]*list.Element
}

type cachedPrefix struct {
	hash   uint64
	tokens int
}

func newPrefixCache(maxTokens int) *prefixCache {
	return &prefixCache{maxTokens: maxTokens, recency: list.New(), byHash: make(map[uint64]*list.Element)}
}

// touch reports whether the prefix is cached, and marks it as most recently used.
func (c *prefixCache) touch(hash uint64) bool {
	element, ok := c.byHash[hash]
	if ok {
		c.recency.MoveToFront(element)
	}
	return ok
}

func (c *prefixCache) add(hash uint64, tokens int) {
	if tokens == 0 || tokens > c.maxTokens || c.touch(hash) {
		return
	}
	c.byHash[hash] = c.recency.PushFront(cachedPrefix{hash: hash, tokens: tokens})
	c.usedTokens += tokens
	for c.usedTokens > c.maxTokens {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	oldest := c.recency.Back()
	prefix := c.recency.Remove(oldest).(cachedPrefix)
	delete(c.byHash, prefix.hash)
	c.usedTokens -= prefix.tokens
}
