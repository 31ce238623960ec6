package fleet

import "flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"

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
