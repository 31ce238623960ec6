package fleet

import (
	"flamingospar.org/core/route"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// UsageClient is the usage service of one agent.
type UsageClient struct {
	Instance string // Of the VM.
	Address  string // Host:port.
	Client   wirev1connect.UsageServiceClient
}

// UsageClients returns the usage services of all known agents.
func (v *View) UsageClients() []UsageClient {
	v.mu.Lock()
	defer v.mu.Unlock()
	clients := make([]UsageClient, 0, len(v.agents))
	for instance, agent := range v.agents {
		clients = append(clients, UsageClient{Instance: instance, Address: agent.vm.Address, Client: agent.Usage})
	}
	return clients
}

// KindUnknown is the kind of an endpoint whose agent never answered.
const KindUnknown = "not answering"

// Observed is an agent as this entry sees it, and its observe service.
type Observed struct {
	route.Candidate
	Address string
	Leaving bool // By the platform's list.
	Client  wirev1connect.ObserveServiceClient
}

// Observed returns all known agents.
func (v *View) Observed() []Observed {
	v.mu.Lock()
	defer v.mu.Unlock()
	agents := make([]Observed, 0, len(v.agents))
	for _, agent := range v.agents {
		candidate := agent.candidate
		if candidate.Endpoint == "" { // It never answered.
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
