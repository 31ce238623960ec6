// Package orders reconciles the endpoint with its target by sending it orders.
// Only the agent sends orders: one at a time, the next one only after the
// endpoint's state was polled, and after an order with an unknown result none
// until the endpoint has been quiet.
//
// Two agents of one endpoint never send orders at the same time, because the
// reconciler runs only while the agent listens on its address on the endpoint's
// VM, and no second process can listen there. An order of a previous agent
// process may still be in transit. The quiet period after the start covers that
// case; endpoints that check epochs reject such an order by the epoch raised in
// the table service.
package orders

import (
	"context"
	"errors"
	"sync"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/invariant"
	"flamingospar.org/base/logging"
	"flamingospar.org/core/orders"
	"flamingospar.org/platform/engine"
	"flamingospar.org/platform/tables"
)

const (
	stepInterval       = 250 * time.Millisecond
	pollTimeout        = 1 * time.Second
	callTimeout        = 2 * time.Second
	epochRetryInterval = 2 * time.Second
)

var log = logging.For("agent/orders")

// Gate keeps runs away from the endpoint while it executes an order.
type Gate interface {
	Drain(ctx context.Context) error
	Resume()
	AssertDrained()
}

// Endpoint is the client of the endpoint that receives the orders.
type Endpoint interface {
	engine.Control
	Load(ctx context.Context) (engine.Load, error)
}

// Counter counts events by name.
type Counter interface {
	Count(parts ...string)
}

// Dependencies are the collaborators of a Reconciler.
type Dependencies struct {
	Name     string // The endpoint's id.
	Instance string // This process; unique for each start.
	Endpoint Endpoint
	Gate     Gate
	Tables   tables.Service
	Clock    clock.Clock
	Counter  Counter
	// OnState is called with each polled state.
	OnState func(state orders.State)
}

// Reconciler sends orders to one endpoint.
type Reconciler struct {
	deps          Dependencies
	epochTriedAt  time.Time
	outdatedCount int           // Orders rejected because the endpoint had seen a higher epoch.
	drained       chan struct{} // Closed when no admitted run is left; nil when not draining.

	mu      sync.Mutex
	machine *orders.Machine
}

// New returns the reconciler of an agent that has just started.
func New(deps Dependencies) *Reconciler {
	return &Reconciler{deps: deps, machine: orders.NewMachine()}
}

// SetTarget sets what the endpoint should have loaded and reports whether the
// target was accepted. A target that is not newer than the last one is ignored.
func (r *Reconciler) SetTarget(target orders.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.SetTarget(target)
}

// SetVersions sets the version of each model as of a revision of the catalogue.
// The endpoint is not taken out of service to change versions before holdOff
// has passed.
func (r *Reconciler) SetVersions(revision int64, versions map[string]string, holdOff time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.SetVersions(revision, versions, r.deps.Clock().Add(holdOff))
}

// State returns the endpoint's last known state, and whether no order is in
// flight or has an unknown result.
func (r *Reconciler) State() (orders.State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.State(), r.machine.Settled()
}

// Run reconciles the endpoint until ctx ends. An order in flight is left to the
// next agent process, which sees it in the endpoint's state.
func (r *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		r.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Reconciler) step(ctx context.Context) {
	r.checkDrained(ctx)
	now := r.deps.Clock()
	r.mu.Lock()
	step, order := r.machine.Next(now)
	r.mu.Unlock()
	switch step {
	case orders.RaiseEpoch:
		r.raiseEpoch(ctx, now)
	case orders.Poll:
		r.poll(ctx)
	case orders.Drain:
		r.drain(ctx)
	case orders.Send:
		r.send(ctx, order)
	case orders.Resume:
		r.resume()
	case orders.Wait:
	}
}

func (r *Reconciler) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	requestedAt := r.deps.Clock()
	state, err := r.deps.Endpoint.State(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.machine.PollFailed(requestedAt)
		return
	}
	previous := r.machine.State()
	r.machine.PollSucceeded(state, requestedAt)
	if previous.Instance != "" && previous.Instance != state.Instance {
		r.count("engine_restarted")
		log.Info("The endpoint has restarted.", "endpoint", r.deps.Name, "instance", state.Instance)
	}
	r.deps.OnState(state)
}

func (r *Reconciler) drain(ctx context.Context) {
	r.mu.Lock()
	r.machine.DrainStarted()
	r.mu.Unlock()
	drained := make(chan struct{})
	r.drained = drained
	go func() {
		if r.deps.Gate.Drain(ctx) == nil {
			close(drained)
		}
	}()
}

// checkDrained reports the drain to the state machine once the agent has no
// active runs and the endpoint reports no requests. The endpoint may still have
// requests from before a restart of the agent.
func (r *Reconciler) checkDrained(ctx context.Context) {
	if r.drained == nil {
		return
	}
	select {
	case <-r.drained:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := r.deps.Endpoint.Load(ctx)
	if err != nil || load.Running+load.Queued > 0 {
		return
	}
	r.drained = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.Drained(r.deps.Clock())
}

func (r *Reconciler) resume() {
	r.deps.Gate.Resume()
	r.drained = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.Resumed()
}

func (r *Reconciler) send(ctx context.Context, order orders.Order) {
	if order.Interrupts() {
		r.deps.Gate.AssertDrained()
	}
	r.mu.Lock()
	invariant.Check(r.machine.Settled(), invariant.OneOrderInFlight, "order %s while another is open", order.ID())
	r.machine.BeginSend(order)
	r.mu.Unlock()
	r.count("sent", string(order.Setting))
	log.Info("Sending an order.", "endpoint", r.deps.Name, "order", order.ID(), "setting", order.Setting, "value", order.Value)
	ctx, cancel := context.WithTimeout(ctx, orders.SendTimeout)
	defer cancel()
	err := r.deps.Endpoint.Send(ctx, order)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.EndSend(r.sendResult(err), r.deps.Clock())
	if errors.Is(err, engine.ErrOrderOutdated) {
		r.outdatedCount++
		r.machine.SetEpoch(0)
	}
}

func (r *Reconciler) sendResult(err error) orders.Result {
	switch {
	case err == nil:
		return orders.Accepted
	case errors.Is(err, engine.ErrOrderRefused):
		r.count("refused")
		log.Error(err, "The endpoint refused an order.", "endpoint", r.deps.Name)
		return orders.Refused
	default:
		r.count("in_doubt")
		log.Error(err, "The result of an order is unknown; no order is sent until the endpoint has been quiet.", "endpoint", r.deps.Name)
		return orders.InDoubt
	}
}

func (r *Reconciler) count(parts ...string) {
	r.deps.Counter.Count(append([]string{"orders"}, parts...)...)
}
