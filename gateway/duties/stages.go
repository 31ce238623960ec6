package duties

import (
	"context"
	"errors"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/logging"
	"flamingospar.org/core/stages"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
)

// Times of the stage orders.
const (
	sampleEvery = 250 * time.Millisecond
	orderLimit  = 800 * time.Millisecond
	// lateOrder is how long an engine gets no order after one whose answer was
	// lost: it may be carried out that late.
	lateOrder = 13 * time.Second
	// assumedChange is how long a change of stage takes until the configuration
	// says.
	assumedChange = 3 * time.Second
	// settleTime is what an engine takes beside its change: it ends what runs.
	settleTime = 1 * time.Second
	// freshFleet is how old the list of endpoints may be for an order.
	freshFleet = 2 * time.Second
)

var stageLog = logging.For("gateway/stages")

// StagePlanner orders engines to change their stage while this process holds
// the lease.
type StagePlanner struct {
	Ledger    *engines.Ledger
	Endpoints *site.EndpointClient
	Lease     *leasekeeper.Keeper
	Holder    string // Name of this VM.
	// FleetAge returns how old the list of endpoints is.
	FleetAge func() time.Duration
	// Change returns how long an engine of a service is out while it changes.
	Change   func(service string) time.Duration
	Handover *Handover

	planners map[string]*stages.Planner
	next     map[string]time.Time // By service: no order until then.
	resting  map[string]time.Time // By engine: the same.
	// fenced is the newest epoch under which an engine refused an order since
	// another holder had given it one.
	fenced int64
}

// Run samples the engines, and orders while the lease is held, until ctx ends.
func (p *StagePlanner) Run(ctx context.Context) {
	for clock.Sleep(ctx, sampleEvery) {
		for _, service := range p.Ledger.ModelServices() {
			p.step(ctx, service)
		}
	}
}

func (p *StagePlanner) planner(service string) *stages.Planner {
	if p.planners == nil {
		p.planners = make(map[string]*stages.Planner)
		p.next = make(map[string]time.Time)
		p.resting = make(map[string]time.Time)
	}
	if p.planners[service] == nil {
		p.planners[service] = &stages.Planner{}
	}
	return p.planners[service]
}

func (p *StagePlanner) step(ctx context.Context, service string) {
	planner := p.planner(service)
	view, list := p.Ledger.Stages(service)
	now := time.Now()
	planner.Observe(now, view)
	fence, held := p.Lease.Fence()
	epoch := int64(fence.Term.Row.Epoch)
	if !held || epoch <= p.fenced || !p.Handover.May(epoch) || now.Before(p.next[service]) || p.FleetAge() > freshFleet {
		return
	}
	order, ok := planner.Plan()
	if !ok {
		return
	}
	out := p.out(service)
	p.next[service] = now.Add(out)
	planner.DropSamples()
	for _, engine := range stages.Choose(order, p.rested(now, list)) {
		p.order(ctx, engine.ID, order, out, fence)
	}
}

// out returns how long an engine that changes is out.
func (p *StagePlanner) out(service string) time.Duration {
	change := p.Change(service)
	if change <= 0 {
		change = assumedChange
	}
	return change + settleTime
}

// rested returns the engines that may be given an order now.
func (p *StagePlanner) rested(now time.Time, list []stages.Engine) []stages.Engine {
	rested := make([]stages.Engine, 0, len(list))
	for _, engine := range list {
		if !now.Before(p.resting[engine.ID]) {
			rested = append(rested, engine)
		}
	}
	return rested
}

// order has one engine change its stage. What it has accepted since its start
// is a condition of the order, so that one that is carried out late, after
// another, has no effect.
func (p *StagePlanner) order(ctx context.Context, id string, order stages.Order, out time.Duration, fence leasekeeper.Fence) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	endpoint, ok := p.Ledger.Endpoint(id)
	if !ok {
		return
	}
	stage := site.Decode
	if order.ToPrefill {
		stage = site.Prefill
	}
	p.resting[id] = time.Now().Add(out)
	report, err := p.Endpoints.Report(ctx, endpoint)
	if err != nil {
		stageLog.Error(err, "An engine gave no report and gets no order.", "endpoint", id)
		return
	}
	if report.Changing || report.Stage == stage {
		stageLog.Info("An engine gets no order: it changes already, or has.", "endpoint", id, "stage", string(report.Stage), "changing", report.Changing)
		return
	}
	now, held := p.Lease.Fence()
	if !held || now.Term.Row.Epoch != fence.Term.Row.Epoch {
		return
	}
	epoch := int64(fence.Term.Row.Epoch)
	p.Handover.Acts(epoch)
	err = p.Endpoints.SetStage(ctx, endpoint, stage, site.Authority{Holder: p.Holder, Token: epoch}, report.Orders)
	fields := []any{
		"endpoint", id, "stage", string(stage), "epoch", epoch, "orders_before", report.Orders,
		"wait_ms", order.PrefillWait.Milliseconds(), "slots_in_use", order.SlotUse, "fleet_age_ms", p.FleetAge().Milliseconds(),
	}
	p.noteOrder(id, epoch, err)
	if err != nil {
		stageLog.Error(err, "An engine is not known to have accepted the order to change its stage.", fields...)
		return
	}
	p.Ledger.Leave(id, out-settleTime)
	stageLog.Info("An engine changes its stage.", fields...)
}

// noteOrder notes what the answer to an order says of those that may follow.
func (p *StagePlanner) noteOrder(id string, epoch int64, err error) {
	switch {
	case errors.Is(err, site.ErrFenced):
		p.fenced = epoch
	case errors.Is(err, site.ErrUnknown):
		p.resting[id] = time.Now().Add(lateOrder)
	}
}
