package node

import (
	"flamingospar.org/core/availability"
	"flamingospar.org/platform/site"
)

// applyStatement counts that an endpoint said that it wants no requests, and closes the
// idle connections to one that leaves.
func (n *Node) applyStatement(endpoint site.Endpoint, excluded availability.Exclusion) {
	n.meter.Count("endpoint", string(excluded.Reason))
	if excluded.Reason == availability.Leaving {
		n.pool.CloseIdle(endpoint.Address)
	}
}

// closeLeaving closes the connections to endpoints that leave which have become idle
// since.
func (n *Node) closeLeaving() {
	for _, address := range n.selector.LeavingAddresses() {
		n.pool.CloseIdle(address)
	}
}
