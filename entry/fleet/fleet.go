// Package fleet keeps the entry's view of the agents: who they are, from the
// platform's VM list, and how loaded they are, from their own answers.
package fleet

import (
	"context"
	"net/http"
	"sync"
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

	vm        vms.VM
	candidate route.Candidate
}

// View is the entry's view. It is safe for concurrent use.
type View struct {
	list   vms.List
	client *http.Client

	mu        sync.Mutex
	agents    map[string]*Agent // By VM instance.
	entries   []vms.VM
	pools     map[poolKey]pool
	byID      map[string]*Agent // By endpoint.
	stale     bool              // The pools no longer fit the agents.
	started   time.Time
	services  *serviceBook
	fractions *fractions
}

// New returns an empty view that reads list and calls agents through client.
func New(list vms.List, client *http.Client) *View {
	return &View{list: list, client: client, agents: make(map[string]*Agent), started: time.Now(), services: newServiceBook(), fractions: newFractions()}
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
	list, err := v.list.VMs(ctx)
	if err != nil {
		log.Error(err, "The VM list could not be read; the last one is kept.")
	} else {
		v.merge(list)
	}
	var asking sync.WaitGroup
	for _, agent := range v.snapshot() {
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
	v.entries = v.entries[:0]
	for _, vm := range list {
		listed[vm.Instance] = true
		if vm.Role == vms.Entry {
			v.entries = append(v.entries, vm)
			continue
		}
		v.mergeAgent(vm)
	}
	for instance := range v.agents {
		if !listed[instance] {
			delete(v.agents, instance)
			v.forgetService(instance)
			v.stale = true
		}
	}
}

func (v *View) mergeAgent(vm vms.VM) {
	if agent, known := v.agents[vm.Instance]; known {
		agent.vm = vm
		return
	}
	client := wirev1connect.NewAgentServiceClient(v.client, "http://"+vm.Address, connect.WithGRPC())
	v.agents[vm.Instance] = &Agent{Client: client, vm: vm}
	v.stale = true
}

func (v *View) snapshot() []*Agent {
	v.mu.Lock()
	defer v.mu.Unlock()
	agents := make([]*Agent, 0, len(v.agents))
	for _, agent := range v.agents {
		agents = append(agents, agent)
	}
	return agents
}

func (v *View) ask(ctx context.Context, agent *Agent) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := agent.Client.Status(ctx, connect.NewRequest(new(wirev1.StatusRequest)))
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		agent.candidate.Ready = false
		return
	}
	if agent.candidate.Endpoint != reply.Msg.Endpoint || agent.candidate.Kind != reply.Msg.Kind {
		v.stale = true
	}
	agent.candidate.Endpoint = reply.Msg.Endpoint
	agent.candidate.Hash = route.HashOf(reply.Msg.Endpoint)
	agent.candidate.DataCentre = reply.Msg.DataCentre
	agent.candidate.Kind = reply.Msg.Kind
	v.applyLoad(agent, reply.Msg.Load)
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

// Failed marks an agent as not ready until it answers again.
func (v *View) Failed(agent *Agent) {
	v.mu.Lock()
	defer v.mu.Unlock()
	agent.candidate.Ready = false
}
