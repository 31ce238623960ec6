package engines

import (
	"time"

	"flamingospar.org/core/availability"
	"flamingospar.org/core/balance"
	"flamingospar.org/platform/site"
)

// plainEndpoint is an endpoint of a plain service, that is one without a model.
type plainEndpoint struct {
	availability.State

	endpoint site.Endpoint
	running  int
	measured *balance.Endpoint // nil unless plain endpoints are measured.
}

func (s *Selector) setPlain(endpoint site.Endpoint) {
	plain := s.plain(endpoint)
	plain.endpoint = endpoint
	s.measurePlain(plain)
	plain.Draining = endpoint.Draining
	plain.Statement = s.statements.Of(processOf(endpoint))
}

// plain returns the record of a listed plain endpoint, a new one if need be. s.mu must be
// held.
func (s *Selector) plain(endpoint site.Endpoint) *plainEndpoint {
	for _, known := range s.plainByService[endpoint.Service] {
		if known.endpoint.ID == endpoint.ID {
			return known
		}
	}
	added := &plainEndpoint{}
	s.plainByService[endpoint.Service] = append(s.plainByService[endpoint.Service], added)
	return added
}

// PlainDone records the end of a request to a plain endpoint.
type PlainDone func(outcome balance.Outcome)

// ChoosePlain chooses the endpoint of a plain service with the lowest cost, which
// grows with the requests of this process in flight and the failure rate, and is
// higher in another data centre. If plain endpoints are measured, it chooses the one with
// the lowest predicted time to the answer instead. An ejected or busy endpoint is chosen only if there is
// no other, and one that is passed over for a binding reason never. done must be called when
// the request has ended. ok is false if there is no endpoint.
func (s *Selector) ChoosePlain(requestID, service string, exclude map[string]bool) (endpoint site.Endpoint, done PlainDone, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unavailable := s.unavailable(exclude, s.Limits.Blocked(), false)
	best := s.cheapestPlain(service, unavailable, true)
	if best == nil {
		best = s.cheapestPlain(service, unavailable, false)
	}
	if best == nil {
		return site.Endpoint{}, nil, false
	}
	s.logPlainChoice(requestID, best)
	best.running++
	record := s.beginPlain(best)
	return best.endpoint, func(outcome balance.Outcome) {
		s.mu.Lock()
		defer s.mu.Unlock()
		best.running--
		record(outcome)
	}, true
}

// Costs of plain endpoints, in units of requests in flight.
const (
	remoteCost  = 1.5  // For another data centre.
	failureCost = 12.0 // At a failure rate of 1.
)

// cheapestPlain returns the endpoint with the lowest cost, or nil. If skipSpared is set,
// it leaves out those that are passed over for any reason, otherwise for binding ones.
func (s *Selector) cheapestPlain(service string, exclude map[string]bool, skipSpared bool) *plainEndpoint {
	now := s.now()
	candidates := s.plainCandidates(now, service, exclude, skipSpared)
	if s.MeasureEndpoints {
		return s.soonestPlain(now, candidates)
	}
	var best *plainEndpoint
	bestCost := 0.0
	for _, candidate := range candidates {
		cost := float64(candidate.running) + failureCost*candidate.Health.Rate(now)
		if candidate.endpoint.DataCentre != s.dataCentre {
			cost += remoteCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// plainCandidates returns the endpoints of a plain service that may be chosen.
func (s *Selector) plainCandidates(now time.Time, service string, exclude map[string]bool, skipSpared bool) []*plainEndpoint {
	var candidates []*plainEndpoint
	for _, candidate := range s.plainByService[service] {
		passedOver := candidate.PassOver(now, false).Reason
		if passedOver.Binding() || exclude[candidate.endpoint.ID] || (skipSpared && passedOver != availability.None) {
			continue
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}
