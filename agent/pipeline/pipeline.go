// Package pipeline passes runs through the agent's filters to the executor. A
// filter either admits a run or refuses it; a refused run never began.
package pipeline

import (
	"context"
	"sync/atomic"
	"time"

	"flamingospar.org/base/invariant"
	"flamingospar.org/core/refusal"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Run is one run on the agent's endpoint.
type Run struct {
	Start     *wirev1.RunStart
	ArrivedAt time.Time
	Deadline  time.Time
	// Send delivers an event to the entry. It may block on a slow receiver and
	// is called by one goroutine at a time.
	Send func(*wirev1.RunEvent) error
	// Began is set when the endpoint may have begun the run.
	Began bool
	// Usage is what the endpoint reported, set by the executor.
	Usage *wirev1.Usage
	// PassedOn is the number of output tokens forwarded to the entry.
	PassedOn int64
	// Finished is the executor's result; nil until the executor returns.
	Finished *wirev1.Finished
	// TeamFraction is the fraction of the team's recent runs that came through
	// the run's entry, set by the queue.
	TeamFraction float64
	// CacheExpected is set by the queue when it expects the prompt's prefix in the
	// engine's cache.
	CacheExpected bool

	state atomic.Int32
}

// States of a run. A queued run either leaves the queue or is withdrawn.
const (
	stateQueued int32 = iota
	stateLeftQueue
	stateWithdrawn
)

// Withdraw withdraws a run that has not left the queue and reports whether it
// did. If so, the caller must cancel the run's context.
func (r *Run) Withdraw() bool { return r.state.CompareAndSwap(stateQueued, stateWithdrawn) }

// leaveQueue marks the run as having left the queue. It returns false if the run
// was withdrawn.
func (r *Run) leaveQueue() bool { return r.state.CompareAndSwap(stateQueued, stateLeftQueue) }

// Filter is one admission step before the executor.
type Filter interface {
	// Name is used in the names of counters.
	Name() string
	// Admit returns nil to admit the run.
	Admit(ctx context.Context, run *Run) *refusal.Refusal
	// Done is called, in reverse order, for each filter that admitted the run.
	Done(run *Run)
}

// Executor runs an admitted run on the endpoint.
type Executor interface {
	Execute(ctx context.Context, run *Run) *wirev1.Finished
}

// Counter counts events by name.
type Counter interface {
	Count(parts ...string)
}

// Observer is notified of the result of each run. Exactly one of finished and
// refused is not nil.
type Observer interface {
	Observe(run *Run, finished *wirev1.Finished, refused *refusal.Refusal)
}

// Chain is the agent's pipeline: filters in order, then the executor.
type Chain struct {
	observer Observer // May be nil.
	filters  []Filter
	executor Executor
	counter  Counter
}

// New returns a chain of filters, in order, that ends at executor.
func New(counter Counter, executor Executor, filters ...Filter) *Chain {
	return &Chain{filters: filters, executor: executor, counter: counter}
}

// Names returns the filters' names in order.
func (c *Chain) Names() []string {
	names := make([]string, 0, len(c.filters))
	for _, filter := range c.filters {
		names = append(names, filter.Name())
	}
	return names
}

// SetObserver sets the observer. It must be called before the first run.
func (c *Chain) SetObserver(observer Observer) { c.observer = observer }

func (c *Chain) observe(run *Run, finished *wirev1.Finished, refused *refusal.Refusal) {
	if c.observer != nil {
		c.observer.Observe(run, finished, refused)
	}
}

// Handle passes the run through the chain. Exactly one result is not nil.
func (c *Chain) Handle(ctx context.Context, run *Run) (*wirev1.Finished, *refusal.Refusal) {
	for i, filter := range c.filters {
		if refused := filter.Admit(ctx, run); refused != nil {
			refused = run.refusalReason(refused)
			c.counter.Count("refused", string(refused.Code))
			c.notifyDone(run, i)
			c.observe(run, nil, refused)
			return nil, refused
		}
		c.counter.Count("filter", filter.Name())
	}
	if !run.leaveQueue() {
		refused := run.refusalReason(nil)
		c.counter.Count("refused", string(refused.Code))
		c.notifyDone(run, len(c.filters))
		return nil, refused
	}
	finished := c.executor.Execute(ctx, run)
	consistent := finished.Outcome != wirev1.Outcome_OUTCOME_NOT_RUN || !run.Began
	invariant.Check(consistent, invariant.NotRunMeansNotRun, "run %s began and ended as not run", run.Start.RunId)
	run.Finished = finished
	c.counter.Count("finished", finished.Outcome.String())
	c.notifyDone(run, len(c.filters))
	c.observe(run, finished, nil)
	return finished, nil
}

// refusalReason returns the refusal to report. A withdrawn run is reported as
// draining, whatever refusal its filter returned.
func (r *Run) refusalReason(refused *refusal.Refusal) *refusal.Refusal {
	if r.state.Load() != stateWithdrawn {
		return refused
	}
	return refusal.New(refusal.Draining, "run %s was queued at an endpoint that is draining", r.Start.RunId)
}

func (c *Chain) notifyDone(run *Run, admitted int) {
	for i := admitted - 1; i >= 0; i-- {
		c.filters[i].Done(run)
	}
}
