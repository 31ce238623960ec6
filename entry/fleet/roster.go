package fleet

import (
	"sync"

	"flamingospar.org/platform/vms"
)

// Roster is the listed entries. It is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex
	self    string
	entries []string
}

// NewRoster returns a roster that names no entries. self is this entry's own
// address in the list of VMs; empty when other entries can't reach it.
func NewRoster(self string) *Roster { return &Roster{self: self} }

// Self returns this entry's address in the list of VMs.
func (r *Roster) Self() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// SetSelf sets this entry's address once it listens there.
func (r *Roster) SetSelf(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = address
}

// Others returns the addresses of the other listed entries. A leaving entry
// counts as long as it is listed, since it may still act.
func (r *Roster) Others() []string {
	var others []string
	self := r.Self()
	for _, address := range r.all() {
		if address != self {
			others = append(others, address)
		}
	}
	return others
}

func (r *Roster) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.entries...)
}

func (r *Roster) merge(list []vms.VM) {
	var entries []string
	for _, vm := range list {
		if vm.Role == vms.Entry {
			entries = append(entries, vm.Address)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = entries
}
