package engines

import (
	"maps"
	"time"

	"flamingospar.org/core/availability"
	"flamingospar.org/core/placement"
	"flamingospar.org/core/stages"
	"flamingospar.org/platform/site"
)

// peerReportMaxAge is how long a process counts as active after its last report.
const peerReportMaxAge = 3 * time.Second

// ModelServices returns the services with at least one model engine.
func (s *Selector) ModelServices() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	services := make([]string, 0, len(s.enginesByService))
	for service, list := range s.enginesByService {
		if len(list) > 0 {
			services = append(services, service)
		}
	}
	return services
}

// StageView returns a snapshot of the load on a service's engines. Engines that are
// passed over for a time that they state themselves count in their stage.
func (s *Selector) StageView(service string) stages.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var view stages.View
	var wait time.Duration
	for _, engine := range s.enginesByService[service] {
		if engine.PassOver(now, false).Reason == availability.Leaving || engine.Health.Ejected(now) {
			continue
		}
		if engine.Stage == placement.Prefill {
			view.PrefillEngines++
			wait += engine.QueueTime(now)
			continue
		}
		view.DecodeEngines++
		view.DecodeSlots += engine.Slots
		view.Streams += float64(engine.Running())
	}
	factor := s.peerLoadFactor(now)
	view.Streams *= factor
	view.PrefillWait = time.Duration(factor * float64(wait) / float64(max(view.PrefillEngines, 1)))
	return view
}

// StageEngines returns the engines of a service that don't leave. Those that are down or
// passed over for a time that they state themselves get no orders.
func (s *Selector) StageEngines(service string) []stages.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	list := make([]stages.Engine, 0, len(s.enginesByService[service]))
	for _, engine := range s.enginesByService[service] {
		passedOver := engine.PassOver(now, s.Limits.Limited(engine.ID)).Reason
		if passedOver == availability.Leaving {
			continue
		}
		down := engine.Health.Ejected(now)
		list = append(list, stages.Engine{
			ID: engine.ID, DataCentre: engine.DataCentre, Version: engine.Version, Prefill: engine.Stage == placement.Prefill,
			Load: engine.Running() + engine.PendingCount(), Down: down, NoOrders: down || passedOver.Binding(),
		})
	}
	return list
}

// peerLoadFactor returns the factor from the known loads to those of all processes,
// on the assumption that the processes without a recent report send as much as the
// others. In a large fleet a process receives reports from some of its peers only.
// It drops expired reports. s.mu must be held.
func (s *Selector) peerLoadFactor(now time.Time) float64 {
	maps.DeleteFunc(s.peerReportedAt, func(_ string, at time.Time) bool { return now.Sub(at) > peerReportMaxAge })
	return max(float64(s.processes)/float64(len(s.peerReportedAt)+1), 1)
}

// BackOff keeps new requests from an engine for the time of its change of stage.
func (s *Selector) BackOff(id string, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if engine, ok := s.enginesByID[id]; ok {
		engine.BackoffUntil = s.now().Add(duration)
	}
}

// Endpoint returns an endpoint by its ID.
func (s *Selector) Endpoint(id string) (site.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint, ok := s.endpoints[id]
	return endpoint, ok
}
