package fleet

import (
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/config"
	"flamingospar.org/core/orders"
	"flamingospar.org/core/refusal"
	"flamingospar.org/core/rendezvous"
	"flamingospar.org/entry/configview"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	// rankKey is the key for ranking the agents of a pool by rendezvous hashing.
	rankKey = "turns"
	// pollersPerAgent is the number of entries that poll each agent regularly.
	pollersPerAgent = 3
	// maxSmallFleetAgents is the largest number of agents that are polled at every
	// refresh. With more agents, each is polled once per largeFleetPollInterval.
	maxSmallFleetAgents    = 64
	largeFleetPollInterval = 4 * time.Second
	// otherPollInterval is how often an entry polls the agents not assigned to it.
	otherPollInterval = 60 * time.Second
	// extraPollDuration is how long an entry polls an agent not assigned to it after
	// the agent failed, or refused a run as stale or not ready.
	extraPollDuration = 60 * time.Second
)

// Config provides what an entry reports to agents about the configuration.
type Config interface {
	UpdateSince(after config.Revision) configview.Update
	// Evidence returns the age of the evidence that the revision is current, or
	// false if there is none.
	Evidence() (time.Duration, bool)
}

// Membership configures how this entry takes part in the fleet. All fields are
// optional.
type Membership struct {
	Instance string
	Roster   *Roster
	Config   Config
	Targets  Targets
	Clock    clock.Clock
}

// Targets returns what an endpoint should have loaded, or false if nothing has been
// decided. A decision of a lease holder carries the lease's epoch, so that agents
// don't apply a decision of an expired term after one of the next term.
type Targets interface {
	Target(endpoint string) (orders.Target, bool)
}

func (m Membership) withDefaults() Membership {
	if m.Clock == nil {
		m.Clock = clock.Now
	}
	if m.Roster == nil {
		m.Roster = NewRoster("")
	}
	return m
}

// pollState is what an agent reported when it was last polled, and what decides when
// this entry polls it next.
type pollState struct {
	instance       string // ID of the agent process.
	endpoint       string
	revision       config.Revision
	mark           int64
	markedAt       time.Time
	polledAt       time.Time
	extraPollUntil time.Time
	changing       bool
	stale          bool
	rank           int // Rank in the agent's pool.
	pool           int // Number of agents in the pool.
}

func (v *View) targetOf(endpoint string) *wirev1.EndpointTarget {
	if v.member.Targets == nil || endpoint == "" {
		return nil
	}
	target, decided := v.member.Targets.Target(endpoint)
	if !decided {
		return nil
	}
	return &wirev1.EndpointTarget{
		Epoch:    target.Epoch,
		Sequence: target.Sequence,
		Role:     target.Role,
		Model:    target.Model,
		Adapters: target.Adapters,
	}
}

// rankAgents sets the rank of each agent among the agents of the same kind and model.
// It is called with mu held, after the VM list has been read.
func (v *View) rankAgents() {
	pools := make(map[string][]string)
	for instance, agent := range v.agents {
		pool := agent.candidate.Kind + "/" + agent.candidate.Model
		pools[pool] = append(pools[pool], instance)
	}
	for _, instances := range pools {
		for rank, instance := range rendezvous.Rank(rankKey, instances) {
			v.agents[instance].pollState.rank = rank
			v.agents[instance].pollState.pool = len(instances)
		}
	}
}

// update replaces what the agent reported. Nothing is kept from earlier replies,
// because a new instance at the same address is another process.
func (s *pollState) update(reply *wirev1.StatusReply, now time.Time) {
	s.instance = reply.Instance
	s.endpoint = reply.Endpoint
	s.revision = config.Revision(reply.Revision)
	s.mark = reply.Mark
	s.markedAt = now
	s.changing = reply.Changing
	s.stale = reply.Stale
}

// statusRequest returns a request with the configuration changes since the agent's
// last reply.
func (v *View) statusRequest(agent *Agent) *wirev1.StatusRequest {
	v.mu.Lock()
	poll := agent.pollState
	v.mu.Unlock()
	request := &wirev1.StatusRequest{EntryInstance: v.member.Instance, AgentRevision: int64(poll.revision)}
	request.Target = v.targetOf(poll.endpoint)
	if v.member.Config == nil {
		return request
	}
	// The evidence is read before the revision: the revision may then be newer than
	// the one that the evidence covers, but never older.
	age, proved := v.member.Config.Evidence()
	now := v.member.Clock()
	update := v.member.Config.UpdateSince(poll.revision)
	request.Revision = int64(update.Revision)
	request.News = &wirev1.ConfigNews{
		Revision:      int64(update.Revision),
		WithdrawnKeys: update.Withdrawn,
		Complete:      update.Complete,
		Turn:          int32(poll.rank),
		Pool:          int32(poll.pool),
	}
	for _, model := range update.Models {
		request.News.Versions = append(request.News.Versions, &wirev1.ModelVersion{Model: model.Name, Version: model.Version})
	}
	if proved && poll.instance != "" {
		request.News.Proved = true
		request.News.AgentInstance = poll.instance
		request.News.Mark = poll.mark
		request.News.EvidenceAfterMarkNanos = int64(now.Add(-age).Sub(poll.markedAt))
	}
	return request
}

// dueAgents returns the agents to poll now: those that rendezvous hashing assigns to
// this entry, those with an extra poll period, and the others every
// otherPollInterval.
func (v *View) dueAgents() []*Agent {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.member.Clock()
	entries := v.member.Roster.addresses()
	var dueAgents []*Agent
	for instance, agent := range v.agents {
		if v.isDue(instance, agent, entries, now) {
			agent.pollState.polledAt = now
			dueAgents = append(dueAgents, agent)
		}
	}
	return dueAgents
}

func (v *View) isDue(instance string, agent *Agent, entries []string, now time.Time) bool {
	poll := agent.pollState
	since := now.Sub(poll.polledAt)
	if poll.instance == "" || since >= otherPollInterval {
		return true
	}
	if len(v.agents) > maxSmallFleetAgents && since < largeFleetPollInterval-refreshInterval/2 {
		return false
	}
	return now.Before(poll.extraPollUntil) ||
		len(entries) <= pollersPerAgent ||
		rendezvous.Chosen(instance, v.member.Roster.Self(), entries, pollersPerAgent)
}

// HandleRefusal updates the view after an agent refused a run. An agent with a stale
// configuration is also polled by this entry for extraPollDuration. One that is
// draining, changing or down gets no more runs until it reports that it is ready.
// If another endpoint or process is at the address, its poll state is also reset, so
// that it is polled at the next refresh.
func (v *View) HandleRefusal(agent *Agent, code refusal.Code) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch code {
	case refusal.ConfigStale:
		agent.pollState.extraPollUntil = v.member.Clock().Add(extraPollDuration)
	case refusal.EndpointChanging, refusal.Draining, refusal.EndpointDown:
		agent.candidate.Ready = false
		agent.pollState.extraPollUntil = v.member.Clock().Add(extraPollDuration)
	case refusal.WrongEndpoint, refusal.RunOtherInstance:
		agent.candidate.Ready = false
		agent.pollState = pollState{rank: agent.pollState.rank, pool: agent.pollState.pool}
	}
}
