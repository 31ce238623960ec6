// Package queue orders the runs before an endpoint by fair share and refuses
// those whose first token can't be in time. The decisions are core/admit's.
package queue

import (
	"context"
	"sync"
	"time"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/core/admit"
	"flamingospar.org/core/fair"
	"flamingospar.org/core/refusal"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Bounds of what the queue remembers.
const (
	cachedTokens  = 200_000 // Prompt tokens that an engine keeps.
	observedTeams = 4096
	// serviceTokens is what a call of a plain service counts as.
	serviceTokens = 16
)

// Queue is the filter. It is safe for concurrent use.
type Queue struct {
	started time.Time

	mu        sync.Mutex
	gate      *admit.Gate
	prefixes  *admit.Prefixes
	fractions *admit.Fractions
	waiting   map[string]chan *refusal.Refusal // By run id; nil lets the run go.
}

// New returns a queue before an endpoint.
func New(settings admit.GateSettings) *Queue {
	return &Queue{
		started:   time.Now(),
		gate:      admit.NewGate(settings),
		prefixes:  admit.NewPrefixes(cachedTokens),
		fractions: admit.NewFractions(observedTeams),
		waiting:   make(map[string]chan *refusal.Refusal),
	}
}

// Name implements pipeline.Filter.
func (q *Queue) Name() string { return "queue" }

// Admit implements pipeline.Filter. It waits until the run may go, is given up
// or ctx ends.
func (q *Queue) Admit(ctx context.Context, run *pipeline.Run) *refusal.Refusal {
	decided := q.add(run)
	select {
	case refused := <-decided:
		if refused == nil {
			q.watch(run)
		}
		return refused
	case <-ctx.Done():
		q.leave(run.Start.RunId)
		return refusal.New(refusal.DeadlineExceeded, "run %s was still queued at its deadline or was cancelled", run.Start.RunId)
	}
}

func (q *Queue) add(run *pipeline.Run) <-chan *refusal.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	start := run.Start
	decided := make(chan *refusal.Refusal, 1)
	q.waiting[start.RunId] = decided
	if start.ServiceElsewhere != 0 {
		q.gate.Charge(start.Team, start.ServiceElsewhere)
	}
	run.TeamFraction = q.fractions.Observe(q.now(), start.Team, start.EntryInstance)
	q.giveUp(q.gate.Add(q.now(), q.describe(run)))
	q.pump()
	return decided
}

// describe returns what the gate needs to know of a run.
func (q *Queue) describe(run *pipeline.Run) admit.Run {
	start := run.Start
	described := admit.Run{
		ID:           start.RunId,
		Team:         start.Team,
		Weight:       start.Weight,
		Class:        fair.Class(start.Class),
		OutputTokens: float64(start.OutputTokensEstimate),
	}
	if start.Model == "" {
		described.OutputTokens = serviceTokens
		return described
	}
	cached := q.prefixes.Use(start.Prefix, float64(start.PrefixTokens))
	run.CacheExpected = cached > 0
	described.PromptTokens = max(1, float64(start.PromptTokensEstimate)-cached)
	if start.FirstTokenMillis > 0 {
		described.HasDeadline = true
		described.FirstTokenDeadline = q.now() + time.Duration(start.FirstTokenMillis)*time.Millisecond
	}
	return described
}

// watch lets the gate see the run's tokens as they are sent.
func (q *Queue) watch(run *pipeline.Run) {
	send := run.Send
	run.Send = func(event *wirev1.RunEvent) error {
		if chunk := event.GetChunk(); chunk != nil {
			q.tokens(run.Start.RunId, int(chunk.Tokens))
		}
		return send(event)
	}
}

func (q *Queue) tokens(id string, tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.Tokens(q.now(), id, tokens)
	q.pump()
}

// Done implements pipeline.Filter.
func (q *Queue) Done(run *pipeline.Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	start := run.Start
	if start.Model == "" {
		q.gate.Tokens(q.now(), start.RunId, serviceTokens)
	}
	if run.CacheExpected && run.Usage != nil && run.Usage.CachedTokens == 0 {
		q.prefixes.Forget(start.Prefix)
	}
	q.gate.Finish(start.RunId)
	q.pump()
}

// leave takes a run out that no longer waits for its turn. When it was let go
// in the same moment, its place on the endpoint is given back.
func (q *Queue) leave(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
	if !q.gate.Cancel(id) {
		q.gate.Finish(id)
	}
	q.pump()
}

// pump lets runs go while the endpoint has room.
func (q *Queue) pump() {
	for {
		id, ok, refused := q.gate.Next(q.now())
		q.giveUp(refused)
		if !ok {
			return
		}
		q.decide(id, nil)
	}
}

func (q *Queue) giveUp(refused []admit.Refused) {
	for _, r := range refused {
		q.decide(r.ID, refusalOf(r))
	}
}

func (q *Queue) decide(id string, refused *refusal.Refusal) {
	if decided, ok := q.waiting[id]; ok {
		delete(q.waiting, id)
		decided <- refused
	}
}

func refusalOf(r admit.Refused) *refusal.Refusal {
	code := refusal.FirstTokenLate
	switch r.Decision.Reason {
	case admit.OverShare:
		code = refusal.OverShare
	case admit.QueueFull:
		code = refusal.QueueFull
	}
	return refusal.New(code, "run %s was given up in the endpoint's queue", r.ID).WithRetryAfter(r.Decision.RetryAfter)
}

func (q *Queue) now() time.Duration { return time.Since(q.started) }

// Load returns the load of the endpoint as the queue knows it.
func (q *Queue) Load() admit.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.Load()
}
