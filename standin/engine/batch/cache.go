package batch

import "container/list"

// prefixCache keeps the most recently used prefixes within a token limit.
type prefixCache struct {
	limit  int
	held   int
	order  *list.List // Of cached prefixes, most recent first.
	byHash map[uint64]*list.Element
}

type cachedPrefix struct {
	hash   uint64
	tokens int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), byHash: make(map[uint64]*list.Element)}
}

// use reports whether the prefix is cached and marks it as recent.
func (c *prefixCache) use(hash uint64) bool {
	element, ok := c.byHash[hash]
	if ok {
		c.order.MoveToFront(element)
	}
	return ok
}

func (c *prefixCache) add(hash uint64, tokens int) {
	if tokens == 0 || tokens > c.limit || c.use(hash) {
		return
	}
	c.byHash[hash] = c.order.PushFront(cachedPrefix{hash: hash, tokens: tokens})
	c.held += tokens
	for c.held > c.limit {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	oldest := c.order.Back()
	prefix := c.order.Remove(oldest).(cachedPrefix)
	delete(c.byHash, prefix.hash)
	c.held -= prefix.tokens
}
