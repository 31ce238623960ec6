package fleet

import (
	"sync"

	"flamingospar.org/core/orders"
)

// Plan holds the newest target of each endpoint. It is safe for concurrent use.
type Plan struct {
	mu      sync.Mutex
	targets map[string]orders.Target
}

// NewPlan returns an empty plan.
func NewPlan() *Plan { return &Plan{targets: make(map[string]orders.Target)} }

// Update sets an endpoint's target if it supersedes the current one, and reports
// whether it did.
func (p *Plan) Update(endpoint string, target orders.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !target.Supersedes(p.targets[endpoint]) {
		return false
	}
	p.targets[endpoint] = target
	return true
}

// Target returns an endpoint's target, or false if none has been set.
func (p *Plan) Target(endpoint string) (orders.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target, decided := p.targets[endpoint]
	return target, decided
}
