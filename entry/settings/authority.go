package settings

import (
	"time"

	"flamingospar.org/core/catalogue"
)

const defaultDrainNotice = 5 * time.Second

// Authority configures how this entry takes part in what the entries agree on.
type Authority struct {
	// PeerListen is the address for other entries; empty when there are none.
	PeerListen string `toml:"peer_listen"`
	// PeerAddress is this entry's address in the list of VMs; empty: PeerListen.
	PeerAddress string `toml:"peer_address"`
	// CapacityDataCentres are those for which this entry may order endpoints;
	// empty: its own.
	CapacityDataCentres []string `toml:"capacity_data_centres"`
	// DrainNotice is how long a draining entry serves on after it has said that
	// it is not ready, so that the balancer sends it nothing more.
	DrainNotice catalogue.Duration `toml:"drain_notice"`
}

// Self returns this entry's address in the list of VMs.
func (a Authority) Self() string {
	if a.PeerAddress != "" {
		return a.PeerAddress
	}
	return a.PeerListen
}
