// Package orders is the agent's duty to order its endpoint. The agent is the
// only process that does so: one order at a time, the next one only after the
// endpoint's state was read, and none after a doubt until the endpoint was quiet.
//
// Two agents of one endpoint never order it at the same time, because the duty
// runs only while the agent listens at its address on the endpoint's VM, which
// no second process can do. An order of an agent that has died may still be on
// its way; the quiet wait at the start is for that one, and the epoch raised in
// the table service for endpoints that check it.
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
	stepEvery   = 250 * time.Millisecond
	lookTimeout = 1 * time.Second
	callTimeout = 2 * time.Second
	raiseEvery  = 2 * time.Second
)

var log = logging.For("agent/orders")

// Gate keeps requests away from the endpoint while it obeys.
type Gate interface {
	Drain(ctx context.Context) error
	Resume()
	AssertDrained()
}

// Endpoint is the endpoint to order.
type Endpoint interface {
	engine.Control
	Load(ctx context.Context) (engine.Load, error)
}

// Counter counts events by name.
type Counter interface {
	Count(parts ...string)
}

// Parts are what the duty works with.
type Parts struct {
	Name     string // Of the endpoint.
	Instance string // Of this process, unique for each start.
	Endpoint Endpoint
	Gate     Gate
	Tables   tables.Service
	Clock    clock.Clock
	Counter  Counter
	// Changed is told of each state that was read.
	Changed func(state orders.State)
}

// Duty orders one endpoint.
type Duty struct {
	parts    Parts
	raisedAt time.Time
	outdated int           // Times that the endpoint had seen a higher epoch.
	drained  chan struct{} // Closed when no admitted run is left; nil: not draining.

	mu      sync.Mutex
	machine *orders.Machine
}

// New returns the duty of an agent that has just started.
func New(parts Parts) *Duty {
	return &Duty{parts: parts, machine: orders.NewMachine()}
}

// Aim sets what the endpoint should have loaded and reports whether the
// decision was taken: one that is not newer than the last has no effect.
func (d *Duty) Aim(target orders.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.SetTarget(target)
}

// Versions sets the version of each model as of a revision of the catalogue.
// The endpoint is not taken away for one before holdOff has passed.
func (d *Duty) Versions(revision int64, versions map[string]string, holdOff time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.SetVersions(revision, versions, d.parts.Clock().Add(holdOff))
}

// State returns the endpoint's last known state, and whether no order and no
// doubt is open.
func (d *Duty) State() (orders.State, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.State(), d.machine.Settled()
}

// Run orders the endpoint until ctx ends. An order in flight is left to the
// next agent, which finds it by the endpoint's state.
func (d *Duty) Run(ctx context.Context) {
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for {
		d.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Duty) step(ctx context.Context) {
	d.noteDrained(ctx)
	now := d.parts.Clock()
	d.mu.Lock()
	step, order := d.machine.Next(now)
	d.mu.Unlock()
	switch step {
	case orders.RaiseEpoch:
		d.raise(ctx, now)
	case orders.Poll:
		d.look(ctx)
	case orders.Drain:
		d.drain(ctx)
	case orders.Send:
		d.send(ctx, order)
	case orders.Resume:
		d.resume()
	case orders.Wait:
	}
}

func (d *Duty) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	asked := d.parts.Clock()
	state, err := d.parts.Endpoint.State(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.machine.PollFailed(asked)
		return
	}
	before := d.machine.State()
	d.machine.PollSucceeded(state, asked)
	if before.Instance != "" && before.Instance != state.Instance {
		d.count("engine_restarted")
		log.Info("The endpoint has restarted.", "endpoint", d.parts.Name, "instance", state.Instance)
	}
	d.parts.Changed(state)
}

func (d *Duty) drain(ctx context.Context) {
	d.mu.Lock()
	d.machine.DrainStarted()
	d.mu.Unlock()
	drained := make(chan struct{})
	d.drained = drained
	go func() {
		if d.parts.Gate.Drain(ctx) == nil {
			close(drained)
		}
	}()
}

// noteDrained tells the machine when neither this agent nor, after a restart,
// the endpoint itself knows of a running request.
func (d *Duty) noteDrained(ctx context.Context) {
	if d.drained == nil {
		return
	}
	select {
	case <-d.drained:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	load, err := d.parts.Endpoint.Load(ctx)
	if err != nil || load.Running+load.Queued > 0 {
		return
	}
	d.drained = nil
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Drained(d.parts.Clock())
}

func (d *Duty) resume() {
	d.parts.Gate.Resume()
	d.drained = nil
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Resumed()
}

func (d *Duty) send(ctx context.Context, order orders.Order) {
	if order.Interrupts() {
		d.parts.Gate.AssertDrained()
	}
	d.mu.Lock()
	invariant.Check(d.machine.Settled(), invariant.OneOrderInFlight, "order %s while another is open", order.ID())
	d.machine.BeginSend(order)
	d.mu.Unlock()
	d.count("sent", string(order.Setting))
	log.Info("An order is given.", "endpoint", d.parts.Name, "order", order.ID(), "setting", order.Setting, "value", order.Value)
	ctx, cancel := context.WithTimeout(ctx, orders.SendTimeout)
	defer cancel()
	err := d.parts.Endpoint.Send(ctx, order)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.EndSend(d.resultOf(err), d.parts.Clock())
	if errors.Is(err, engine.ErrOrderOutdated) {
		d.outdated++
		d.machine.SetEpoch(0)
	}
}

func (d *Duty) resultOf(err error) orders.Result {
	switch {
	case err == nil:
		return orders.Accepted
	case errors.Is(err, engine.ErrOrderRefused):
		d.count("refused")
		log.Error(err, "The endpoint refused an order.", "endpoint", d.parts.Name)
		return orders.Refused
	default:
		d.count("in_doubt")
		log.Error(err, "An order is in doubt; the endpoint is watched until it is quiet.", "endpoint", d.parts.Name)
		return orders.InDoubt
	}
}

func (d *Duty) count(parts ...string) {
	d.parts.Counter.Count(append([]string{"orders"}, parts...)...)
}
