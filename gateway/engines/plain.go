package engines

import (
	"flamingospar.org/core/health"
	"flamingospar.org/platform/site"
)

// plainEndpoint is an endpoint of a service that runs no model.
type plainEndpoint struct {
	endpoint site.Endpoint
	health   health.Record
	running  int
}

func (l *Ledger) setPlain(endpoint site.Endpoint) {
	for _, known := range l.plain[endpoint.Service] {
		if known.endpoint.ID == endpoint.ID {
			known.endpoint = endpoint
			return
		}
	}
	l.plain[endpoint.Service] = append(l.plain[endpoint.Service], &plainEndpoint{endpoint: endpoint})
}

// Plain chooses an endpoint of a plain service: the least loaded by what this
// process sent, a sound one before one that fails, its own data centre first.
// done must be called at the request's end. ok is false when there is none.
func (l *Ledger) Plain(service string, exclude map[string]bool) (endpoint site.Endpoint, done func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := l.bestPlain(service, exclude, true)
	if best == nil {
		best = l.bestPlain(service, exclude, false)
	}
	if best == nil {
		return site.Endpoint{}, nil, false
	}
	best.running++
	return best.endpoint, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		best.running--
	}, true
}

// Costs by which plain endpoints are compared, in requests in flight.
const (
	farCost     = 1.5
	failureCost = 12.0
)

func (l *Ledger) bestPlain(service string, exclude map[string]bool, rested bool) *plainEndpoint {
	now := l.now()
	var best *plainEndpoint
	bestCost := 0.0
	for _, candidate := range l.plain[service] {
		if candidate.endpoint.Draining || exclude[candidate.endpoint.ID] || (rested && candidate.health.Ejected(now)) {
			continue
		}
		cost := float64(candidate.running) + failureCost*candidate.health.Rate(now)
		if candidate.endpoint.DataCentre != l.home {
			cost += farCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}
