package peers

import (
	"slices"

	"flamingospar.org/core/rendezvous"
)

// Rank returns the first n VMs, this one included, in the order of their rank for key.
// All processes with the same list compute the same order.
func (c *Cluster) Rank(key string, n int) []string {
	c.mu.Lock()
	vms := []string{c.self.VM}
	for vm := range c.members {
		vms = append(vms, vm)
	}
	c.mu.Unlock()
	return slices.Clone(rendezvous.Rank(key, vms)[:min(n, len(vms))])
}

// Generation changes whenever the list of processes changes.
func (c *Cluster) Generation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation
}
