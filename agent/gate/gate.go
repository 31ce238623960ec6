// Package gate decides whether a run may begin on the endpoint: the agent's view
// of the configuration must be fresh, the run's revision not outdated, its key
// not withdrawn, and no order in progress at the endpoint.
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
	// changeAnnounceTime is how long a drain is announced before runs are refused. It
	// is longer than the interval of the entries' status calls.
	changeAnnounceTime = 2500 * time.Millisecond
	staleRetryAfter    = 1 * time.Second // Retry-After while the configuration is stale.
	changingRetryAfter = 3 * time.Second // Retry-After while an order is in progress.
)

// Gate holds the state that decides which runs are admitted. It is safe for
// concurrent use.
type Gate struct {
	endpoint string
	instance string
	clock    clock.Clock
	started  time.Time

	mu        sync.Mutex
	tracker   *config.Tracker
	announced bool // A drain is announced to entries; runs are still admitted.
	changing  bool
	active    int           // Runs that have left the queue.
	idle      chan struct{} // Closed when active falls to zero while changing.
}

// New returns the gate of endpoint in the agent process instance.
func New(endpoint, instance string, c clock.Clock) *Gate {
	return &Gate{endpoint: endpoint, instance: instance, clock: c, started: c(), tracker: config.NewTracker()}
}

// Instance returns the id of the agent process.
func (g *Gate) Instance() string { return g.instance }

// ApplyUpdate applies an entry's update of the configuration.
func (g *Gate) ApplyUpdate(update *wirev1.ConfigNews) {
	if update == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	revision := config.Revision(update.Revision)
	g.tracker.Update(revision, update.WithdrawnKeys, update.Complete, g.clock())
	if update.Proved && update.AgentInstance == g.instance {
		after := time.Duration(update.Mark) + time.Duration(update.EvidenceAfterMarkNanos)
		g.tracker.RecordEvidence(g.started.Add(after))
	}
}

// Mark returns the time since the start on the agent's clock. Entries return it
// with their next update, which dates the evidence in the update by this clock.
func (g *Gate) Mark() int64 { return int64(g.clock().Sub(g.started)) }

// Revision returns the revision up to which the agent knows all withdrawn keys.
func (g *Gate) Revision() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(g.tracker.Synced())
}

// Stale reports whether runs are refused because the configuration is stale.
func (g *Gate) Stale() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.tracker.Fresh(g.clock())
}

// Changing reports whether runs are refused, or soon will be, because of an order.
func (g *Gate) Changing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.announced || g.changing
}

// Arrival is the pipeline filter before the queue.
type Arrival struct{ gate *Gate }

// Arrival returns the filter before the queue.
func (g *Gate) Arrival() *Arrival { return &Arrival{gate: g} }

func (a *Arrival) Name() string { return "arrival" }

func (a *Arrival) Done(*pipeline.Run) {}

// Admit implements pipeline.Filter. It refuses runs for another endpoint, runs
// that fail the configuration check, and all runs while an order is in progress.
func (a *Arrival) Admit(_ context.Context, run *pipeline.Run) *refusal.Refusal {
	start := run.Start
	if start.Endpoint != "" && start.Endpoint != a.gate.endpoint {
		return refusal.New(refusal.WrongEndpoint, "this is endpoint %s, not %s", a.gate.endpoint, start.Endpoint)
	}
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	now := a.gate.clock()
	revision := config.Revision(start.Revision)
	a.gate.tracker.ObserveRevision(revision, now)
	if refused := newRefusal(a.gate.tracker.Check(revision, start.KeyId, now), start); refused != nil {
		return refused
	}
	if a.gate.changing {
		return changingRefusal()
	}
	return nil
}

func newRefusal(decision config.Decision, start *wirev1.RunStart) *refusal.Refusal {
	switch decision {
	case config.DecisionStale:
		return refusal.New(refusal.ConfigStale, "the agent has no recent evidence of the current revision").WithRetryAfter(staleRetryAfter)
	case config.DecisionSuperseded:
		return refusal.New(refusal.ConfigStale, "revision %d of the run is outdated", start.Revision).WithRetryAfter(staleRetryAfter)
	case config.DecisionKeyWithdrawn:
		return refusal.New(refusal.KeyUnknown, "key %s was withdrawn", start.KeyId)
	}
	return nil
}

func changingRefusal() *refusal.Refusal {
	return refusal.New(refusal.EndpointChanging, "an order is in progress at the endpoint").WithRetryAfter(changingRetryAfter)
}

// Departure is the pipeline filter after the queue. It counts active runs.
type Departure struct{ gate *Gate }

// Departure returns the filter after the queue.
func (g *Gate) Departure() *Departure { return &Departure{gate: g} }

func (d *Departure) Name() string { return "departure" }

// Admit implements pipeline.Filter. A run whose key was withdrawn while it was
// queued has not begun and is refused.
func (d *Departure) Admit(_ context.Context, run *pipeline.Run) *refusal.Refusal {
	g := d.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tracker.Withdrawn(run.Start.KeyId) {
		return newRefusal(config.DecisionKeyWithdrawn, run.Start)
	}
	if g.changing {
		return changingRefusal()
	}
	g.active++
	return nil
}

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

// Drain announces that the endpoint will be unavailable, refuses new runs after
// changeAnnounceTime, and returns when the active runs have ended or ctx ends. Runs
// stay refused until Resume.
func (g *Gate) Drain(ctx context.Context) error {
	g.announce()
	announceTimer := time.NewTimer(changeAnnounceTime)
	defer announceTimer.Stop()
	select {
	case <-announceTimer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	idle := g.stopAdmission()
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
	g.announced = true
}

func (g *Gate) stopAdmission() <-chan struct{} {
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

// Resume ends a drain: runs are admitted again.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announced = false
	g.changing = false
}
