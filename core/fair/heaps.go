package fair

import "container/heap"

// notInHeap is the index of a flow without waiting items.
const notInHeap = -1

// classQueue holds the flows of one class that have waiting items, in two heaps:
// one by which is served first and one by which is served last.
type classQueue struct {
	first flowHeap
	last  flowHeap
}

func newClassQueue() classQueue {
	return classQueue{
		first: flowHeap{
			less:    func(a, b *flow) bool { return a.team.counter < b.team.counter },
			indexOf: func(f *flow) *int { return &f.firstIndex },
		},
		last: flowHeap{
			less:    func(a, b *flow) bool { return a.lastStart() > b.lastStart() },
			indexOf: func(f *flow) *int { return &f.lastIndex },
		},
	}
}

func (c *classQueue) fix(f *flow) {
	c.first.fix(f)
	c.last.fix(f)
}

// flowHeap is a heap of flows that store their own index in it.
type flowHeap struct {
	flows   []*flow
	less    func(a, b *flow) bool
	indexOf func(*flow) *int
}

func (h *flowHeap) top() *flow {
	if len(h.flows) == 0 {
		return nil
	}
	return h.flows[0]
}

// fix adds, moves or removes a flow after its items or its counter changed.
func (h *flowHeap) fix(f *flow) {
	index := *h.indexOf(f)
	switch {
	case len(f.items) == 0 && index != notInHeap:
		heap.Remove(h, index)
	case len(f.items) > 0 && index == notInHeap:
		heap.Push(h, f)
	case index != notInHeap:
		heap.Fix(h, index)
	}
}

func (h *flowHeap) Len() int { return len(h.flows) }

func (h *flowHeap) Less(i, j int) bool { return h.less(h.flows[i], h.flows[j]) }

func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	*h.indexOf(h.flows[i]) = i
	*h.indexOf(h.flows[j]) = j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	*h.indexOf(f) = len(h.flows)
	h.flows = append(h.flows, f)
}

func (h *flowHeap) Pop() any {
	end := len(h.flows) - 1
	f := h.flows[end]
	h.flows[end] = nil
	h.flows = h.flows[:end]
	*h.indexOf(f) = notInHeap
	return f
}
