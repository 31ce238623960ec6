package experiment

import "container/heap"

// event is an action scheduled at a virtual time.
type event struct {
	at     float64
	seq    int // Orders events of the same time by when they were scheduled.
	action func()
}

// clock is the virtual clock and event queue of a simulation.
type clock struct {
	now     float64
	lastSeq int
	events  eventHeap
}

// after schedules action after a delay.
func (c *clock) after(seconds float64, action func()) {
	c.lastSeq++
	heap.Push(&c.events, event{at: c.now + seconds, seq: c.lastSeq, action: action})
}

// run processes all events up to and including end and sets the time to end.
func (c *clock) run(end float64) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.action()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
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
