package fleet

import (
	"flamingospar.org/core/route"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// UsageClient is a client of the usage service of one agent.
type UsageClient struct {
	Instance string // ID of the VM.
	Address  string // Host:port.
	Client   wirev1connect.UsageServiceClient
}

// UsageClients returns clients of the usage services of all agents.
func (v *View) UsageClients() []UsageClient {
	v.mu.Lock()
	defer v.mu.Unlock()
	clients := make([]UsageClient, 0, len(v.agents))
	for instance, agent := range v.agents {
		clients = append(clients, UsageClient{Instance: instance, Address: agent.vm.Address, Client: agent.Usage})
	}
	return clients
}

// KindUnknown is the kind shown for an endpoint whose agent has never replied.
const KindUnknown = "not answering"

// Observed is the state of an agent as known to this entry, with a client of its
// observe service.
type Observed struct {
	route.Candidate
	Address string
	Leaving bool // According to the VM list.
	Client  wirev1connect.ObserveServiceClient
}

// Observed returns the state of all agents. An agent that has never replied is
// identified by its address.
func (v *View) Observed() []Observed {
	v.mu.Lock()
	defer v.mu.Unlock()
	agents := make([]Observed, 0, len(v.agents))
	for _, agent := range v.agents {
		candidate := agent.candidate
		if candidate.Endpoint == "" { // The agent has never replied.
			candidate.Endpoint = agent.vm.Address
			candidate.DataCentre = agent.vm.DataCentre
			candidate.Kind = KindUnknown
		}
		agents = append(agents, Observed{
			Candidate: candidate,
			Address:   agent.vm.Address,
			Leaving:   agent.vm.Leaving,
			Client:    agent.Observe,
		})
	}
	return agents
}
