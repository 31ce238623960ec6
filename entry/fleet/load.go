package fleet

import (
	"cmp"
	"slices"
	"time"

	"flamingospar.org/core/route"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// poolKey names like endpoints.
type poolKey struct {
	kind  string
	model string
}

// pool is a set of like endpoints, in the order of their hash. The view's lock
// is held while it is read.
type pool []*Agent

// Len implements route.Pool.
func (p pool) Len() int { return len(p) }

// At implements route.Pool.
func (p pool) At(i int) route.Candidate { return p[i].candidate }

// Choose decides on the endpoint for a request. Its cost does not grow with
// the fleet beyond what core/route looks at.
func (v *View) Choose(request route.Request) route.Choice {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshPools()
	request.Now = v.now()
	return route.ChooseFrom(request, v.pools[poolKey{request.Kind, request.Model}])
}

// Begin returns the agent of an endpoint and counts a run as outstanding until
// the returned function is called. promptTokens are expected to be processed.
func (v *View) Begin(endpoint string, promptTokens float64) (agent *Agent, done func(), ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshPools()
	agent, ok = v.byID[endpoint]
	if !ok {
		return nil, nil, false
	}
	agent.candidate.Outstanding++
	agent.candidate.Backlog = agent.candidate.Backlog.Add(v.now(), promptTokens)
	return agent, func() { v.end(agent) }, true
}

// Listed returns how many endpoints of a kind and model each data centre has,
// by the list of VMs and not counting those that leave. An endpoint that cannot
// be reached from here counts: it may serve others. The answer is nil while a
// listed agent has never said which endpoint it has.
func (v *View) Listed(kind, model string) map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := make(map[string]int)
	for _, agent := range v.agents {
		if agent.vm.Leaving {
			continue
		}
		if agent.candidate.Endpoint == "" {
			return nil
		}
		if agent.candidate.Kind == kind && agent.candidate.Model == model {
			listed[agent.candidate.DataCentre]++
		}
	}
	return listed
}

// Entries returns the number of listed entries, this one included.
func (v *View) Entries() int {
	return max(1, len(v.member.Roster.all()))
}

func (v *View) end(agent *Agent) {
	v.mu.Lock()
	defer v.mu.Unlock()
	agent.candidate.Outstanding--
}

func (v *View) applyLoad(a *Agent, load *wirev1.Load) {
	if a.candidate.Model != load.GetModel() {
		v.stale = true
	}
	a.candidate.Queued = int(load.GetQueued())
	a.candidate.Running = int(load.GetRunning())
	a.candidate.MaxRunning = int(load.GetMaxRunning())
	a.candidate.Model = load.GetModel()
	a.candidate.Ready = !load.GetLeaving() && !load.GetDown() && !a.vm.Leaving && !a.contact.changing && !a.contact.stale
	a.candidate.Backlog = a.candidate.Backlog.Update(v.now(), load.GetBacklogTokens(), load.GetPromptRate())
}

// refreshPools sorts the agents into pools again after one came, left or
// changed its model.
func (v *View) refreshPools() {
	if !v.stale {
		return
	}
	v.stale = false
	v.pools = make(map[poolKey]pool)
	v.byID = make(map[string]*Agent)
	for _, agent := range v.agents {
		if agent.candidate.Endpoint == "" {
			continue
		}
		key := poolKey{agent.candidate.Kind, agent.candidate.Model}
		v.pools[key] = append(v.pools[key], agent)
		v.byID[agent.candidate.Endpoint] = agent
	}
	for _, members := range v.pools {
		slices.SortFunc(members, func(a, b *Agent) int { return cmp.Compare(a.candidate.Hash, b.candidate.Hash) })
	}
}

// now is the clock of the ledgers, in seconds.
func (v *View) now() float64 { return time.Since(v.started).Seconds() }
