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
	sampleInterval = 250 * time.Millisecond
	orderTimeout   = 800 * time.Millisecond
	// lostResponseBackoff is how long an engine gets no order after one whose
	// response was lost: the engine may carry that order out this late.
	lostResponseBackoff = 13 * time.Second
	// defaultStageChange is the assumed duration of a stage change while the
	// configuration gives none.
	defaultStageChange = 3 * time.Second
	// stageDrainTime is added to the duration of a stage change: the engine finishes
	// its running requests first.
	stageDrainTime = 1 * time.Second
	// maxFleetAge is the maximum age of the list of endpoints for sending orders.
	maxFleetAge = 2 * time.Second
)

var stageLog = logging.For("gateway/stages")

// RateLimits knows how many requests endpoints accept. Reports and orders count among
// them.
type RateLimits interface {
	// Take reports whether a request may be sent to an endpoint now, and counts it.
	Take(id string) bool
	// Observe records what the response to a request that was sent at sentAt says.
	Observe(to site.Endpoint, sentAt time.Time, response site.EndpointResponse)
}

// StagePlanner orders engines to change their stage while this process holds
// the lease.
type StagePlanner struct {
	Balancer  *engines.Selector
	Endpoints *site.EndpointClient
	Limits    RateLimits
	Lease     *leasekeeper.Keeper
	Holder    string // Name of this VM.
	// FleetAge returns the age of the list of endpoints.
	FleetAge func() time.Duration
	// StageChangeTime returns how long an engine of a service takes to change its
	// stage, or 0 if that is not known.
	StageChangeTime func(service string) time.Duration
	Handover        *HandoverGuard

	planners         map[string]*stages.Planner
	serviceNotBefore map[string]time.Time  // Time of the next possible order, by service.
	engineNotBefore  map[string]time.Time  // Time of the next possible order, by engine.
	orderedStages    map[string]site.Stage // Of the last order, by engine.
	// fencedEpoch is the newest epoch in which an engine refused an order because
	// another holder had sent it one with a higher fencing token.
	fencedEpoch int64
}

// Run samples the engines, and sends orders while the lease is held, until ctx ends.
func (p *StagePlanner) Run(ctx context.Context) {
	for clock.Sleep(ctx, sampleInterval) {
		for _, service := range p.Balancer.ModelServices() {
			p.step(ctx, service)
		}
	}
}

func (p *StagePlanner) planner(service string) *stages.Planner {
	if p.planners == nil {
		p.planners = make(map[string]*stages.Planner)
		p.serviceNotBefore = make(map[string]time.Time)
		p.engineNotBefore = make(map[string]time.Time)
		p.orderedStages = make(map[string]site.Stage)
	}
	if p.planners[service] == nil {
		p.planners[service] = &stages.Planner{}
	}
	return p.planners[service]
}

func (p *StagePlanner) step(ctx context.Context, service string) {
	planner := p.planner(service)
	view, list := p.Balancer.StageView(service), p.Balancer.StageEngines(service)
	now := time.Now()
	p.markOrdered(now, list)
	view.Versions = stages.CountVersions(list)
	planner.Observe(now, view)
	fence, held := p.Lease.Fence()
	epoch := int64(fence.Term.Row.Epoch)
	if !held || epoch <= p.fencedEpoch || !p.Handover.MayAct(epoch) || now.Before(p.serviceNotBefore[service]) || p.FleetAge() > maxFleetAge {
		return
	}
	changes := plan(planner, list)
	if len(changes) == 0 {
		return
	}
	downtime := p.downtime(service)
	p.serviceNotBefore[service] = now.Add(downtime)
	planner.DropSamples()
	for _, change := range changes {
		for _, engine := range change.engines {
			p.sendOrder(ctx, engine.ID, change.order, downtime, fence)
		}
	}
}

// stageChange is an order and the engines that get it.
type stageChange struct {
	order   stages.Order
	engines []stages.Engine
}

// plan returns the changes that a planner calls for. Those that keep the streams of software
// versions going come before those that follow the load, unless no engine may be ordered for them.
func plan(planner *stages.Planner, list []stages.Engine) []stageChange {
	var changes []stageChange
	for _, order := range planner.PlanVersions() {
		if chosen := stages.Choose(order, list); len(chosen) > 0 {
			changes = append(changes, stageChange{order, chosen})
		}
	}
	if len(changes) > 0 {
		return changes
	}
	if order, ok := planner.Plan(); ok {
		return []stageChange{{order, stages.Choose(order, list)}}
	}
	return nil
}

// downtime returns how long an engine is unavailable while it changes its stage.
func (p *StagePlanner) downtime(service string) time.Duration {
	change := p.StageChangeTime(service)
	if change <= 0 {
		change = defaultStageChange
	}
	return change + stageDrainTime
}

// markOrdered marks the engines that were ordered a moment ago: they get no other order. Their
// entries state the former stage until the change is complete.
func (p *StagePlanner) markOrdered(now time.Time, list []stages.Engine) {
	for i := range list {
		engine := &list[i]
		if !now.Before(p.engineNotBefore[engine.ID]) {
			delete(p.orderedStages, engine.ID)
			continue
		}
		engine.NoOrders = true
		if ordered, ok := p.orderedStages[engine.ID]; ok {
			ordersPrefill := ordered == site.Prefill
			engine.Changing = engine.Prefill != ordersPrefill
			engine.Prefill = ordersPrefill
		}
	}
}

// sendOrder orders one engine to change its stage. The number of orders that the
// engine has accepted since its start is a precondition of the order, so that an
// order carried out late, after another one, has no effect.
func (p *StagePlanner) sendOrder(ctx context.Context, id string, order stages.Order, downtime time.Duration, fence leasekeeper.Fence) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	endpoint, ok := p.Balancer.Endpoint(id)
	if !ok {
		return
	}
	stage := site.Decode
	if order.ToPrefill {
		stage = site.Prefill
	}
	if !p.Balancer.Take(endpoint) {
		return
	}
	p.engineNotBefore[id] = time.Now().Add(downtime)
	report, err := p.report(ctx, endpoint)
	if err != nil {
		stageLog.Error(err, "Could not read the report of an engine; no order is sent.", "endpoint", id)
		return
	}
	if report.OrderInProgress || report.Stage == stage {
		stageLog.Info("No order is sent: the engine is already changing its stage or has changed it.", "endpoint", id, "stage", string(report.Stage), "changing", report.OrderInProgress)
		return
	}
	current, held := p.Lease.Fence()
	if !held || current.Term.Row.Epoch != fence.Term.Row.Epoch {
		return
	}
	if !p.Balancer.Take(endpoint) {
		stageLog.Info("No order is sent: the engine leaves or has asked to be sent nothing for a time.", "endpoint", id)
		return
	}
	if !p.Limits.Take(id) {
		stageLog.Info("No order is sent: the rate limit of the engine is used up.", "endpoint", id)
		return
	}
	epoch := int64(fence.Term.Row.Epoch)
	p.Handover.RecordAction(epoch)
	p.orderedStages[id] = stage
	err = p.Endpoints.SetStage(ctx, endpoint, stage, site.DutyHolder{VM: p.Holder, FencingToken: epoch}, report.AcceptedOrders)
	fields := []any{
		"endpoint", id, "stage", string(stage), "reason", string(order.Reason), "epoch", epoch, "orders_before", report.AcceptedOrders,
		"wait_ms", order.PrefillWait.Milliseconds(), "slots_in_use", order.SlotUse, "fleet_age_ms", p.FleetAge().Milliseconds(),
	}
	if order.Version.Version != "" {
		fields = append(fields, "software", order.Version.Version, "software_decode", order.Version.DecodeEngines, "software_decode_up", order.Version.DecodeUp, "software_prefill", order.Version.PrefillEngines)
	}
	p.recordOrderResult(id, epoch, err)
	if err != nil {
		stageLog.Error(err, "Could not confirm that an engine accepted the order to change its stage.", fields...)
		return
	}
	p.Balancer.BackOff(id, downtime-stageDrainTime)
	stageLog.Info("An engine changes its stage.", fields...)
}

// errRateLimited means that the rate limit of an engine is used up.
var errRateLimited = errors.New("the rate limit of the engine is used up; remedy: choose another engine or wait")

// report reads the report of an engine, unless its rate limit is used up.
func (p *StagePlanner) report(ctx context.Context, endpoint site.Endpoint) (site.EndpointReport, error) {
	if !p.Limits.Take(endpoint.ID) {
		return site.EndpointReport{}, errRateLimited
	}
	sentAt := time.Now()
	report, err := p.Endpoints.Report(ctx, endpoint)
	if err == nil {
		p.Limits.Observe(endpoint, sentAt, report.Response)
	}
	return report, err
}

// recordOrderResult applies the result of an order to the orders that may follow it.
func (p *StagePlanner) recordOrderResult(id string, epoch int64, err error) {
	switch {
	case errors.Is(err, site.ErrFenced):
		p.fencedEpoch = epoch
	case errors.Is(err, site.ErrOutcomeUnknown):
		p.engineNotBefore[id] = time.Now().Add(lostResponseBackoff)
	}
	if err != nil && !errors.Is(err, site.ErrOutcomeUnknown) {
		delete(p.orderedStages, id) // Refused: it keeps its stage.
	}
}
