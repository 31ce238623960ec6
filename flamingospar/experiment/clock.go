package experiment

import "container/heap"

// event is something that happens at a virtual time.
type event struct {
	at   float64
	turn int // Events of one time happen in the order in which they were planned.
	do   func()
}

// clock runs events in the order of their virtual time.
type clock struct {
	now    float64
	turns  int
	events eventHeap
}

// after plans do for a span from now on.
func (c *clock) after(seconds float64, do func()) {
	c.turns++
	heap.Push(&c.events, event{at: c.now + seconds, turn: c.turns, do: do})
}

// run lets all events happen that come before end.
func (c *clock) run(end float64) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.do()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].turn < h[j].turn
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	end := len(*h) - 1
	last := (*h)[end]
	(*h)[end] = event{}
	*h = (*h)[:end]
	return last
}
