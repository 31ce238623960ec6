// Package fair orders waiting runs by weighted max-min fair sharing when the service
// that a run needs is not known in advance.
//
// Each team has a counter of the service it has received, divided by its weight.
// The waiting team with the lowest counter is served next. A run is charged its
// predicted cost when it leaves the queue, and the charge is corrected while it
// runs. When a team without waiting runs adds one, its counter is raised to the
// queue's virtual time, so that idle teams accumulate no credit. A counter above the
// virtual time is kept, so that a team can't shed its debt by being idle.
package fair

// Class is the urgency of a run; lower values are more urgent.
type Class int

// NumClasses is the number of classes.
const NumClasses = 3

// lowClassFirstEveryPops is the interval, in pops, at which the least urgent class
// with waiting runs is served first, so that no class starves.
const lowClassFirstEveryPops = 8

// firstSweepTeams is the number of teams at which idle ones are first removed.
const firstSweepTeams = 64

// Item is a waiting run.
type Item struct {
	ID     string
	Team   string
	Weight float64 // Of the team; values <= 0 count as 1.
	Class  Class
	Cost   float64 // Predicted service, in seconds of endpoint time.
	Order  float64 // Rank within team and class; lower is served first.
}

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue struct {
	teams       map[string]*team
	items       map[string]*queuedItem
	classes     [NumClasses]classQueue
	virtualTime float64 // Highest counter of a team when served; never decreases.
	cost        float64 // Sum over all waiting items.
	pops        int
	arrival     int64
	sweepAt     int // Number of teams at which idle ones are next removed.
}

// New returns an empty queue.
func New() *Queue {
	q := &Queue{teams: make(map[string]*team), items: make(map[string]*queuedItem), sweepAt: firstSweepTeams}
	for i := range q.classes {
		q.classes[i] = newClassQueue()
	}
	return q
}

// Push adds an item. It replaces a waiting item with the same ID.
func (q *Queue) Push(item Item) {
	q.Remove(item.ID)
	item.Class = min(max(item.Class, 0), NumClasses-1)
	t := q.team(item.Team)
	t.setWeight(item.Weight)
	if t.waiting == 0 {
		t.counter = max(t.counter, q.virtualTime)
	}
	f := t.flow(item.Class)
	q.arrival++
	e := &queuedItem{item: item, arrival: q.arrival, flow: f}
	f.push(e)
	t.waiting++
	q.items[item.ID] = e
	q.cost += item.Cost
	q.fix(t)
}

// Pop removes the item to be served next and charges its team the predicted cost.
func (q *Queue) Pop() (Item, bool) { return q.PopUpTo(NumClasses - 1) }

// PopUpTo is like Pop but skips classes less urgent than least.
func (q *Queue) PopUpTo(least Class) (Item, bool) {
	class, ok := q.nextClass(least)
	if !ok {
		return Item{}, false
	}
	q.pops++
	f := q.classes[class].first.top()
	q.virtualTime = max(q.virtualTime, f.team.counter)
	e := f.items[0]
	q.drop(e)
	q.Charge(e.item.Team, e.item.Cost)
	return e.item, true
}

// Next returns the item that Pop would return, without removing it.
func (q *Queue) Next() (Item, bool) {
	class, ok := q.nextClass(NumClasses - 1)
	if !ok {
		return Item{}, false
	}
	return q.classes[class].first.top().items[0].item, true
}

// Last returns the item that Evict would remove, without removing it.
func (q *Queue) Last() (Item, bool) {
	e := q.last()
	if e == nil {
		return Item{}, false
	}
	return e.item, true
}

// Evict removes the item to be served last. In the least urgent class with waiting
// items, it is taken from the team whose waiting work extends furthest ahead of its
// share.
func (q *Queue) Evict() (Item, bool) {
	e := q.last()
	if e == nil {
		return Item{}, false
	}
	q.drop(e)
	return e.item, true
}

func (q *Queue) last() *queuedItem {
	for class := NumClasses - 1; class >= 0; class-- {
		if f := q.classes[class].last.top(); f != nil {
			return f.newest()
		}
	}
	return nil
}

// Remove removes a waiting item without charging its team. It reports whether the
// item was waiting.
func (q *Queue) Remove(id string) bool {
	e, ok := q.items[id]
	if ok {
		q.drop(e)
	}
	return ok
}

// Charge adds service beyond the predicted costs to the counter of a team, such as
// service received at another endpoint. A negative value refunds a prediction that
// was too high.
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

// Debt returns how far a team's counter is ahead of the virtual time.
func (q *Queue) Debt(name string) float64 {
	t, ok := q.teams[name]
	if !ok {
		return 0
	}
	return max(0, t.counter-q.virtualTime)
}

// nextClass returns the class to serve next among those not less urgent than least.
func (q *Queue) nextClass(least Class) (Class, bool) {
	lowFirst := q.pops%lowClassFirstEveryPops == lowClassFirstEveryPops-1
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

func (q *Queue) drop(e *queuedItem) {
	e.flow.remove(e)
	e.flow.team.waiting--
	delete(q.items, e.item.ID)
	q.cost -= e.item.Cost
	q.fix(e.flow.team)
}

// fix restores the heaps after a team's counter or items changed.
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
	t := &team{name: name, weight: 1, counter: q.virtualTime}
	q.teams[name] = t
	return t
}

// sweep removes idle teams without debt. The cost is amortised over the teams added
// since the previous sweep.
func (q *Queue) sweep() {
	if len(q.teams) < q.sweepAt {
		return
	}
	for name, t := range q.teams {
		if t.waiting == 0 && t.counter <= q.virtualTime {
			delete(q.teams, name)
		}
	}
	q.sweepAt = firstSweepTeams + 2*len(q.teams)
}
