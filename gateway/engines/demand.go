package engines

import (
	"time"

	"flamingospar.org/core/placement"
	"flamingospar.org/core/stages"
	"flamingospar.org/platform/site"
)

// Shape of the demand.
const (
	// readingShare is the part of its time that an engine should read, so that
	// prompts find short queues.
	readingShare = 0.9
	// streamsShare is the part of an engine's slots that should hold streams, so
	// that their pauses stay short.
	streamsShare = 0.25
	// demandWeight is the share of the latest sample in the demand.
	demandWeight = 0.08
)

// Demand follows the demand on one service as this process sees it. Only the
// relation of reading to producing matters, which is the same for each process.
type Demand struct {
	demand  stages.Demand
	work    float64
	sampled time.Time
}

// Sample brings the demand of a service up to date and returns it with the
// engines that may be ordered. It is called by one goroutine.
func (l *Ledger) Sample(service string, d *Demand) (stages.Demand, []stages.Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var engines []stages.Engine
	work, streams, slots, rate := 0.0, 0, 0, 0.0
	for _, engine := range l.services[service] {
		work += engine.WorkSent()
		streams += engine.Streams()
		slots = max(slots, engine.Slots)
		rate = max(rate, engine.RateAs(placement.Prefill))
		if !engine.Draining {
			engines = append(engines, stages.Engine{
				ID: engine.ID, DataCentre: engine.DataCentre, Prefill: engine.Stage == placement.Prefill, Load: engine.Running() + engine.Waiting(),
			})
		}
	}
	elapsed := now.Sub(d.sampled).Seconds()
	if !d.sampled.IsZero() && elapsed > 0 && rate > 0 {
		reading := max(work-d.work, 0) / elapsed / (rate * 1000) / readingShare
		producing := float64(streams) / (streamsShare * float64(max(slots, 1)))
		d.demand.Reading += demandWeight * (reading - d.demand.Reading)
		d.demand.Producing += demandWeight * (producing - d.demand.Producing)
	}
	d.work, d.sampled = work, now
	return d.demand, engines
}

// ModelServices returns the services with model engines.
func (l *Ledger) ModelServices() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var services []string
	for service, engines := range l.services {
		if len(engines) > 0 {
			services = append(services, service)
		}
	}
	return services
}

// Endpoint returns an endpoint by its id.
func (l *Ledger) Endpoint(id string) (site.Endpoint, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endpoint, ok := l.known[id]
	return endpoint, ok
}

// Leave keeps an engine from being used for a time.
func (l *Ledger) Leave(id string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if engine, ok := l.models[id]; ok {
		engine.RestUntil = l.now().Add(d)
	}
}
