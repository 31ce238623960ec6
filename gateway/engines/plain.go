package engines

import (
	"flamingospar.org/core/availability"
	"flamingospar.org/platform/site"
)

// plainEndpoint is an endpoint of a plain service, that is one without a model.
type plainEndpoint struct {
	availability.State

	endpoint site.Endpoint
	running  int
}

func (s *Selector) setPlain(endpoint site.Endpoint) {
	plain := s.plain(endpoint)
	plain.endpoint = endpoint
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

// ChoosePlain chooses the endpoint of a plain service with the lowest cost, which
// grows with the requests of this process in flight and the failure rate, and is
// higher in another data centre. An ejected or busy endpoint is chosen only if there is
// no other, and one that is passed over for a binding reason never. done must be called when
// the request has ended. ok is false if there is no endpoint.
func (s *Selector) ChoosePlain(service string, exclude map[string]bool) (endpoint site.Endpoint, done func(), ok bool) {
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
	best.running++
	return best.endpoint, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		best.running--
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
	var best *plainEndpoint
	bestCost := 0.0
	for _, candidate := range s.plainByService[service] {
		passedOver := candidate.PassOver(now, false).Reason
		if passedOver.Binding() || exclude[candidate.endpoint.ID] || (skipSpared && passedOver != availability.None) {
			continue
		}
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
