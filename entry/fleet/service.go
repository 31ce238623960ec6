package fleet

import "sync"

// bookTeams bounds the teams whose service an entry adds up.
const bookTeams = 4096

// serviceBook adds up the service that each team was given through this entry,
// in seconds of an endpoint, so that each agent's fair queue learns what its
// teams got elsewhere.
type serviceBook struct {
	mu    sync.Mutex
	given map[string]float64 // By team.
}

func newServiceBook() *serviceBook {
	return &serviceBook{given: make(map[string]float64)}
}

func (b *serviceBook) add(team string, service float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.given[team]; !known && len(b.given) >= bookTeams {
		for forgotten := range b.given {
			delete(b.given, forgotten)
			break
		}
	}
	b.given[team] += service
}

func (b *serviceBook) of(team string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.given[team]
}

// Served counts service that a team was given at the agent.
func (v *View) Served(agent *Agent, team string, service float64) {
	v.services.add(team, service)
	agent.toldLock.Lock()
	defer agent.toldLock.Unlock()
	if _, known := agent.told[team]; known {
		agent.told[team] += service
	}
}

// ServiceElsewhere returns the service that a team was given at other agents
// since the last call.
func (a *Agent) ServiceElsewhere(team string) float64 {
	given := a.service.of(team)
	a.toldLock.Lock()
	defer a.toldLock.Unlock()
	told, known := a.told[team]
	if !known {
		a.forgetTeams()
	}
	a.told[team] = given
	if !known {
		return 0
	}
	return max(0, given-told)
}

// forgetTeams makes room when too many teams are remembered.
func (a *Agent) forgetTeams() {
	if len(a.told) < bookTeams {
		return
	}
	for team := range a.told {
		delete(a.told, team)
		return
	}
}
