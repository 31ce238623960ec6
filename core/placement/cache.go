package placement

import "container/list"

// Part is a part of a prompt that several prompts may share.
type Part struct {
	ID     string
	Tokens int
}

// Cache guesses which prompt parts an engine holds: those that were sent to it
// most recently and fit its memory.
type Cache struct {
	capacity int // Tokens.
	tokens   int
	order    *list.List // Of Part, the most recently used first.
	parts    map[string]*list.Element
}

// NewCache returns an empty cache of a capacity in tokens.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, order: list.New(), parts: make(map[string]*list.Element)}
}

// Held returns how many tokens of a prompt need not be read: those of its
// leading parts up to the first that is missing.
func (c *Cache) Held(prompt []Part) int {
	held := 0
	for _, part := range prompt {
		if _, ok := c.parts[part.ID]; !ok {
			break
		}
		held += part.Tokens
	}
	return held
}

// Use notes that the engine reads or has read a prompt.
func (c *Cache) Use(prompt []Part) {
	for i := len(prompt) - 1; i >= 0; i-- {
		c.touch(prompt[i])
	}
	for c.tokens > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Back()
		part := oldest.Value.(Part)
		c.order.Remove(oldest)
		delete(c.parts, part.ID)
		c.tokens -= part.Tokens
	}
}

func (c *Cache) touch(part Part) {
	if element, ok := c.parts[part.ID]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.parts[part.ID] = c.order.PushFront(part)
	c.tokens += part.Tokens
}
