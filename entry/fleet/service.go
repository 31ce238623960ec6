package fleet

import (
	"sync"

	"flamingospar.org/core/fair"
)

// maxTeams limits the number of teams whose service and fractions an entry keeps.
const maxTeams = 4096

// serviceTracker holds the service that teams received through this entry.
type serviceTracker struct {
	mu     sync.Mutex
	remote *fair.RemoteService
	recent *fair.RecentService
}

func newServiceTracker() *serviceTracker {
	return &serviceTracker{remote: fair.NewRemoteService(maxTeams), recent: fair.NewRecentService()}
}

// RecordService records service, in endpoint seconds, that a team received from an
// agent. weight is the team's weight.
func (v *View) RecordService(agent *Agent, team string, weight, service float64) {
	v.serviceRecords.mu.Lock()
	defer v.serviceRecords.mu.Unlock()
	v.serviceRecords.remote.Record(agent.vm.Instance, team, service)
	v.serviceRecords.recent.Record(v.now(), team, weight, service)
}

// OverShare reports whether a team received more than its share of the recent service
// through this entry.
func (v *View) OverShare(team string) bool {
	v.serviceRecords.mu.Lock()
	defer v.serviceRecords.mu.Unlock()
	return v.serviceRecords.recent.OverShare(v.now(), team)
}

// ServiceElsewhere returns the service that a team received from other agents since
// the last call for this agent and team.
func (v *View) ServiceElsewhere(agent *Agent, team string) float64 {
	v.serviceRecords.mu.Lock()
	defer v.serviceRecords.mu.Unlock()
	return v.serviceRecords.remote.Unreported(agent.vm.Instance, team)
}

func (v *View) forgetService(instance string) {
	v.serviceRecords.mu.Lock()
	defer v.serviceRecords.mu.Unlock()
	v.serviceRecords.remote.Forget(instance)
}
