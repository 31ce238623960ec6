package fair

import "container/heap"

// team is the state of one team in the queue.
type team struct {
	name    string
	weight  float64
	counter float64 // Service received, divided by weight.
	waiting int
	flows   [NumClasses]*flow
}

func (t *team) setWeight(weight float64) {
	if weight <= 0 {
		weight = 1
	}
	t.weight = weight
}

func (t *team) flow(class Class) *flow {
	if t.flows[class] == nil {
		t.flows[class] = &flow{team: t, firstIndex: notInHeap, lastIndex: notInHeap}
	}
	return t.flows[class]
}

// queuedItem is a waiting item and its position in the queue.
type queuedItem struct {
	item    Item
	arrival int64 // Sequence number; breaks ties of Item.Order.
	flow    *flow
	index   int // Index in the flow's heap.
}

// flow is a heap of a team's waiting items of one class, sorted by Item.Order.
type flow struct {
	team       *team
	items      []*queuedItem
	cost       float64 // Sum over the items.
	firstIndex int     // Index in classQueue.first, or notInHeap.
	lastIndex  int     // Index in classQueue.last, or notInHeap.
}

func (f *flow) Len() int { return len(f.items) }

func (f *flow) Less(i, j int) bool { return f.items[i].before(f.items[j]) }

func (f *flow) Swap(i, j int) {
	f.items[i], f.items[j] = f.items[j], f.items[i]
	f.items[i].index = i
	f.items[j].index = j
}

func (f *flow) Push(x any) {
	e := x.(*queuedItem)
	e.index = len(f.items)
	f.items = append(f.items, e)
}

func (f *flow) Pop() any {
	end := len(f.items) - 1
	e := f.items[end]
	f.items[end] = nil
	f.items = f.items[:end]
	return e
}

func (e *queuedItem) before(other *queuedItem) bool {
	if e.item.Order != other.item.Order {
		return e.item.Order < other.item.Order
	}
	return e.arrival < other.arrival
}

func (f *flow) push(e *queuedItem) {
	heap.Push(f, e)
	f.cost += e.item.Cost
}

func (f *flow) remove(e *queuedItem) {
	heap.Remove(f, e.index)
	f.cost -= e.item.Cost
}

// newest returns the last element of the heap. It is a leaf, so it is served late in
// the flow, but not always last.
func (f *flow) newest() *queuedItem { return f.items[len(f.items)-1] }

// lastStart returns the value of the team's counter at which the flow's newest item
// would be served after all items before it. The item's own cost is excluded:
// otherwise a team of low weight with a single waiting run would be evicted before a
// team with many.
func (f *flow) lastStart() float64 {
	return f.team.counter + (f.cost-f.newest().item.Cost)/f.team.weight
}
