package admit

import "container/list"

// Prefixes remembers which prompt prefixes an engine has probably cached: the
// most recently used ones within a limit of tokens.
type Prefixes struct {
	limit  float64
	held   float64
	order  *list.List // Most recent first.
	byHash map[uint64]*list.Element
}

type prefix struct {
	hash   uint64
	tokens float64
}

// NewPrefixes returns an empty memory of at most limit tokens.
func NewPrefixes(limit float64) *Prefixes {
	return &Prefixes{limit: limit, order: list.New(), byHash: make(map[uint64]*list.Element)}
}

// Use returns the tokens of a prefix that are probably cached and notes that
// they will be from now on.
func (p *Prefixes) Use(hash uint64, tokens float64) float64 {
	if hash == 0 || tokens <= 0 || tokens > p.limit {
		return 0
	}
	if element, ok := p.byHash[hash]; ok {
		p.order.MoveToFront(element)
		return element.Value.(prefix).tokens
	}
	p.byHash[hash] = p.order.PushFront(prefix{hash: hash, tokens: tokens})
	p.held += tokens
	for p.held > p.limit {
		p.evict()
	}
	return 0
}

// Missed corrects the memory after the engine had to process a prefix that was
// expected in its cache.
func (p *Prefixes) Missed(hash uint64) {
	if element, ok := p.byHash[hash]; ok {
		p.remove(element)
	}
}

func (p *Prefixes) evict() { p.remove(p.order.Back()) }

func (p *Prefixes) remove(element *list.Element) {
	gone := p.order.Remove(element).(prefix)
	delete(p.byHash, gone.hash)
	p.held -= gone.tokens
}
