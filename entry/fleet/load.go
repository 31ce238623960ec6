package fleet

import (
	"cmp"
	"slices"
	"time"

	"flamingospar.org/core/route"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// poolKey identifies a pool of interchangeable endpoints.
type poolKey struct {
	kind  string
	model string
}

// pool is a set of interchangeable endpoints, sorted by hash. It is read with the
// view's mu held.
type pool []*Agent

func (p pool) Len() int { return len(p) }

func (p pool) At(i int) route.Candidate { return p[i].candidate }

// Choose selects the endpoint for a request. Its cost depends on the number of
// candidates that core/route examines and not on the size of the fleet.
func (v *View) Choose(request route.Request) route.Choice {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshPools()
	request.Now = v.now()
	return route.ChooseFrom(request, v.pools[poolKey{request.Kind, request.Model}])
}

// Begin returns the agent of an endpoint and counts a run as outstanding until done
// is called. It adds promptTokens to the estimated backlog of the endpoint. ok is
// false if the endpoint is unknown.
func (v *View) Begin(endpoint string, promptTokens float64) (agent *Agent, done func(), ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshPools()
	agent, ok = v.byEndpoint[endpoint]
	if !ok {
		return nil, nil, false
	}
	agent.candidate.Outstanding++
	agent.candidate.Backlog = agent.candidate.Backlog.Add(v.now(), promptTokens)
	return agent, func() { v.endRun(agent) }, true
}

// Listed returns the number of endpoints of a kind and model in each data centre,
// according to the VM list and without those that are leaving. It includes endpoints
// that this entry can't reach, since they may serve other entries. The result is nil
// while any of these agents has not yet reported its endpoint.
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

// Entries returns the number of listed entries, including this one; at least 1.
func (v *View) Entries() int {
	return max(1, len(v.member.Roster.addresses()))
}

func (v *View) endRun(agent *Agent) {
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
	a.candidate.Ready = !load.GetLeaving() && !load.GetDown() && !a.vm.Leaving && !a.pollState.changing && !a.pollState.stale
	a.candidate.Backlog = a.candidate.Backlog.Update(v.now(), load.GetBacklogTokens(), load.GetPromptRate())
}

// refreshPools rebuilds the pools after an agent was added, was removed or changed
// its endpoint, kind or model. It is called with mu held.
func (v *View) refreshPools() {
	if !v.stale {
		return
	}
	v.stale = false
	v.pools = make(map[poolKey]pool)
	v.byEndpoint = make(map[string]*Agent)
	for _, agent := range v.agents {
		if agent.candidate.Endpoint == "" {
			continue
		}
		key := poolKey{agent.candidate.Kind, agent.candidate.Model}
		v.pools[key] = append(v.pools[key], agent)
		v.byEndpoint[agent.candidate.Endpoint] = agent
	}
	for _, members := range v.pools {
		slices.SortFunc(members, func(a, b *Agent) int { return cmp.Compare(a.candidate.Hash, b.candidate.Hash) })
	}
}

// now returns the seconds since the view was created, the clock of the backlog
// estimates and service records.
func (v *View) now() float64 { return time.Since(v.started).Seconds() }
