package experiment

import (
	"math"

	"flamingospar.org/core/capacity"
)

// Times of spending, in seconds.
const (
	scaleSeconds     = 10.0 // Between two decisions.
	usualLead        = 60.0 // From an order to an engine's arrival.
	shrinkAfter      = 60.0 // Demand must have been low for so long.
	leastHoursWindow = 10.0
)

// scaler orders and gives back the engines of one model.
type scaler struct {
	sim     *sim
	model   int
	target  float64 // Utilisation.
	history *capacity.History
	ordered map[string]int
	work    float64 // Offered since the last decision.
}

func newScaler(m *sim, model int, utilisation float64) *scaler {
	return &scaler{sim: m, model: model, target: utilisation, history: capacity.NewHistory(span(scaleSeconds), span(shrinkAfter)), ordered: make(map[string]int)}
}

// begin takes away what the first demand does not need.
func (c *scaler) begin() {
	rate, _ := c.sim.trace.at(0)
	wanted := int(math.Ceil(c.sim.trace.Load * rate * float64(c.sim.site.enginesOf(c.model)) / c.target))
	held := 0
	for _, e := range c.engines() {
		held++
		e.gone = held > max(1, wanted)
	}
	c.sim.after(scaleSeconds, c.decide)
}

func (c *scaler) engines() []*engine {
	var engines []*engine
	for _, e := range c.sim.engines {
		if e.model == c.model {
			engines = append(engines, e)
		}
	}
	return engines
}

func (c *scaler) decide() {
	c.history.Add(c.work / scaleSeconds)
	c.work = 0
	c.sim.after(scaleSeconds, c.decide)
	if c.sim.storeDown {
		return // No order is sent without the store.
	}
	settings := capacity.Defaults()
	settings.Utilisation = c.target
	settings.LeadTime = span(c.lead())
	plan := capacity.Decide(c.snapshot(), settings)
	for _, name := range c.sim.site.dataCentres {
		c.follow(name, plan.Targets[name])
	}
}

func (c *scaler) lead() float64 {
	if c.sim.trace.Lead > 0 {
		return c.sim.trace.Lead
	}
	return usualLead
}

func (c *scaler) snapshot() capacity.Snapshot {
	var s capacity.Snapshot
	c.history.Fill(&s)
	for _, name := range c.sim.site.dataCentres {
		centre := capacity.DataCentre{Name: name, Ordered: c.ordered[name]}
		for _, e := range c.engines() {
			if e.dataCentre != name {
				continue
			}
			centre.Max++
			if !e.gone && !e.leaving {
				centre.Ready++
			}
		}
		s.DataCentres = append(s.DataCentres, centre)
	}
	return s
}

// follow orders or gives back engines of a data centre.
func (c *scaler) follow(dataCentre string, target int) {
	held := c.ordered[dataCentre]
	var absent, present []*engine
	for _, e := range c.engines() {
		switch {
		case e.dataCentre != dataCentre || e.leaving:
		case e.gone:
			absent = append(absent, e)
		default:
			present = append(present, e)
			held++
		}
	}
	for i := 0; held < target && i < len(absent)-c.ordered[dataCentre]; i++ {
		held++
		c.order(dataCentre)
	}
	for i := 0; held > target && i < len(present); i++ {
		held--
		c.giveBack(present[len(present)-1-i])
	}
}

func (c *scaler) order(dataCentre string) {
	c.ordered[dataCentre]++
	c.sim.after(c.lead(), func() {
		c.ordered[dataCentre]--
		for _, e := range c.engines() {
			if e.dataCentre == dataCentre && e.gone {
				e.gone, e.leaving = false, false
				e.reset()
				return
			}
		}
	})
}

// giveBack lets an engine finish what it has.
func (c *scaler) giveBack(e *engine) {
	e.leaving = true
	var await func()
	await = func() {
		if len(e.runs) > 0 {
			c.sim.after(1, await)
			return
		}
		e.gone, e.leaving = true, false
	}
	c.sim.after(1, await)
}

// leastHours returns the endpoint hours without which the offered work could
// not be done, window by window, if endpoints came and went at once.
func leastHours(s site, t Trace, requests []*request) float64 {
	windows := int(t.Seconds / leastHoursWindow)
	hours := 0.0
	for model := range s.models {
		work := make([]float64, windows)
		seen := make(map[uint64]bool)
		for _, r := range requests {
			if r.model != model {
				continue
			}
			cached := seen[r.prefix] && r.prefix != 0
			seen[r.prefix] = true
			work[min(int(r.arrival/leastHoursWindow), windows-1)] += r.work(cached)
		}
		for _, w := range work {
			hours += max(1, math.Ceil(w/leastHoursWindow)) * leastHoursWindow / 3600
		}
	}
	return hours
}
