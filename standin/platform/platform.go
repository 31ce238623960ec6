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

// Faults are the faults injected into the table service and the object store.
type Faults struct {
	Outage        bool          // Requests fail and have no effect.
	Delay         time.Duration // Added before a request takes effect.
	LoseResponses bool          // Writes take effect, but their responses are lost.
}

// Platform simulates all services of the platform. It implements vms.List,
// capacity.Orders, objects.Store and usagereport.Reports and is safe for
// concurrent use.
type Platform struct {
	Tables *Tables

	mu        sync.Mutex
	faults    Faults
	objects   map[string][]byte
	vmHistory []vmSnapshot // Oldest first.
	vmLag     time.Duration
	weights   *weightStore
	orders    []capacity.Order
	reports   reportChecker
}

// New returns a platform without VMs.
func New() *Platform {
	return &Platform{Tables: NewTables(), objects: make(map[string][]byte), weights: newWeightStore()}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// CurrentFaults returns the injected faults.
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

// VMs returns the list of VMs, delayed by the lag set with SetVMLag.
func (p *Platform) VMs(context.Context) ([]vms.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.laggingVMs(), nil
}

// Place records a capacity order. A repeated order must have the same target; it
// is recorded again.
func (p *Platform) Place(_ context.Context, order capacity.Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, placed := range p.orders {
		if placed.ID == order.ID && placed.Target != order.Target {
			return fmt.Errorf("capacity order %s was repeated with a different target", order.ID)
		}
	}
	p.orders = append(p.orders, order)
	return nil
}

// Orders returns all capacity orders, repeats included, in the order of arrival.
func (p *Platform) Orders() []capacity.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]capacity.Order(nil), p.orders...)
}

func (p *Platform) Put(_ context.Context, name string, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = append([]byte(nil), data...)
	return nil
}

func (p *Platform) Get(_ context.Context, name string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[name]
	if !ok {
		return nil, objects.ErrNotFound
	}
	return data, nil
}

func (p *Platform) Delete(_ context.Context, name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, name)
	return nil
}
