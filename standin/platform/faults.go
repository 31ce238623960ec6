package platform

import (
	"time"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/platform/vms"
)

// faultsBody is the JSON form of the faults and rates that can be set over HTTP.
type faultsBody struct {
	Outage           bool               `json:"outage"`
	Delay            catalogue.Duration `json:"delay"`
	LoseResponses    bool               `json:"lose_answers"`
	VMLag            catalogue.Duration `json:"vm_lag"`
	WeightsPerSecond int64              `json:"weights_per_second"` // Bytes; 0 leaves the rate unchanged.
}

func (p *Platform) currentFaultsBody() faultsBody {
	faults := p.CurrentFaults()
	p.mu.Lock()
	defer p.mu.Unlock()
	return faultsBody{
		Outage:           faults.Outage,
		Delay:            catalogue.Duration(faults.Delay),
		LoseResponses:    faults.LoseResponses,
		VMLag:            catalogue.Duration(p.vmLag),
		WeightsPerSecond: p.weights.rate(),
	}
}

func (p *Platform) applyFaultsBody(body faultsBody) {
	p.SetFaults(Faults{Outage: body.Outage, Delay: time.Duration(body.Delay), LoseResponses: body.LoseResponses})
	p.SetVMLag(time.Duration(body.VMLag))
	if body.WeightsPerSecond > 0 {
		p.weights.setRate(body.WeightsPerSecond)
	}
}

// vmSnapshot is a list of VMs and the time from which it is valid.
type vmSnapshot struct {
	effectiveAt time.Time
	list        []vms.VM
}

// SetVMLag makes VMs return the list that was valid at the time lag before now.
func (p *Platform) SetVMLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmLag = lag
}

// maxVMSnapshots bounds the history of VM lists; the oldest are dropped first.
const maxVMSnapshots = 1000

// recordVMs appends list to the history. The caller holds mu.
func (p *Platform) recordVMs(list []vms.VM) {
	p.vmHistory = append(p.vmHistory, vmSnapshot{effectiveAt: time.Now(), list: append([]vms.VM(nil), list...)})
	if len(p.vmHistory) > maxVMSnapshots {
		p.vmHistory = p.vmHistory[1:]
	}
}

// laggingVMs returns the list that was valid vmLag ago, or the oldest list known.
// The caller holds mu.
func (p *Platform) laggingVMs() []vms.VM {
	if len(p.vmHistory) == 0 {
		return []vms.VM{}
	}
	selected := p.vmHistory[0]
	for _, snapshot := range p.vmHistory {
		if !snapshot.effectiveAt.After(time.Now().Add(-p.vmLag)) {
			selected = snapshot
		}
	}
	return append([]vms.VM{}, selected.list...)
}
