package platform

import (
	"time"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/platform/vms"
)

// faultsBody is the JSON form of what can be set over HTTP.
type faultsBody struct {
	Outage           bool               `json:"outage"`
	Delay            catalogue.Duration `json:"delay"`
	LoseAnswers      bool               `json:"lose_answers"`
	VMLag            catalogue.Duration `json:"vm_lag"`
	WeightsPerSecond int64              `json:"weights_per_second"` // Bytes.
}

func (p *Platform) currentBody() faultsBody {
	faults := p.CurrentFaults()
	p.mu.Lock()
	defer p.mu.Unlock()
	return faultsBody{
		Outage:           faults.Outage,
		Delay:            catalogue.Duration(faults.Delay),
		LoseAnswers:      faults.LoseAnswers,
		VMLag:            catalogue.Duration(p.vmLag),
		WeightsPerSecond: p.weights.rate(),
	}
}

func (p *Platform) setBody(body faultsBody) {
	p.SetFaults(Faults{Outage: body.Outage, Delay: time.Duration(body.Delay), LoseAnswers: body.LoseAnswers})
	p.SetVMLag(time.Duration(body.VMLag))
	if body.WeightsPerSecond > 0 {
		p.weights.setRate(body.WeightsPerSecond)
	}
}

// dated is a list of VMs and since when it holds.
type dated struct {
	since time.Time
	list  []vms.VM
}

// SetVMLag makes the list of VMs show what held lag ago.
func (p *Platform) SetVMLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmLag = lag
}

// maxDated bounds how many former lists are kept.
const maxDated = 1000

func (p *Platform) recordVMs(list []vms.VM) {
	p.vms = append(p.vms, dated{since: time.Now(), list: append([]vms.VM(nil), list...)})
	if len(p.vms) > maxDated {
		p.vms = p.vms[1:]
	}
}

// laggingVMs returns the last list that held vmLag ago, or the oldest one.
func (p *Platform) laggingVMs() []vms.VM {
	if len(p.vms) == 0 {
		return []vms.VM{}
	}
	shown := p.vms[0]
	for _, candidate := range p.vms {
		if !candidate.since.After(time.Now().Add(-p.vmLag)) {
			shown = candidate
		}
	}
	return append([]vms.VM{}, shown.list...)
}
