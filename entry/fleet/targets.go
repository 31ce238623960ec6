package fleet

import (
	"sync"

	"flamingospar.org/core/orders"
)

// Plan holds the newest decision on each endpoint. It is safe for concurrent use.
type Plan struct {
	mu      sync.Mutex
	targets map[string]orders.Target
}

// NewPlan returns a plan without decisions.
func NewPlan() *Plan { return &Plan{targets: make(map[string]orders.Target)} }

// Decide sets what an endpoint should have loaded and reports whether the
// decision is newer than the one held.
func (p *Plan) Decide(endpoint string, target orders.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !target.Supersedes(p.targets[endpoint]) {
		return false
	}
	p.targets[endpoint] = target
	return true
}

// Target implements Targets.
func (p *Plan) Target(endpoint string) (orders.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target, decided := p.targets[endpoint]
	return target, decided
}
