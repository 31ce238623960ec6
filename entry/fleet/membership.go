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
	turnsKey = "turns"
	// pollers is how many entries ask each agent in turn.
	pollers = 3
	// smallFleet is how many agents are asked at every refresh; with more of
	// them each is asked once in pollMany.
	smallFleet = 64
	pollMany   = 4 * time.Second
	// introduceEvery is how often an entry asks the other agents.
	introduceEvery = 60 * time.Second
	// adoptFor is how long an entry asks an agent that it found stale.
	adoptFor = 60 * time.Second
)

// Config is what an entry tells agents of the configuration.
type Config interface {
	News(after config.Revision) configview.News
	// Evidence returns its age, false when there is none.
	Evidence() (time.Duration, bool)
}

// Membership is how this entry takes part in the fleet. All may be zero.
type Membership struct {
	Instance string
	Roster   *Roster
	Config   Config
	Targets  Targets
	Clock    clock.Clock
}

// Targets tells what an endpoint should have loaded, false when nobody has
// decided. A decision of a lease's holder carries the lease's epoch, so that
// agents take none of an ended term after one of the next.
type Targets interface {
	Target(endpoint string) (orders.Target, bool)
}

func (m Membership) checked() Membership {
	if m.Clock == nil {
		m.Clock = clock.Now
	}
	if m.Roster == nil {
		m.Roster = NewRoster("")
	}
	return m
}

// contact is what direct contact with an agent has shown.
type contact struct {
	instance   string // Of the agent's process.
	endpoint   string
	revision   config.Revision
	mark       int64
	markedAt   time.Time
	asked      time.Time
	adoptUntil time.Time
	changing   bool
	stale      bool
	turn       int // Rank in its pool.
	pool       int // Agents of its pool.
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

// rank tells each agent its turn in its pool, the agents of one model. It is
// called with mu held, after the list has changed.
func (v *View) rank() {
	pools := make(map[string][]string)
	for instance, agent := range v.agents {
		pool := agent.candidate.Kind + "/" + agent.candidate.Model
		pools[pool] = append(pools[pool], instance)
	}
	for _, instances := range pools {
		for turn, instance := range rendezvous.Rank(turnsKey, instances) {
			v.agents[instance].contact.turn = turn
			v.agents[instance].contact.pool = len(instances)
		}
	}
}

// answered notes an agent's answer. A new instance at the same address is
// another process: nothing that the former one said holds for it.
func (c *contact) answered(reply *wirev1.StatusReply, now time.Time) {
	c.instance = reply.Instance
	c.endpoint = reply.Endpoint
	c.revision = config.Revision(reply.Revision)
	c.mark = reply.Mark
	c.markedAt = now
	c.changing = reply.Changing
	c.stale = reply.Stale
}

// statusRequest tells the agent the news since it last answered.
func (v *View) statusRequest(agent *Agent) *wirev1.StatusRequest {
	v.mu.Lock()
	known := agent.contact
	v.mu.Unlock()
	request := &wirev1.StatusRequest{EntryInstance: v.member.Instance, AgentRevision: int64(known.revision)}
	request.Target = v.targetOf(known.endpoint)
	if v.member.Config == nil {
		return request
	}
	// The evidence is read before the revision, so that it never vouches for
	// less than it was taken for.
	age, proved := v.member.Config.Evidence()
	now := v.member.Clock()
	news := v.member.Config.News(known.revision)
	request.Revision = int64(news.Revision)
	request.News = &wirev1.ConfigNews{
		Revision:      int64(news.Revision),
		WithdrawnKeys: news.Withdrawn,
		Complete:      news.Complete,
		Turn:          int32(known.turn),
		Pool:          int32(known.pool),
	}
	for _, model := range news.Models {
		request.News.Versions = append(request.News.Versions, &wirev1.ModelVersion{Model: model.Name, Version: model.Version})
	}
	if proved && known.instance != "" {
		request.News.Proved = true
		request.News.AgentInstance = known.instance
		request.News.Mark = known.mark
		request.News.EvidenceAfterMarkNanos = int64(now.Add(-age).Sub(known.markedAt))
	}
	return request
}

// due returns the agents to ask now: those that rendezvous hashing gives to
// this entry, those that it adopted, and now and then each of the others.
func (v *View) due() []*Agent {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.member.Clock()
	entries := v.member.Roster.all()
	var due []*Agent
	for instance, agent := range v.agents {
		if v.isDue(instance, agent, entries, now) {
			agent.contact.asked = now
			due = append(due, agent)
		}
	}
	return due
}

func (v *View) isDue(instance string, agent *Agent, entries []string, now time.Time) bool {
	known := agent.contact
	since := now.Sub(known.asked)
	if known.instance == "" || since >= introduceEvery {
		return true
	}
	if len(v.agents) > smallFleet && since < pollMany-refreshInterval/2 {
		return false
	}
	return now.Before(known.adoptUntil) ||
		len(entries) <= pollers ||
		rendezvous.Chosen(instance, v.member.Roster.Self(), entries, pollers)
}

// Refused learns from an agent's refusal. A stale agent is asked by this entry
// too from now on; one that drains or changes gets no more work until it
// answers that it is ready.
func (v *View) Refused(agent *Agent, code refusal.Code) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch code {
	case refusal.ConfigStale:
		agent.contact.adoptUntil = v.member.Clock().Add(adoptFor)
	case refusal.EndpointChanging, refusal.Draining, refusal.EndpointDown:
		agent.candidate.Ready = false
		agent.contact.adoptUntil = v.member.Clock().Add(adoptFor)
	case refusal.WrongEndpoint, refusal.RunOtherInstance:
		agent.candidate.Ready = false
		agent.contact = contact{turn: agent.contact.turn, pool: agent.contact.pool}
	}
}
