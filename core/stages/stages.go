// Package stages decides when model engines change between reading prompts and
// producing tokens. It answers a mix of long prompts and short answers on a
// fleet whose engines mostly produce: prompts queue at the few engines that only
// read, while the slots of the others are almost empty.
//
// A change takes an engine out for seconds, and the mix swings faster than that.
// So engines change only while there is plenty of room for streams, a few at a
// time, and no further than a swing to long answers can bear.
package stages

import (
	"cmp"
	"slices"
	"time"
)

// Engine is an engine that may change its stage.
type Engine struct {
	ID         string
	DataCentre string
	Reads      bool // It only reads prompts.
	Load       int  // Prompts and streams that it is known to have.
}

// View is what is seen of a service's engines at one moment.
type View struct {
	Readers   int           // Engines that only read prompts.
	Producers int           // Engines that produce tokens.
	Slots     int           // Of the producers.
	Streams   float64       // Running at the producers.
	Wait      time.Duration // Until a reader has done what it was sent, in the mean.
}

// idle reports whether nothing runs or waits.
func (v View) idle() bool { return v.Streams == 0 && v.Wait == 0 }

// use returns the share of slots in use with some producers less.
func (v View) use(less int) float64 {
	if v.Producers <= less {
		return 1
	}
	slots := float64(v.Slots) * float64(v.Producers-less) / float64(v.Producers)
	return v.Streams / max(slots, 1)
}

// Order is a number of engines that shall change their stage.
type Order struct {
	ToRead bool
	Count  int
	Wait   time.Duration // That decided, in the mean.
	Use    float64       // That decided: share of slots in use.
}

// Shape of the decisions.
const (
	// pressing is the wait at readers from which on more of them help.
	pressing = 50 * time.Millisecond
	// waitSpan and useSpan are how far back waits and slots are looked at. Slots
	// are what a swing of the mix takes, so they are looked at for longer.
	waitSpan = 3 * time.Second
	useSpan  = 8 * time.Second
	// plenty is the share of slots in use below which producers are spared. Long
	// answers multiply the streams by up to eight within seconds.
	plenty = 0.12
	// scarce is the share from which on producers are missed.
	scarce     = 0.75
	scarceSpan = 1 * time.Second
	// mostReaders and keptReaders bound the share of engines that only read: the
	// first from above, the second where some are given back.
	mostReaders = 0.42
	keptReaders = 0.35
	// restReaders is the share of engines that only read while nothing runs, and
	// quietSpan for how long nothing must have run.
	restReaders = 0.38
	quietSpan   = 2 * time.Second
	// mostAtRest bounds the engines that change before any load is seen: each order
	// has a price, and what the load will need is not known then.
	mostAtRest = 8
	// step is the share of producers that change at once.
	step = 0.12
	// restored is the share of readers that produce again when nobody else does.
	restored = 0.3
)

// Planner keeps what was seen of one service. It is not safe for concurrent use.
type Planner struct {
	samples []sample
	rested  int // Engines that were ordered to change since something ran.
}

type sample struct {
	at   time.Time
	view View
}

// Observe notes a view.
func (p *Planner) Observe(now time.Time, view View) {
	p.samples = append(p.samples, sample{now, view})
	old := 0
	for old < len(p.samples) && now.Sub(p.samples[old].at) > useSpan {
		old++
	}
	p.samples = slices.Delete(p.samples, 0, old)
	if !view.idle() {
		p.rested = 0
	}
}

// Forget drops what was seen before a change.
func (p *Planner) Forget() { p.samples = nil }

// Plan returns the change that the views ask for, if any.
func (p *Planner) Plan() (Order, bool) {
	if len(p.samples) == 0 {
		return Order{}, false
	}
	latest := p.samples[len(p.samples)-1]
	view := latest.view
	if view.Producers == 0 && view.Readers > 0 {
		return Order{Count: share(restored, view.Readers)}, true
	}
	span := latest.at.Sub(p.samples[0].at)
	if span >= quietSpan && p.quiet() {
		return p.atRest(view)
	}
	if span < waitSpan {
		return Order{}, false
	}
	if order, ok := p.toRead(latest); ok {
		return order, true
	}
	return p.toProduce(latest)
}

// quiet reports whether nothing ran in all that was seen.
func (p *Planner) quiet() bool {
	return !slices.ContainsFunc(p.samples, func(s sample) bool { return !s.view.idle() })
}

// atRest prepares for the load to come: a change takes no engine from anybody
// now.
func (p *Planner) atRest(view View) (Order, bool) {
	missing := int(restReaders*float64(view.Readers+view.Producers)) - view.Readers
	count := min(missing, mostAtRest-p.rested)
	if count <= 0 || view.Readers == 0 {
		return Order{}, false
	}
	p.rested += count
	return Order{ToRead: true, Count: count}, true
}

func (p *Planner) toRead(latest sample) (Order, bool) {
	view := latest.view
	room := int(mostReaders*float64(view.Readers+view.Producers)) - view.Readers
	count := min(share(step, view.Producers), room, view.Producers-1)
	if count < 1 {
		return Order{}, false
	}
	order := Order{ToRead: true, Count: count, Wait: p.meanWait(latest.at), Use: p.peakUse(count)}
	return order, order.Wait >= pressing && order.Use <= plenty
}

func (p *Planner) toProduce(latest sample) (Order, bool) {
	view := latest.view
	spare := view.Readers - int(keptReaders*float64(view.Readers+view.Producers)+1)
	order := Order{Count: min(share(step, view.Readers), spare), Use: p.leastUse(latest.at)}
	return order, order.Count >= 1 && order.Use >= scarce
}

func (p *Planner) meanWait(now time.Time) time.Duration {
	sum, n := time.Duration(0), time.Duration(0)
	for _, s := range p.samples {
		if now.Sub(s.at) <= waitSpan {
			sum += s.view.Wait
			n++
		}
	}
	return sum / max(n, 1)
}

func (p *Planner) peakUse(less int) float64 {
	peak := 0.0
	for _, s := range p.samples {
		peak = max(peak, s.view.use(less))
	}
	return peak
}

func (p *Planner) leastUse(now time.Time) float64 {
	least := 1.0
	for _, s := range p.samples {
		if now.Sub(s.at) <= scarceSpan {
			least = min(least, s.view.use(0))
		}
	}
	return least
}

// share returns a part of n, at least one.
func share(part float64, n int) int { return max(int(part*float64(n)), 1) }

// Choose returns the engines that an order takes: from the data centres that
// have most of the stage that gives them up, the least loaded first.
func Choose(order Order, engines []Engine) []Engine {
	surplus := make(map[string]int)
	var giving []Engine
	for _, engine := range engines {
		if engine.Reads == order.ToRead {
			surplus[engine.DataCentre]--
			continue
		}
		surplus[engine.DataCentre]++
		giving = append(giving, engine)
	}
	var chosen []Engine
	for range min(order.Count, len(giving)) {
		best := slices.MinFunc(giving, func(a, b Engine) int {
			return cmp.Or(cmp.Compare(surplus[b.DataCentre], surplus[a.DataCentre]), cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
		})
		chosen = append(chosen, best)
		surplus[best.DataCentre] -= 2 // One less gives, one more takes.
		giving = slices.DeleteFunc(giving, func(e Engine) bool { return e.ID == best.ID })
	}
	return chosen
}
