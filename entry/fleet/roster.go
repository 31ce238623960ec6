package fleet

import (
	"sync"

	"flamingospar.org/platform/vms"
)

// Roster holds the addresses of the entries in the VM list. It is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex
	self    string
	entries []string
}

// NewRoster returns an empty roster. self is this entry's own address in the VM list,
// or "" if other entries can't reach it.
func NewRoster(self string) *Roster { return &Roster{self: self} }

// Self returns this entry's address in the VM list.
func (r *Roster) Self() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// SetSelf sets this entry's address. It is called once the entry listens there.
func (r *Roster) SetSelf(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = address
}

// Others returns the addresses of the other listed entries. It includes leaving
// entries as long as they are listed, since they may still act.
func (r *Roster) Others() []string {
	var others []string
	self := r.Self()
	for _, address := range r.addresses() {
		if address != self {
			others = append(others, address)
		}
	}
	return others
}

func (r *Roster) addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.entries...)
}

func (r *Roster) applyVMList(list []vms.VM) {
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
