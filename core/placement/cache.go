package placement

import "container/list"

// Part is a section of a prompt that several prompts may share.
type Part struct {
	ID     string
	Tokens int
}

// Cache estimates which prompt parts are in an engine's prefix cache: the most
// recently used ones that fit in its memory.
type Cache struct {
	capacity int // In tokens.
	tokens   int
	lru      *list.List // Of Part, most recently used first.
	parts    map[string]*list.Element
}

// NewCache returns an empty cache with a capacity in tokens.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, lru: list.New(), parts: make(map[string]*list.Element)}
}

// CachedTokens returns the number of prompt tokens that need no prefill: those of
// the leading parts up to the first that is not cached.
func (c *Cache) CachedTokens(prompt []Part) int {
	cached := 0
	for _, part := range prompt {
		if _, ok := c.parts[part.ID]; !ok {
			break
		}
		cached += part.Tokens
	}
	return cached
}

// Use marks the parts of a prompt as used now and evicts the least recently used
// ones above the capacity. The first part becomes the most recent, so that later
// parts, which are useless without it, are evicted before it.
func (c *Cache) Use(prompt []Part) {
	for i := len(prompt) - 1; i >= 0; i-- {
		c.touch(prompt[i])
	}
	for c.tokens > c.capacity && c.lru.Len() > 0 {
		oldest := c.lru.Back()
		part := oldest.Value.(Part)
		c.lru.Remove(oldest)
		delete(c.parts, part.ID)
		c.tokens -= part.Tokens
	}
}

func (c *Cache) touch(part Part) {
	if element, ok := c.parts[part.ID]; ok {
		c.lru.MoveToFront(element)
		return
	}
	c.parts[part.ID] = c.lru.PushFront(part)
	c.tokens += part.Tokens
}
