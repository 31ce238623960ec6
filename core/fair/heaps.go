package fair

import "container/heap"

// absent is the index of a flow that is in no heap.
const absent = -1

// classQueue holds the flows of one class that wait, by who is served first
// and by who is served last.
type classQueue struct {
	first flowHeap
	last  flowHeap
}

func newClassQueue() classQueue {
	return classQueue{
		first: flowHeap{
			less: func(a, b *flow) bool { return a.team.counter < b.team.counter },
			at:   func(f *flow) *int { return &f.firstAt },
		},
		last: flowHeap{
			less: func(a, b *flow) bool { return a.lastStart() > b.lastStart() },
			at:   func(f *flow) *int { return &f.lastAt },
		},
	}
}

func (c *classQueue) fix(f *flow) {
	c.first.fix(f)
	c.last.fix(f)
}

// flowHeap is a heap of flows that know their index.
type flowHeap struct {
	flows []*flow
	less  func(a, b *flow) bool
	at    func(*flow) *int
}

func (h *flowHeap) top() *flow {
	if len(h.flows) == 0 {
		return nil
	}
	return h.flows[0]
}

// fix adds, moves or removes a flow according to its items and counter.
func (h *flowHeap) fix(f *flow) {
	index := *h.at(f)
	switch {
	case len(f.items) == 0 && index != absent:
		heap.Remove(h, index)
	case len(f.items) > 0 && index == absent:
		heap.Push(h, f)
	case index != absent:
		heap.Fix(h, index)
	}
}

// Len implements heap.Interface.
func (h *flowHeap) Len() int { return len(h.flows) }

// Less implements heap.Interface.
func (h *flowHeap) Less(i, j int) bool { return h.less(h.flows[i], h.flows[j]) }

// Swap implements heap.Interface.
func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	*h.at(h.flows[i]) = i
	*h.at(h.flows[j]) = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	*h.at(f) = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	end := len(h.flows) - 1
	f := h.flows[end]
	h.flows[end] = nil
	h.flows = h.flows[:end]
	*h.at(f) = absent
	return f
}
