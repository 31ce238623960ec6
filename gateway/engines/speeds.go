package engines

import (
	"math/rand/v2"
	"time"

	"flamingospar.org/core/placement"
	"flamingospar.org/platform/site"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Parameters of the lines about engines that differ from their service.
const (
	// differentFactor is the factor by which an engine is slower or faster than its
	// service when a line is written, and alikeFactor the one at which that ends.
	differentFactor = 1.5
	alikeFactor     = 1.3
	// minDifferentWeight is the weight of the samples from which an engine can differ.
	minDifferentWeight = 2.0
	// speedCheckInterval is the shortest time between two checks of all engines.
	speedCheckInterval = time.Second
	// classSpeed is the class under which the number of lines is bounded.
	classSpeed = "speed"
)

// SetMaxEventGap sets the longest pause between two events that all routes to a service allow, 0
// for no limit. placement.MayMeasureSpeeds decides by it whether the speeds of the service's
// engines are measured.
func (s *Selector) SetMaxEventGap(service string, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.measures(service)
	s.maxEventGaps[service] = gap
	if s.measures(service) == before {
		return
	}
	log.Info("The speeds of a service's engines are measured, or no longer are.", "service", service, "measured", !before, "max_event_gap_ms", gap.Milliseconds())
	for _, engine := range s.enginesByService[service] {
		if before {
			engine.AssumeSpeed()
		} else {
			s.measureEngine(engine, s.endpoints[engine.ID])
		}
	}
}

// measures reports whether the speeds of a service's engines are measured. s.mu must be held.
func (s *Selector) measures(service string) bool {
	return s.MeasureEndpoints && placement.MayMeasureSpeeds(s.maxEventGaps[service])
}

// measureEngine makes the rate of an engine follow measurements. s.mu must be held.
func (s *Selector) measureEngine(engine *placement.Engine, endpoint site.Endpoint) {
	engine.MeasureSpeed(s.serviceSpeed(endpoint.Service), s.estimates.register(prefillTimeOf(endpoint)), rand.Float64())
}

// forgetSpeed drops what was measured of an engine before its change of stage. s.mu must
// be held.
func (s *Selector) forgetSpeed(engine *placement.Engine, endpoint site.Endpoint) {
	s.estimates.renew(s.now(), prefillTimeOf(endpoint))
	if s.measures(endpoint.Service) {
		s.measureEngine(engine, endpoint)
	}
}

func prefillTimeOf(endpoint site.Endpoint) EstimateKey {
	return EstimateKey{Quantity: wirev1.EndpointEstimate_QUANTITY_PREFILL_TIME, Endpoint: endpoint.ID, StartedMS: endpoint.StartedMS}
}

// serviceSpeed returns the speed that the engines of a service share. s.mu must be held.
func (s *Selector) serviceSpeed(service string) *placement.ServiceSpeed {
	if s.serviceSpeeds[service] == nil {
		key := EstimateKey{Quantity: wirev1.EndpointEstimate_QUANTITY_SERVICE_PREFILL_TIME, Service: service}
		s.serviceSpeeds[service] = placement.NewServiceSpeed(s.estimates.register(key))
	}
	return s.serviceSpeeds[service]
}

// checkSpeeds writes a line about each engine that begins or ends to differ from its
// service. s.mu must be held.
func (s *Selector) checkSpeeds(now time.Time) {
	if !s.MeasureEndpoints || now.Sub(s.speedsCheckedAt) < speedCheckInterval {
		return
	}
	s.speedsCheckedAt = now
	for id, engine := range s.enginesByID {
		speed, ok := engine.MeasuredSpeed(now)
		if !ok {
			continue
		}
		switch differs := s.differentEngines[id]; {
		case !differs && speed.Weight >= minDifferentWeight && factorFromMean(speed) >= differentFactor:
			s.differentEngines[id] = true
			s.logSpeed("An engine differs in speed from its service.", id, speed)
		case differs && factorFromMean(speed) < alikeFactor:
			delete(s.differentEngines, id)
			s.logSpeed("An engine no longer differs in speed from its service.", id, speed)
		}
	}
}

// factorFromMean returns the factor by which an engine is slower or faster.
func factorFromMean(speed placement.MeasuredSpeed) float64 {
	return max(speed.RelativeTime, 1/speed.RelativeTime)
}

// logSpeed writes a line with the prefill time of an engine relative to that of its
// service.
func (s *Selector) logSpeed(message, id string, speed placement.MeasuredSpeed) {
	ok, omitted := s.lines.Allow(classSpeed, maxLinesPerSec)
	if !ok {
		return
	}
	log.Info(message, "endpoint", id, "service", s.endpoints[id].Service, "relative_time", speed.RelativeTime, "weight", speed.Weight, "age_ms", speed.Age.Milliseconds(), "lines_omitted", omitted)
}
