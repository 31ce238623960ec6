package fair

import "container/heap"

// team is what the queue keeps of one team.
type team struct {
	name    string
	weight  float64
	counter float64 // Service given, divided by weight.
	waiting int
	flows   [Classes]*flow
}

func (t *team) setWeight(weight float64) {
	if weight <= 0 {
		weight = 1
	}
	t.weight = weight
}

func (t *team) flow(class Class) *flow {
	if t.flows[class] == nil {
		t.flows[class] = &flow{team: t, firstAt: absent, lastAt: absent}
	}
	return t.flows[class]
}

// entry is a waiting item and where it stands.
type entry struct {
	item    Item
	arrival int64
	flow    *flow
	at      int // Index in the flow's heap.
}

// flow holds a team's waiting items of one class, as a heap by order.
type flow struct {
	team    *team
	items   []*entry
	cost    float64
	firstAt int // Index in the class's heaps, or absent.
	lastAt  int
}

// Len implements heap.Interface.
func (f *flow) Len() int { return len(f.items) }

// Less implements heap.Interface.
func (f *flow) Less(i, j int) bool { return f.items[i].before(f.items[j]) }

// Swap implements heap.Interface.
func (f *flow) Swap(i, j int) {
	f.items[i], f.items[j] = f.items[j], f.items[i]
	f.items[i].at = i
	f.items[j].at = j
}

// Push implements heap.Interface.
func (f *flow) Push(x any) {
	e := x.(*entry)
	e.at = len(f.items)
	f.items = append(f.items, e)
}

// Pop implements heap.Interface.
func (f *flow) Pop() any {
	end := len(f.items) - 1
	e := f.items[end]
	f.items[end] = nil
	f.items = f.items[:end]
	return e
}

func (e *entry) before(other *entry) bool {
	if e.item.Order != other.item.Order {
		return e.item.Order < other.item.Order
	}
	return e.arrival < other.arrival
}

func (f *flow) push(e *entry) {
	heap.Push(f, e)
	f.cost += e.item.Cost
}

func (f *flow) remove(e *entry) {
	heap.Remove(f, e.at)
	f.cost -= e.item.Cost
}

// newest returns the item that this flow would serve last, or nearly so: the
// last leaf of its heap is not before its parent.
func (f *flow) newest() *entry { return f.items[len(f.items)-1] }

// lastStart is the counter at which the flow's newest item would be served,
// when all before it has been. Its own cost does not count: a team of little
// weight that waits for one run is not behind one that waits for many.
func (f *flow) lastStart() float64 {
	return f.team.counter + (f.cost-f.newest().item.Cost)/f.team.weight
}
