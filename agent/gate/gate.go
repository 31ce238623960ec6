// Package gate decides, at the agent, whether a run may begin: the agent's
// knowledge of the configuration must be fresh, the run's revision not
// outdated, its key not withdrawn, and no order under way at the endpoint.
package gate

import (
	"context"
	"sync"
	"time"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/base/clock"
	"flamingospar.org/base/invariant"
	"flamingospar.org/core/config"
	"flamingospar.org/core/refusal"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	// announceFor is longer than the interval of entries' status calls.
	announceFor   = 2500 * time.Millisecond
	staleAfter    = 1 * time.Second // Retry-After of a stale agent.
	changingAfter = 3 * time.Second // Retry-After while an order is under way.
)

// Gate holds what the agent may admit. It is safe for concurrent use.
type Gate struct {
	endpoint string
	instance string
	clock    clock.Clock
	started  time.Time

	mu       sync.Mutex
	watch    *config.Tracker
	leaving  bool // Announced to entries; runs are still admitted.
	changing bool
	active   int           // Runs past the queue.
	idle     chan struct{} // Closed when active falls to zero while changing.
}

// New returns the gate of the agent process instance beside endpoint.
func New(endpoint, instance string, c clock.Clock) *Gate {
	return &Gate{endpoint: endpoint, instance: instance, clock: c, started: c(), watch: config.NewTracker()}
}

// Instance names the agent's process.
func (g *Gate) Instance() string { return g.instance }

// Hear takes an entry's news of the configuration.
func (g *Gate) Hear(news *wirev1.ConfigNews) {
	if news == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	revision := config.Revision(news.Revision)
	g.watch.Update(revision, news.WithdrawnKeys, news.Complete, g.clock())
	if news.Proved && news.AgentInstance == g.instance {
		after := time.Duration(news.Mark) + time.Duration(news.EvidenceAfterMarkNanos)
		g.watch.RecordEvidence(g.started.Add(after))
	}
}

// Mark returns the time on the agent's clock that an entry returns with its
// next news.
func (g *Gate) Mark() int64 { return int64(g.clock().Sub(g.started)) }

// Revision returns the revision up to which this agent knows all withdrawals.
func (g *Gate) Revision() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(g.watch.Synced())
}

// Stale reports whether runs are refused for want of a current revision.
func (g *Gate) Stale() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.watch.Fresh(g.clock())
}

// Changing reports whether an order keeps runs out, or soon will.
func (g *Gate) Changing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving || g.changing
}

// Arrival is the filter before the queue.
type Arrival struct{ gate *Gate }

// Arrival returns the filter before the queue.
func (g *Gate) Arrival() *Arrival { return &Arrival{gate: g} }

// Name implements pipeline.Filter.
func (a *Arrival) Name() string { return "arrival" }

// Done implements pipeline.Filter.
func (a *Arrival) Done(*pipeline.Run) {}

// Admit implements pipeline.Filter.
func (a *Arrival) Admit(_ context.Context, run *pipeline.Run) *refusal.Refusal {
	start := run.Start
	if start.Endpoint != "" && start.Endpoint != a.gate.endpoint {
		return refusal.New(refusal.WrongEndpoint, "this is endpoint %s, not %s", a.gate.endpoint, start.Endpoint)
	}
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	now := a.gate.clock()
	revision := config.Revision(start.Revision)
	a.gate.watch.ObserveRevision(revision, now)
	if refused := refusalOf(a.gate.watch.Check(revision, start.KeyId, now), start); refused != nil {
		return refused
	}
	if a.gate.changing {
		return changing()
	}
	return nil
}

func refusalOf(verdict config.Decision, start *wirev1.RunStart) *refusal.Refusal {
	switch verdict {
	case config.DecisionStale:
		return refusal.New(refusal.ConfigStale, "the agent has heard of no current revision lately").WithRetryAfter(staleAfter)
	case config.DecisionSuperseded:
		return refusal.New(refusal.ConfigStale, "revision %d of the run is outdated", start.Revision).WithRetryAfter(staleAfter)
	case config.DecisionKeyWithdrawn:
		return refusal.New(refusal.KeyUnknown, "key %s was withdrawn", start.KeyId)
	}
	return nil
}

func changing() *refusal.Refusal {
	return refusal.New(refusal.EndpointChanging, "an order is under way at the endpoint").WithRetryAfter(changingAfter)
}

// Departure is the filter behind the queue.
type Departure struct{ gate *Gate }

// Departure returns the filter behind the queue.
func (g *Gate) Departure() *Departure { return &Departure{gate: g} }

// Name implements pipeline.Filter.
func (d *Departure) Name() string { return "departure" }

// Admit implements pipeline.Filter. A run whose key was withdrawn while it was
// queued has not begun and is refused.
func (d *Departure) Admit(_ context.Context, run *pipeline.Run) *refusal.Refusal {
	g := d.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watch.Withdrawn(run.Start.KeyId) {
		return refusalOf(config.DecisionKeyWithdrawn, run.Start)
	}
	if g.changing {
		return changing()
	}
	g.active++
	return nil
}

// Done implements pipeline.Filter.
func (d *Departure) Done(*pipeline.Run) {
	g := d.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.active == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Drain announces that the endpoint will be away, keeps new runs out a little
// later, and returns when the running ones have ended, or when ctx ends. It
// leaves the gate as it is then; Resume opens it.
func (g *Gate) Drain(ctx context.Context) error {
	g.announce()
	announced := time.NewTimer(announceFor)
	defer announced.Stop()
	select {
	case <-announced.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	idle := g.shut()
	if idle == nil {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gate) announce() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

func (g *Gate) shut() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.changing = true
	if g.active == 0 {
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}

// AssertDrained checks that no run is on the endpoint.
func (g *Gate) AssertDrained() {
	g.mu.Lock()
	defer g.mu.Unlock()
	invariant.Check(g.changing && g.active == 0, invariant.OrderOnlyWhenDrained, "an order was sent with %d runs active", g.active)
}

// Resume admits runs again.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = false
	g.changing = false
}
