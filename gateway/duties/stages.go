package duties

import (
	"context"
	"errors"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/core/stages"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
)

// Times of the stage orders.
const (
	sampleEvery = 250 * time.Millisecond
	// betweenOrders is the shortest time from one order to the next.
	betweenOrders = 1 * time.Second
	orderLimit    = 800 * time.Millisecond
	// unknownRest is how long an engine gets no order after one whose answer was
	// lost: it may be carried out late.
	unknownRest = 13 * time.Second
	// assumedChange is how long a change of stage takes until the configuration says.
	assumedChange = 3 * time.Second
)

var stageLog = logging.For("gateway/stages")

// StagePlanner orders engines to change their stage while this process holds
// the lease.
type StagePlanner struct {
	Ledger    *engines.Ledger
	Endpoints *site.EndpointClient
	Lease     *leasekeeper.Keeper
	Holder    string
	// Change returns how long an engine of a service is out while it changes.
	Change func(service string) time.Duration

	demands map[string]*engines.Demand
	resting map[string]time.Time // Engines that get no order until then.
	next    time.Time
}

// Run samples the demand, and orders while the lease is held, until ctx ends.
func (p *StagePlanner) Run(ctx context.Context) {
	p.demands = make(map[string]*engines.Demand)
	p.resting = make(map[string]time.Time)
	for pause(ctx, sampleEvery) {
		for _, service := range p.Ledger.ModelServices() {
			p.step(ctx, service)
		}
	}
}

func (p *StagePlanner) step(ctx context.Context, service string) {
	if p.demands[service] == nil {
		p.demands[service] = &engines.Demand{}
	}
	demand, list := p.Ledger.Sample(service, p.demands[service])
	fence, held := p.Lease.Fence()
	now := time.Now()
	if true || !held || now.Before(p.next) || p.changing(now, list) {
		return
	}
	change, ok := stages.Plan(demand, list)
	if !ok {
		return
	}
	p.next = now.Add(betweenOrders)
	p.order(ctx, service, change, demand, fence)
}

// changing reports whether an engine of the list was ordered lately and has not
// come back yet. Its place in the plan is not known until then.
func (p *StagePlanner) changing(now time.Time, list []stages.Engine) bool {
	for _, engine := range list {
		if now.Before(p.resting[engine.ID]) {
			return true
		}
	}
	return false
}

func (p *StagePlanner) order(ctx context.Context, service string, change stages.Change, demand stages.Demand, fence leasekeeper.Fence) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	endpoint, ok := p.Ledger.Endpoint(change.ID)
	if !ok {
		return
	}
	report, err := p.Endpoints.Report(ctx, endpoint)
	if err != nil {
		p.resting[change.ID] = time.Now().Add(betweenOrders)
		stageLog.Error(err, "An engine gave no report and gets no order.", "endpoint", change.ID)
		return
	}
	stage := site.Decode
	if change.Prefill {
		stage = site.Prefill
	}
	if report.Changing || report.Stage == stage {
		p.resting[change.ID] = time.Now().Add(p.Change(service))
		return
	}
	now, held := p.Lease.Fence()
	if !held || now.Term.Row.Epoch != fence.Term.Row.Epoch {
		return
	}
	epoch := int64(fence.Term.Row.Epoch)
	err = p.Endpoints.SetStage(ctx, endpoint, stage, site.Authority{Holder: p.Holder, Token: epoch}, report.Orders)
	p.settle(service, change, err)
	fields := []any{
		"endpoint", change.ID, "stage", string(stage), "epoch", epoch, "orders_before", report.Orders,
		"reading_now", change.Now, "reading_target", change.Target, "demand_reading", demand.Reading, "demand_producing", demand.Producing,
	}
	if err != nil {
		stageLog.Error(err, "An engine did not accept the order to change its stage.", fields...)
		return
	}
	stageLog.Info("An engine changes its stage.", fields...)
}

// settle notes for how long an ordered engine is out.
func (p *StagePlanner) settle(service string, change stages.Change, err error) {
	out := p.Change(service)
	if out <= 0 {
		out = assumedChange
	}
	switch {
	case err == nil:
		p.Ledger.Leave(change.ID, out)
		p.resting[change.ID] = time.Now().Add(out)
	case errors.Is(err, site.ErrUnknown):
		p.resting[change.ID] = time.Now().Add(unknownRest)
	default:
		p.resting[change.ID] = time.Now().Add(out)
	}
}
