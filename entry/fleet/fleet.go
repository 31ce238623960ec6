// Package fleet maintains the entry's view of the agents: which ones exist, from the
// platform's VM list, and their load, from their own replies.
package fleet

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/base/logging"
	"flamingospar.org/core/route"
	"flamingospar.org/platform/vms"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

const (
	refreshInterval = 1 * time.Second
	statusTimeout   = 800 * time.Millisecond
)

var log = logging.For("entry/fleet")

// Agent is an agent in the VM list.
type Agent struct {
	Client wirev1connect.AgentServiceClient
	Usage  wirev1connect.UsageServiceClient
	// Observe serves operators' queries.
	Observe wirev1connect.ObserveServiceClient

	// CrashMarks exchanges crash marks with the agent.
	CrashMarks wirev1connect.CrashMarkServiceClient

	vm              vms.VM
	candidate       route.Candidate
	processInstance atomic.Pointer[string]
	pollState       pollState
}

// ProcessInstance returns the instance ID of the agent process that replied last, or
// "" before the first reply.
func (a *Agent) ProcessInstance() string {
	processInstance := a.processInstance.Load()
	if processInstance == nil {
		return ""
	}
	return *processInstance
}

// View is the entry's view of the agents. It is safe for concurrent use.
type View struct {
	vmList vms.Lister
	client *http.Client
	// options apply to every client of an agent.
	options []connect.ClientOption

	member Membership

	nextListRead time.Time // Earliest time of the next read of the VM list.
	listFailing  bool

	mu             sync.Mutex
	agents         map[string]*Agent // By VM instance ID.
	pools          map[poolKey]pool
	byEndpoint     map[string]*Agent // By endpoint ID.
	stale          bool              // The agents have changed since the pools were built.
	started        time.Time
	serviceRecords *serviceTracker
	teamFractions  *teamFractions
}

// New returns an empty view that reads the VM list from vmList and calls agents
// through client.
func New(vmList vms.Lister, client *http.Client, membership Membership, options ...connect.ClientOption) *View {
	return &View{
		vmList:         vmList,
		client:         client,
		options:        append([]connect.ClientOption{connect.WithGRPC()}, options...),
		member:         membership.withDefaults(),
		agents:         make(map[string]*Agent),
		started:        time.Now(),
		serviceRecords: newServiceTracker(),
		teamFractions:  newTeamFractions(),
	}
}

// Run refreshes the view periodically until ctx is done.
func (v *View) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		v.Refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Refresh reads the VM list if that is due, and polls the agents that are due.
func (v *View) Refresh(ctx context.Context) {
	v.readList(ctx)
	var wg sync.WaitGroup
	for _, agent := range v.dueAgents() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			v.poll(ctx, agent)
		}()
	}
	wg.Wait()
}

func (v *View) applyVMList(list []vms.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := make(map[string]bool, len(list))
	v.member.Roster.applyVMList(list)
	for _, vm := range list {
		listed[vm.Instance] = true
		if vm.Role == vms.Agent {
			v.mergeAgent(vm)
		}
	}
	for instance := range v.agents {
		if !listed[instance] {
			delete(v.agents, instance)
			v.forgetService(instance)
			v.stale = true
		}
	}
	v.rankAgents()
}

func (v *View) mergeAgent(vm vms.VM) {
	if agent, known := v.agents[vm.Instance]; known {
		agent.vm.Leaving = vm.Leaving // Nothing else changes for an instance.
		return
	}
	client := wirev1connect.NewAgentServiceClient(v.client, "http://"+vm.Address, v.options...)
	usage := wirev1connect.NewUsageServiceClient(v.client, "http://"+vm.Address, v.options...)
	observe := wirev1connect.NewObserveServiceClient(v.client, "http://"+vm.Address, v.options...)
	marks := wirev1connect.NewCrashMarkServiceClient(v.client, "http://"+vm.Address, v.options...)
	v.agents[vm.Instance] = &Agent{Client: client, Usage: usage, Observe: observe, CrashMarks: marks, vm: vm}
	v.stale = true
}

// Agents returns the agents in no particular order.
func (v *View) Agents() []*Agent {
	v.mu.Lock()
	defer v.mu.Unlock()
	agents := make([]*Agent, 0, len(v.agents))
	for _, agent := range v.agents {
		agents = append(agents, agent)
	}
	return agents
}

// poll requests an agent's status. If the agent's configuration is stale, poll
// repeats the request at once: only the second one can carry the mark of the first
// reply, and with it the proof that the configuration is current.
func (v *View) poll(ctx context.Context, agent *Agent) {
	if v.pollOnce(ctx, agent) {
		v.pollOnce(ctx, agent)
	}
}

// pollOnce reports whether the agent's configuration is stale and the request carried
// no proof, so that another request can help.
func (v *View) pollOnce(ctx context.Context, agent *Agent) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request := v.statusRequest(agent)
	reply, err := agent.Client.Status(ctx, connect.NewRequest(request))
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		agent.candidate.Ready = false
		return false
	}
	agent.processInstance.Store(&reply.Msg.Instance)
	agent.pollState.update(reply.Msg, v.member.Clock())
	if agent.candidate.Endpoint != reply.Msg.Endpoint || agent.candidate.Kind != reply.Msg.Kind {
		v.stale = true
	}
	agent.candidate.Endpoint = reply.Msg.Endpoint
	agent.candidate.Hash = route.HashOf(reply.Msg.Endpoint)
	agent.candidate.DataCentre = reply.Msg.DataCentre
	agent.candidate.Kind = reply.Msg.Kind
	v.applyLoad(agent, reply.Msg.Load)
	return reply.Msg.Stale && request.News != nil && !request.News.Proved
}

// Candidates returns the endpoints of all agents, including those that aren't ready.
func (v *View) Candidates() []route.Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	candidates := make([]route.Candidate, 0, len(v.agents))
	for _, agent := range v.agents {
		candidates = append(candidates, agent.candidate)
	}
	return candidates
}

// UpdateLoad applies the load reported in an agent's reply. A nil load is ignored.
func (v *View) UpdateLoad(agent *Agent, load *wirev1.Load) {
	if load == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyLoad(agent, load)
}

// MarkFailed marks an agent as not ready until it replies again. For
// extraPollDuration this entry polls it, even if other entries are assigned to it.
func (v *View) MarkFailed(agent *Agent) {
	v.mu.Lock()
	defer v.mu.Unlock()
	agent.candidate.Ready = false
	agent.pollState.extraPollUntil = v.member.Clock().Add(extraPollDuration)
}
