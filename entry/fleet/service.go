package fleet

import (
	"sync"

	"flamingospar.org/core/fair"
)

// bookTeams bounds the teams whose service and fractions an entry remembers.
const bookTeams = 4096

// serviceBook is what teams were given through this entry, by agent.
type serviceBook struct {
	mu   sync.Mutex
	book *fair.Elsewhere
}

func newServiceBook() *serviceBook {
	return &serviceBook{book: fair.NewElsewhere(bookTeams)}
}

// Served counts service, in seconds of an endpoint, that a team was given at
// the agent.
func (v *View) Served(agent *Agent, team string, service float64) {
	v.services.mu.Lock()
	defer v.services.mu.Unlock()
	v.services.book.Served(agent.vm.Instance, team, service)
}

// ServiceElsewhere returns the service that a team was given at other agents
// since the last call for this one.
func (v *View) ServiceElsewhere(agent *Agent, team string) float64 {
	v.services.mu.Lock()
	defer v.services.mu.Unlock()
	return v.services.book.Since(agent.vm.Instance, team)
}

func (v *View) forgetService(instance string) {
	v.services.mu.Lock()
	defer v.services.mu.Unlock()
	v.services.book.Forget(instance)
}
