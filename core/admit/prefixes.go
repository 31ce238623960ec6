package admit

import "container/list"

// Prefixes is a model of an engine's prefix cache: the most recently used prompt
// prefixes, up to a total number of tokens. It is not safe for concurrent use.
type Prefixes struct {
	limit       float64
	totalTokens float64    // Sum over all prefixes.
	order       *list.List // Most recently used first.
	byHash      map[uint64]*list.Element
}

type prefix struct {
	hash   uint64
	tokens float64
}

// NewPrefixes returns an empty model of a cache of limit tokens.
func NewPrefixes(limit float64) *Prefixes {
	return &Prefixes{limit: limit, order: list.New(), byHash: make(map[uint64]*list.Element)}
}

// Use returns the tokens of a prefix that are probably cached, and records the
// prefix as cached from now on.
func (p *Prefixes) Use(hash uint64, tokens float64) float64 {
	if hash == 0 || tokens <= 0 || tokens > p.limit {
		return 0
	}
	if element, ok := p.byHash[hash]; ok {
		p.order.MoveToFront(element)
		return element.Value.(prefix).tokens
	}
	p.byHash[hash] = p.order.PushFront(prefix{hash: hash, tokens: tokens})
	p.totalTokens += tokens
	for p.totalTokens > p.limit {
		p.evict()
	}
	return 0
}

// Forget removes a prefix that the engine had to process although it was expected to
// be cached.
func (p *Prefixes) Forget(hash uint64) {
	if element, ok := p.byHash[hash]; ok {
		p.remove(element)
	}
}

func (p *Prefixes) evict() { p.remove(p.order.Back()) }

func (p *Prefixes) remove(element *list.Element) {
	gone := p.order.Remove(element).(prefix)
	delete(p.byHash, gone.hash)
	p.totalTokens -= gone.tokens
}
