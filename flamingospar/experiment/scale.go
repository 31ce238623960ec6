package experiment

import (
	"math"

	"flamingospar.org/core/capacity"
)

// Parameters of autoscaling.
const (
	scaleIntervalSeconds  = 10.0 // Interval of scaling decisions.
	defaultLeadSeconds    = 60.0 // Time from an order to the engine being in service.
	shrinkDelaySeconds    = 60.0 // Time for which demand must be low before the fleet shrinks.
	minHoursWindowSeconds = 10.0
)

// scaler orders and releases the engines of a model.
type scaler struct {
	sim               *sim
	model             int
	targetUtilisation float64
	history           *capacity.History
	ordered           map[string]int
	offeredWork       float64 // Engine seconds since the last decision.
}

func newScaler(m *sim, model int, utilisation float64) *scaler {
	return &scaler{sim: m, model: model, targetUtilisation: utilisation, history: capacity.NewHistory(toDuration(scaleIntervalSeconds), toDuration(shrinkDelaySeconds)), ordered: make(map[string]int)}
}

// start removes the engines that the initial demand doesn't need and schedules the
// first decision.
func (c *scaler) start() {
	rate, _ := c.sim.trace.loadAt(0)
	required := int(math.Ceil(c.sim.trace.Load * rate * float64(c.sim.fleet.engineCount(c.model)) / c.targetUtilisation))
	kept := 0
	for _, e := range c.engines() {
		kept++
		e.removed = kept > max(1, required)
	}
	c.sim.after(scaleIntervalSeconds, c.decide)
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
	c.history.Add(c.offeredWork / scaleIntervalSeconds)
	c.offeredWork = 0
	c.sim.after(scaleIntervalSeconds, c.decide)
	if c.sim.storeDown {
		return // Orders can't be sent while the store is unavailable.
	}
	settings := capacity.Defaults()
	settings.Utilisation = c.targetUtilisation
	settings.LeadTime = toDuration(c.leadSeconds())
	plan := capacity.Decide(c.snapshot(), settings)
	for _, name := range c.sim.fleet.dataCentres {
		c.applyTarget(name, plan.Targets[name])
	}
}

func (c *scaler) leadSeconds() float64 {
	if c.sim.trace.LeadSeconds > 0 {
		return c.sim.trace.LeadSeconds
	}
	return defaultLeadSeconds
}

func (c *scaler) snapshot() capacity.Snapshot {
	var s capacity.Snapshot
	c.history.Fill(&s)
	for _, name := range c.sim.fleet.dataCentres {
		dc := capacity.DataCentre{Name: name, Ordered: c.ordered[name]}
		for _, e := range c.engines() {
			if e.dataCentre != name {
				continue
			}
			dc.Max++
			if !e.removed && !e.draining {
				dc.Ready++
			}
		}
		s.DataCentres = append(s.DataCentres, dc)
	}
	return s
}

// applyTarget orders or releases engines of a data centre to reach the target.
func (c *scaler) applyTarget(dataCentre string, target int) {
	current := c.ordered[dataCentre]
	var removed, present []*engine
	for _, e := range c.engines() {
		switch {
		case e.dataCentre != dataCentre || e.draining:
		case e.removed:
			removed = append(removed, e)
		default:
			present = append(present, e)
			current++
		}
	}
	for i := 0; current < target && i < len(removed)-c.ordered[dataCentre]; i++ {
		current++
		c.orderEngine(dataCentre)
	}
	for i := 0; current > target && i < len(present); i++ {
		current--
		c.release(present[len(present)-1-i])
	}
}

func (c *scaler) orderEngine(dataCentre string) {
	c.ordered[dataCentre]++
	c.sim.after(c.leadSeconds(), func() {
		c.ordered[dataCentre]--
		for _, e := range c.engines() {
			if e.dataCentre == dataCentre && e.removed {
				e.removed, e.draining = false, false
				e.reset()
				return
			}
		}
	})
}

// release drains an engine and removes it when its runs have finished.
func (c *scaler) release(e *engine) {
	e.draining = true
	var waitIdle func()
	waitIdle = func() {
		if len(e.runs) > 0 {
			c.sim.after(1, waitIdle)
			return
		}
		e.removed, e.draining = true, false
	}
	c.sim.after(1, waitIdle)
}

// minEndpointHours returns the endpoint hours that the offered work needs at least
// if endpoints could be added and removed instantly at each window.
func minEndpointHours(f simFleet, t Trace, requests []*request) float64 {
	windows := int(t.Seconds / minHoursWindowSeconds)
	hours := 0.0
	for model := range f.models {
		work := make([]float64, windows)
		for r, cached := range requestsOf(requests, model) {
			work[min(int(r.arrival/minHoursWindowSeconds), windows-1)] += r.work(cached)
		}
		for _, w := range work {
			hours += max(1, math.Ceil(w/minHoursWindowSeconds)) * minHoursWindowSeconds / 3600
		}
	}
	return hours
}
