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

	// Marks exchanges crash marks with the agent.
	Marks wirev1connect.CrashMarkServiceClient

	vm        vms.VM
	candidate route.Candidate
	process   atomic.Pointer[string]
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
	list   vms.List
	client *http.Client

	mu      sync.Mutex
	agents  map[string]*Agent // By VM instance.
	entries []vms.VM
}

// New returns an empty view that reads list and calls agents through client.
func New(list vms.List, client *http.Client) *View {
	return &View{list: list, client: client, agents: make(map[string]*Agent)}
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
		}
	}
}

func (v *View) mergeAgent(vm vms.VM) {
	if agent, known := v.agents[vm.Instance]; known {
		agent.vm = vm
		return
	}
	client := wirev1connect.NewAgentServiceClient(v.client, "http://"+vm.Address, connect.WithGRPC())
	marks := wirev1connect.NewCrashMarkServiceClient(v.client, "http://"+vm.Address, connect.WithGRPC())
	v.agents[vm.Instance] = &Agent{Client: client, Marks: marks, vm: vm}
}

// Agents returns the known agents in no particular order.
func (v *View) Agents() []*Agent { return v.snapshot() }

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
	agent.process.Store(&reply.Msg.Instance)
	agent.candidate.Endpoint = reply.Msg.Endpoint
	agent.candidate.DataCentre = reply.Msg.DataCentre
	agent.candidate.Kind = reply.Msg.Kind
	agent.applyLoad(reply.Msg.Load)
}

func (a *Agent) applyLoad(load *wirev1.Load) {
	a.candidate.Queued = int(load.GetQueued())
	a.candidate.Model = load.GetModel()
	a.candidate.Ready = !load.GetLeaving() && !a.vm.Leaving
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

// Begin returns the agent of an endpoint and counts a run as outstanding until
// the returned function is called.
func (v *View) Begin(endpoint string) (agent *Agent, done func(), ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, known := range v.agents {
		if known.candidate.Endpoint == endpoint {
			known.candidate.Outstanding++
			return known, func() { v.end(known) }, true
		}
	}
	return nil, nil, false
}

func (v *View) end(agent *Agent) {
	v.mu.Lock()
	defer v.mu.Unlock()
	agent.candidate.Outstanding--
}

// Learn takes the load that came with an agent's answer.
func (v *View) Learn(agent *Agent, load *wirev1.Load) {
	if load == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	agent.applyLoad(load)
}

// Failed marks an agent as not ready until it answers again.
func (v *View) Failed(agent *Agent) {
	v.mu.Lock()
	defer v.mu.Unlock()
	agent.candidate.Ready = false
}
