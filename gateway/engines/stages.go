package engines

import (
	"maps"
	"time"

	"flamingospar.org/core/placement"
	"flamingospar.org/core/stages"
	"flamingospar.org/platform/site"
)

// heardFor is how long what a process told counts it among those heard.
const heardFor = 3 * time.Second

// ModelServices returns the services that have model engines.
func (l *Ledger) ModelServices() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	services := make([]string, 0, len(l.services))
	for service, list := range l.services {
		if len(list) > 0 {
			services = append(services, service)
		}
	}
	return services
}

// Stages returns what is seen of a service's engines, and those that may change
// their stage.
func (l *Ledger) Stages(service string) (stages.View, []stages.Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var view stages.View
	var wait time.Duration
	list := make([]stages.Engine, 0, len(l.services[service]))
	for _, engine := range l.services[service] {
		if engine.Draining || engine.Health.Ejected(now) {
			continue
		}
		reads := engine.Stage == placement.Prefill
		list = append(list, stages.Engine{ID: engine.ID, DataCentre: engine.DataCentre, Prefill: reads, Load: engine.Running() + engine.PendingCount()})
		if reads {
			view.PrefillEngines++
			wait += engine.QueueTime(now)
			continue
		}
		view.DecodeEngines++
		view.DecodeSlots += engine.Slots
		view.Streams += float64(engine.Running())
	}
	factor := l.unheardFactor(now)
	view.Streams *= factor
	view.PrefillWait = time.Duration(factor * float64(wait) / float64(max(view.PrefillEngines, 1)))
	return view, list
}

// unheardFactor returns by how much loads are larger than what the processes told that
// this one hears of, if the others send as much. In a larger fleet it hears of
// some only. It is called with mu held.
func (l *Ledger) unheardFactor(now time.Time) float64 {
	maps.DeleteFunc(l.heard, func(_ string, at time.Time) bool { return now.Sub(at) > heardFor })
	return max(float64(l.processes)/float64(len(l.heard)+1), 1)
}

// Leave leaves an engine alone for a time in which it changes its stage.
func (l *Ledger) Leave(id string, span time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if engine, ok := l.models[id]; ok {
		engine.BackoffUntil = l.now().Add(span)
	}
}

// Endpoint returns a known endpoint.
func (l *Ledger) Endpoint(id string) (site.Endpoint, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endpoint, ok := l.known[id]
	return endpoint, ok
}
