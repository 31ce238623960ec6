// Package spending measures the demand for each model and plans its number of
// endpoints. It publishes for operators how many endpoints the demand needs and
// what one more or one fewer would change. The capacityorders package orders
// endpoints according to its targets.
package spending

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/capacity"
	"flamingospar.org/entry/match"
)

// publishInterval is the interval over which demand is measured.
const publishInterval = 10 * time.Second

// milliPerUnit converts endpoints to the unit of the gauges, thousandths of an
// endpoint.
const milliPerUnit = 1000

// minEndpointsPerDataCentre keeps each model available in every data centre that
// already has it.
const minEndpointsPerDataCentre = 1

// Fleet provides the listed endpoints and the number of entries. Listed returns
// the number of endpoints by data centre, or nil while it is unknown.
type Fleet interface {
	Listed(kind, model string) map[string]int
	Entries() int
}

// Gauges sets gauges by name.
type Gauges interface {
	Gauge(value int64, parts ...string)
}

// Planner sums the work offered to each model through this entry and plans the
// number of endpoints. It is safe for concurrent use.
type Planner struct {
	fleet    Fleet
	gauges   Gauges
	settings capacity.Settings

	mu     sync.Mutex
	models map[string]*modelState
}

type modelState struct {
	offered float64 // Endpoint seconds since the last Publish.
	refused float64 // The part of offered that was refused.
	history *capacity.History
	targets map[string]int // By data centre, from the last Publish.
}

// New returns a Planner without any demand.
func New(fleet Fleet, gauges Gauges) *Planner {
	return &Planner{fleet: fleet, gauges: gauges, settings: capacity.Defaults(), models: make(map[string]*modelState)}
}

// Offered adds work that a caller requested, in endpoint seconds.
func (p *Planner) Offered(name string, work float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.model(name).offered += work
}

// Refused adds offered work that was refused for lack of capacity.
func (p *Planner) Refused(name string, work float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.model(name).refused += work
}

func (p *Planner) model(name string) *modelState {
	m, ok := p.models[name]
	if !ok {
		m = &modelState{history: capacity.NewHistory(publishInterval, p.settings.ShrinkAfter)}
		p.models[name] = m
	}
	return m
}

// Run calls Publish at a fixed interval until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	clock.Every(ctx, publishInterval, p.Publish)
}

// Publish ends the current interval, decides the targets of each model and sets
// its gauges.
func (p *Planner) Publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, m := range p.models {
		snapshot := p.snapshot(name, m)
		plan := capacity.Decide(snapshot, p.settings)
		m.targets = plan.Targets
		p.gauges.Gauge(int64(plan.Wanted), "spending", name, "endpoints_wanted")
		p.gauges.Gauge(int64(snapshot.Demand*milliPerUnit), "spending", name, "demand_milli")
		p.gauges.Gauge(int64(snapshot.RefusedWork*milliPerUnit), "spending", name, "refused_milli")
		p.gauges.Gauge(int64(plan.OneMore*milliPerUnit), "spending", name, "one_more_milli")
		p.gauges.Gauge(int64(plan.OneFewer*milliPerUnit), "spending", name, "one_fewer_milli")
	}
}

// Targets returns the number of endpoints of each model that a data centre should
// have, from the last Publish. A model without a listed endpoint in the data
// centre is left out.
func (p *Planner) Targets(dataCentre string) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make(map[string]int)
	for name, m := range p.models {
		if target, ok := m.targets[dataCentre]; ok {
			targets[name] = target
		}
	}
	return targets
}

// snapshot estimates the total demand as the demand at this entry times the number
// of entries, since the platform's load balancer spreads callers evenly.
func (p *Planner) snapshot(name string, m *modelState) capacity.Snapshot {
	scale := float64(p.fleet.Entries()) / publishInterval.Seconds()
	m.history.Add(m.offered * scale)
	snapshot := capacity.Snapshot{RefusedWork: m.refused * scale}
	m.offered, m.refused = 0, 0
	m.history.Fill(&snapshot)
	for dataCentre, endpoints := range p.fleet.Listed(match.ModelKind, name) {
		snapshot.DataCentres = append(snapshot.DataCentres, capacity.DataCentre{
			Name:    dataCentre,
			Ready:   endpoints,
			Ordered: max(0, m.targets[dataCentre]-endpoints),
			Min:     minEndpointsPerDataCentre,
		})
	}
	slices.SortFunc(snapshot.DataCentres, compareByName)
	return snapshot
}

func compareByName(a, b capacity.DataCentre) int { return cmp.Compare(a.Name, b.Name) }
