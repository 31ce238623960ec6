package settings

// Authority configures how this entry takes part in what the entries agree on.
type Authority struct {
	// PeerListen is the address for other entries; empty when there are none.
	PeerListen string `toml:"peer_listen"`
	// PeerAddress is this entry's address in the list of VMs; empty: PeerListen.
	PeerAddress string `toml:"peer_address"`
	// CapacityDataCentres are those for which this entry may order endpoints;
	// empty: its own.
	CapacityDataCentres []string `toml:"capacity_data_centres"`
}

// Self returns this entry's address in the list of VMs.
func (a Authority) Self() string {
	if a.PeerAddress != "" {
		return a.PeerAddress
	}
	return a.PeerListen
}
