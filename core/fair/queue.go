// Package fair orders waiting runs by weighted max-min fair share of service
// when the service that a run takes is known only as it is given.
//
// Each team has a counter of the service that it was given, divided by its
// weight. The waiting team with the lowest counter is served next. A run is
// charged its predicted cost when it leaves the queue and corrected while it
// runs. A team that begins to wait is lifted to the queue's virtual time, so
// that an idle team banks no credit; a team's debt outlasts its idle time.
package fair

// Class orders runs of different urgency; lower is more urgent.
type Class int

// Classes is the number of classes.
const Classes = 3

// lowClassEvery is how often, in pops, the least urgent waiting class goes
// first, so that no class starves.
const lowClassEvery = 8

// firstSweep is the number of teams at which records of idle teams are first dropped.
const firstSweep = 64

// Item is one waiting run.
type Item struct {
	ID     string
	Team   string
	Weight float64 // Of the team; not positive counts as 1.
	Class  Class
	Cost   float64 // Predicted service, in seconds of the endpoint.
	Order  float64 // Within team and class; lower first.
}

// Queue is a fair queue. It is not safe for concurrent use.
type Queue struct {
	teams   map[string]*team
	items   map[string]*entry
	classes [Classes]classQueue
	virtual float64 // Counter of the team served last; never falls.
	cost    float64 // Of all waiting items.
	pops    int
	arrival int64
	sweepAt int
}

// New returns an empty queue.
func New() *Queue {
	q := &Queue{teams: make(map[string]*team), items: make(map[string]*entry), sweepAt: firstSweep}
	for i := range q.classes {
		q.classes[i] = newClassQueue()
	}
	return q
}

// Push adds an item. An item with the id of a waiting one replaces it.
func (q *Queue) Push(item Item) {
	q.Remove(item.ID)
	item.Class = min(max(item.Class, 0), Classes-1)
	t := q.team(item.Team)
	t.setWeight(item.Weight)
	if t.waiting == 0 {
		t.counter = max(t.counter, q.virtual)
	}
	f := t.flow(item.Class)
	q.arrival++
	e := &entry{item: item, arrival: q.arrival, flow: f}
	f.push(e)
	t.waiting++
	q.items[item.ID] = e
	q.cost += item.Cost
	q.fix(t)
}

// Pop removes the item that is served next and charges its team the predicted cost.
func (q *Queue) Pop() (Item, bool) { return q.PopUpTo(Classes - 1) }

// PopUpTo is Pop among the classes as urgent as least or more.
func (q *Queue) PopUpTo(least Class) (Item, bool) {
	class, ok := q.nextClass(least)
	if !ok {
		return Item{}, false
	}
	q.pops++
	f := q.classes[class].first.top()
	q.virtual = max(q.virtual, f.team.counter)
	e := f.items[0]
	q.drop(e)
	q.Charge(e.item.Team, e.item.Cost)
	return e.item, true
}

// Next returns the item that Pop would return, without removing it.
func (q *Queue) Next() (Item, bool) {
	class, ok := q.nextClass(Classes - 1)
	if !ok {
		return Item{}, false
	}
	return q.classes[class].first.top().items[0].item, true
}

// Last returns the item that Evict would remove.
func (q *Queue) Last() (Item, bool) {
	e := q.last()
	if e == nil {
		return Item{}, false
	}
	return e.item, true
}

// Evict removes the item that would be served last: the newest of the team
// whose waiting work reaches furthest beyond its share, in the least urgent class.
func (q *Queue) Evict() (Item, bool) {
	e := q.last()
	if e == nil {
		return Item{}, false
	}
	q.drop(e)
	return e.item, true
}

func (q *Queue) last() *entry {
	for class := Classes - 1; class >= 0; class-- {
		if f := q.classes[class].last.top(); f != nil {
			return f.newest()
		}
	}
	return nil
}

// Remove takes a waiting item out without a charge and reports whether it waited.
func (q *Queue) Remove(id string) bool {
	e, ok := q.items[id]
	if ok {
		q.drop(e)
	}
	return ok
}

// Charge adds service that a team was given, here or elsewhere, beyond what it
// was charged. Negative service gives back what a prediction took too much.
func (q *Queue) Charge(name string, service float64) {
	t := q.team(name)
	t.counter += service / t.weight
	q.fix(t)
}

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return len(q.items) }

// WaitingOf returns the number of waiting items of a team.
func (q *Queue) WaitingOf(name string) int {
	if t, ok := q.teams[name]; ok {
		return t.waiting
	}
	return 0
}

// Cost returns the predicted service of all waiting items.
func (q *Queue) Cost() float64 {
	if len(q.items) == 0 {
		return 0
	}
	return q.cost
}

// Debt returns by how much a team's counter is ahead of the virtual time.
func (q *Queue) Debt(name string) float64 {
	t, ok := q.teams[name]
	if !ok {
		return 0
	}
	return max(0, t.counter-q.virtual)
}

func (q *Queue) nextClass(least Class) (Class, bool) {
	lowFirst := q.pops%lowClassEvery == lowClassEvery-1
	for i := range least + 1 {
		class := i
		if lowFirst {
			class = least - i
		}
		if q.classes[class].first.top() != nil {
			return class, true
		}
	}
	return 0, false
}

func (q *Queue) drop(e *entry) {
	e.flow.remove(e)
	e.flow.team.waiting--
	delete(q.items, e.item.ID)
	q.cost -= e.item.Cost
	q.fix(e.flow.team)
}

// fix restores the heaps after a change of a team's counter or items.
func (q *Queue) fix(t *team) {
	for class, f := range t.flows {
		if f != nil {
			q.classes[class].fix(f)
		}
	}
}

func (q *Queue) team(name string) *team {
	if t, ok := q.teams[name]; ok {
		return t
	}
	q.sweep()
	t := &team{name: name, weight: 1, counter: q.virtual}
	q.teams[name] = t
	return t
}

// sweep drops the records of idle teams without debt. Its cost is amortised
// over the teams added since the last one.
func (q *Queue) sweep() {
	if len(q.teams) < q.sweepAt {
		return
	}
	for name, t := range q.teams {
		if t.waiting == 0 && t.counter <= q.virtual {
			delete(q.teams, name)
		}
	}
	q.sweepAt = firstSweep + 2*len(q.teams)
}
