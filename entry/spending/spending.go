// Package spending tells operators what the endpoints of each model are worth:
// how many the demand asks for and what one more or one less would change. The
// duty that orders endpoints follows its targets.
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

// every is the time between two looks.
const every = 10 * time.Second

// milli is the unit of the gauges of work: thousandths of an endpoint.
const milli = 1000

// minPerDataCentre keeps each model in each data centre that has it.
const minPerDataCentre = 1

// Fleet tells which endpoints there are. Listed is nil while that is not known.
type Fleet interface {
	Listed(kind, model string) map[string]int
	Entries() int
}

// Gauges takes current values by name.
type Gauges interface {
	Gauge(value int64, parts ...string)
}

// Book adds up the work that is offered to each model through this entry. It
// is safe for concurrent use.
type Book struct {
	fleet    Fleet
	gauges   Gauges
	settings capacity.Settings

	mu     sync.Mutex
	models map[string]*model
}

type model struct {
	offered float64 // Seconds of an endpoint since the last look.
	refused float64
	history *capacity.History
	targets map[string]int // By data centre, as last decided.
}

// New returns an empty book.
func New(fleet Fleet, gauges Gauges) *Book {
	return &Book{fleet: fleet, gauges: gauges, settings: capacity.Defaults(), models: make(map[string]*model)}
}

// Offered counts work that a caller asked for, in seconds of an endpoint.
func (b *Book) Offered(name string, work float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.model(name).offered += work
}

// Refused counts offered work that was refused for want of capacity.
func (b *Book) Refused(name string, work float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.model(name).refused += work
}

func (b *Book) model(name string) *model {
	m, known := b.models[name]
	if !known {
		m = &model{history: capacity.NewHistory(every, b.settings.ShrinkAfter)}
		b.models[name] = m
	}
	return m
}

// Run publishes plans until ctx ends.
func (b *Book) Run(ctx context.Context) {
	clock.Every(ctx, every, b.Publish)
}

// Publish closes the interval and sets the gauges of each model.
func (b *Book) Publish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, m := range b.models {
		snapshot := b.snapshot(name, m)
		plan := capacity.Decide(snapshot, b.settings)
		m.targets = plan.Targets
		b.gauges.Gauge(int64(plan.Wanted), "spending", name, "endpoints_wanted")
		b.gauges.Gauge(int64(snapshot.Demand*milli), "spending", name, "demand_milli")
		b.gauges.Gauge(int64(snapshot.RefusedWork*milli), "spending", name, "refused_milli")
		b.gauges.Gauge(int64(plan.OneMore*milli), "spending", name, "one_more_milli")
		b.gauges.Gauge(int64(plan.OneFewer*milli), "spending", name, "one_fewer_milli")
	}
}

// Targets returns how many endpoints of each model a data centre should have,
// as last decided. Data centres without a listed endpoint are left out.
func (b *Book) Targets(dataCentre string) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := make(map[string]int)
	for name, m := range b.models {
		if target, ok := m.targets[dataCentre]; ok {
			targets[name] = target
		}
	}
	return targets
}

// snapshot takes this entry's demand for that of each of the entries, since
// the platform's balancer spreads callers evenly.
func (b *Book) snapshot(name string, m *model) capacity.Snapshot {
	scale := float64(b.fleet.Entries()) / every.Seconds()
	m.history.Add(m.offered * scale)
	snapshot := capacity.Snapshot{RefusedWork: m.refused * scale}
	m.offered, m.refused = 0, 0
	m.history.Fill(&snapshot)
	for dataCentre, endpoints := range b.fleet.Listed(match.ModelKind, name) {
		snapshot.DataCentres = append(snapshot.DataCentres, capacity.DataCentre{
			Name:    dataCentre,
			Ready:   endpoints,
			Ordered: max(0, m.targets[dataCentre]-endpoints),
			Min:     minPerDataCentre,
		})
	}
	slices.SortFunc(snapshot.DataCentres, byName)
	return snapshot
}

func byName(a, b capacity.DataCentre) int { return cmp.Compare(a.Name, b.Name) }
