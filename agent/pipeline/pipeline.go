// Package pipeline carries one run through the agent's filters. Each filter
// either admits the run or refuses it with proof that it never began.
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
	Start    *wirev1.RunStart
	Arrived  time.Time
	Deadline time.Time
	// Send delivers an event to the entry. It may block on a slow receiver and
	// is called by one goroutine at a time.
	Send func(*wirev1.RunEvent) error
	// Began is set when the endpoint may have begun the run.
	Began bool
	// Usage is what the endpoint reported, set by the executor.
	Usage *wirev1.Usage
	// PassedOn is the number of output tokens sent to the entry.
	PassedOn int64
	// Finished is the executor's result; nil while the run has none.
	Finished *wirev1.Finished
	// TeamFraction is the part of the team's runs that came through the run's
	// entry lately, set by the queue.
	TeamFraction float64
	// CacheExpected is set by the queue when it took the prompt's prefix for cached.
	CacheExpected bool

	state atomic.Int32
}

// States of a run: it leaves the queue for the endpoint, or is withdrawn.
const (
	stateQueued int32 = iota
	stateLeftQueue
	stateWithdrawn
)

// Withdraw takes a run back that has not left the queue and reports whether it
// did. The run's context is then to be cancelled.
func (r *Run) Withdraw() bool { return r.state.CompareAndSwap(stateQueued, stateWithdrawn) }

// leaveQueue reports whether the run may go on to the endpoint.
func (r *Run) leaveQueue() bool { return r.state.CompareAndSwap(stateQueued, stateLeftQueue) }

// Filter is one step before the endpoint.
type Filter interface {
	// Name appears in counters and explanations.
	Name() string
	// Admit returns nil to pass the run on.
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

// Observer sees how each run ended. Exactly one result is not nil.
type Observer interface {
	Observe(run *Run, finished *wirev1.Finished, refused *refusal.Refusal)
}

// Chain is the agent's whole pipeline.
type Chain struct {
	observer Observer // May be nil.
	filters  []Filter
	executor Executor
	counter  Counter
}

// New returns the chain of filters in order, ending at executor.
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

// SetObserver sets who sees the end of runs, before the first run.
func (c *Chain) SetObserver(observer Observer) { c.observer = observer }

func (c *Chain) observe(run *Run, finished *wirev1.Finished, refused *refusal.Refusal) {
	if c.observer != nil {
		c.observer.Observe(run, finished, refused)
	}
}

// Handle takes the run through the chain. Exactly one result is not nil.
func (c *Chain) Handle(ctx context.Context, run *Run) (*wirev1.Finished, *refusal.Refusal) {
	for i, filter := range c.filters {
		if refused := filter.Admit(ctx, run); refused != nil {
			refused = run.reasonOf(refused)
			c.counter.Count("refused", string(refused.Code))
			c.done(run, i)
			c.observe(run, nil, refused)
			return nil, refused
		}
		c.counter.Count("filter", filter.Name())
	}
	if !run.leaveQueue() {
		refused := run.reasonOf(nil)
		c.counter.Count("refused", string(refused.Code))
		c.done(run, len(c.filters))
		return nil, refused
	}
	finished := c.executor.Execute(ctx, run)
	proven := finished.Outcome != wirev1.Outcome_OUTCOME_NOT_RUN || !run.Began
	invariant.Check(proven, invariant.NotRunMeansNotRun, "run %s began and ended as not run", run.Start.RunId)
	run.Finished = finished
	c.counter.Count("finished", finished.Outcome.String())
	c.done(run, len(c.filters))
	c.observe(run, finished, nil)
	return finished, nil
}

// reasonOf returns why a run was refused: a withdrawn one for its withdrawal,
// whatever the filter that gave it up says.
func (r *Run) reasonOf(refused *refusal.Refusal) *refusal.Refusal {
	if r.state.Load() != stateWithdrawn {
		return refused
	}
	return refusal.New(refusal.Draining, "run %s was queued at an endpoint that is leaving", r.Start.RunId)
}

func (c *Chain) done(run *Run, admitted int) {
	for i := admitted - 1; i >= 0; i-- {
		c.filters[i].Done(run)
	}
}
