// Package fleet keeps the entry's view of the agents: who they are, from the
// platform's VM list, and how loaded they are, from their own answers.
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

// Agent is one known agent.
type Agent struct {
	Client wirev1connect.AgentServiceClient
	Usage  wirev1connect.UsageServiceClient
	// Observe answers operators' questions.
	Observe wirev1connect.ObserveServiceClient

	// Marks exchanges crash marks with the agent.
	Marks wirev1connect.CrashMarkServiceClient

	vm        vms.VM
	candidate route.Candidate
	process   atomic.Pointer[string]
	contact   contact
}

// Process returns the instance of the agent process that answered last, empty
// before its first answer.
func (a *Agent) Process() string {
	process := a.process.Load()
	if process == nil {
		return ""
	}
	return *process
}

// View is the entry's view. It is safe for concurrent use.
type View struct {
	list   vms.Lister
	client *http.Client
	// options are given to every client of an agent.
	options []connect.ClientOption

	member Membership

	nextList    time.Time // When the list of VMs is due.
	listFailing bool

	mu        sync.Mutex
	agents    map[string]*Agent // By VM instance.
	pools     map[poolKey]pool
	byID      map[string]*Agent // By endpoint.
	stale     bool              // The pools no longer fit the agents.
	started   time.Time
	services  *serviceBook
	fractions *fractions
}

// New returns an empty view that reads list and calls agents through client.
func New(list vms.Lister, client *http.Client, membership Membership, options ...connect.ClientOption) *View {
	return &View{
		list:      list,
		client:    client,
		options:   append([]connect.ClientOption{connect.WithGRPC()}, options...),
		member:    membership.checked(),
		agents:    make(map[string]*Agent),
		started:   time.Now(),
		services:  newServiceBook(),
		fractions: newFractions(),
	}
}

// Run refreshes the view until ctx ends.
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

// Refresh reads the VM list and asks each agent for its status.
func (v *View) Refresh(ctx context.Context) {
	v.readList(ctx)
	var asking sync.WaitGroup
	for _, agent := range v.due() {
		asking.Add(1)
		go func() {
			defer asking.Done()
			v.ask(ctx, agent)
		}()
	}
	asking.Wait()
}

func (v *View) merge(list []vms.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := make(map[string]bool, len(list))
	v.member.Roster.merge(list)
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
	v.rank()
}

func (v *View) mergeAgent(vm vms.VM) {
	if agent, known := v.agents[vm.Instance]; known {
		agent.vm.Leaving = vm.Leaving // All else is fixed for an instance.
		return
	}
	client := wirev1connect.NewAgentServiceClient(v.client, "http://"+vm.Address, v.options...)
	usage := wirev1connect.NewUsageServiceClient(v.client, "http://"+vm.Address, v.options...)
	observe := wirev1connect.NewObserveServiceClient(v.client, "http://"+vm.Address, v.options...)
	marks := wirev1connect.NewCrashMarkServiceClient(v.client, "http://"+vm.Address, v.options...)
	v.agents[vm.Instance] = &Agent{Client: client, Usage: usage, Observe: observe, Marks: marks, vm: vm}
	v.stale = true
}

// Agents returns the known agents in no particular order.
func (v *View) Agents() []*Agent {
	v.mu.Lock()
	defer v.mu.Unlock()
	agents := make([]*Agent, 0, len(v.agents))
	for _, agent := range v.agents {
		agents = append(agents, agent)
	}
	return agents
}

// ask asks an agent for its status. An agent that is stale is asked again at
// once, since the second call carries the mark of the first and so the proof.
func (v *View) ask(ctx context.Context, agent *Agent) {
	if v.askOnce(ctx, agent) {
		v.askOnce(ctx, agent)
	}
}

// askOnce reports whether the agent is stale and this entry could prove more.
func (v *View) askOnce(ctx context.Context, agent *Agent) bool {
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
	agent.process.Store(&reply.Msg.Instance)
	agent.contact.answered(reply.Msg, v.member.Clock())
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

// Candidates returns the endpoints to choose from.
func (v *View) Candidates() []route.Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	candidates := make([]route.Candidate, 0, len(v.agents))
	for _, agent := range v.agents {
		candidates = append(candidates, agent.candidate)
	}
	return candidates
}

// Learn takes the load that came with an agent's answer.
func (v *View) Learn(agent *Agent, load *wirev1.Load) {
	if load == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyLoad(agent, load)
}

// Failed marks an agent as not ready until it answers again. This entry asks it
// at each refresh meanwhile.
func (v *View) Failed(agent *Agent) {
	v.mu.Lock()
	defer v.mu.Unlock()
	agent.candidate.Ready = false
	agent.contact.adoptUntil = v.member.Clock().Add(adoptFor)
}
