package platform

import (
	"context"
	"fmt"
	"sync"
	"time"

	"flamingospar.org/platform/capacity"
	"flamingospar.org/platform/objects"
	"flamingospar.org/platform/vms"
)

// Faults are the failures in force at the table service and object store.
type Faults struct {
	Outage      bool          // Nothing is answered and nothing takes effect.
	Delay       time.Duration // Added before the effect.
	LoseAnswers bool          // Writes take effect; their answers are lost.
}

// Platform is the whole stand-in.
type Platform struct {
	Tables *Tables

	mu      sync.Mutex
	faults  Faults
	objects map[string][]byte
	vms     []dated // Oldest first.
	vmLag   time.Duration
	weights *weightStore
	orders  []capacity.Order
	reports reportLedger
}

// New returns a platform without VMs.
func New() *Platform {
	return &Platform{Tables: NewTables(), objects: make(map[string][]byte), weights: newWeightStore()}
}

// SetFaults puts faults in force from now on.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// CurrentFaults returns the faults in force.
func (p *Platform) CurrentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(list []vms.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordVMs(list)
}

// VMs implements vms.List.
func (p *Platform) VMs(context.Context) ([]vms.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.laggingVMs(), nil
}

// Place implements capacity.Orders. An ID seen before has no further effect.
func (p *Platform) Place(_ context.Context, order capacity.Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, placed := range p.orders {
		if placed.ID == order.ID && placed.Target != order.Target {
			return fmt.Errorf("capacity order %s repeated with another target", order.ID)
		}
	}
	p.orders = append(p.orders, order)
	return nil
}

// Orders returns all capacity orders in the order of arrival.
func (p *Platform) Orders() []capacity.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]capacity.Order(nil), p.orders...)
}

// Put implements objects.Store.
func (p *Platform) Put(_ context.Context, name string, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = append([]byte(nil), data...)
	return nil
}

// Get implements objects.Store.
func (p *Platform) Get(_ context.Context, name string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[name]
	if !ok {
		return nil, objects.ErrNotFound
	}
	return data, nil
}

// Delete implements objects.Store.
func (p *Platform) Delete(_ context.Context, name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, name)
	return nil
}
