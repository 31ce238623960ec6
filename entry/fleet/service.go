package fleet

import (
	"sync"

	"flamingospar.org/core/fair"
)

// bookTeams bounds the teams whose service and fractions an entry remembers.
const bookTeams = 4096

// serviceBook is what teams were given through this entry, by agent.
type serviceBook struct {
	mu     sync.Mutex
	book   *fair.RemoteService
	recent *fair.RecentService
}

func newServiceBook() *serviceBook {
	return &serviceBook{book: fair.NewRemoteService(bookTeams), recent: fair.NewRecentService()}
}

// Served counts service, in seconds of an endpoint, that a team was given at
// the agent. Weight is the team's.
func (v *View) Served(agent *Agent, team string, weight, service float64) {
	v.services.mu.Lock()
	defer v.services.mu.Unlock()
	v.services.book.Record(agent.vm.Instance, team, service)
	v.services.recent.Record(v.now(), team, weight, service)
}

// OverShare reports whether a team was given more than its even share of what
// went through this entry lately.
func (v *View) OverShare(team string) bool {
	v.services.mu.Lock()
	defer v.services.mu.Unlock()
	return v.services.recent.OverShare(v.now(), team)
}

// ServiceElsewhere returns the service that a team was given at other agents
// since the last call for this one.
func (v *View) ServiceElsewhere(agent *Agent, team string) float64 {
	v.services.mu.Lock()
	defer v.services.mu.Unlock()
	return v.services.book.Unreported(agent.vm.Instance, team)
}

func (v *View) forgetService(instance string) {
	v.services.mu.Lock()
	defer v.services.mu.Unlock()
	v.services.book.Forget(instance)
}
