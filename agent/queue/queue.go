// Package queue holds the runs that wait for an endpoint, orders them by fair
// share and refuses those whose first token would be late. core/admit makes the
// decisions.
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

// Limits of the queue's state.
const (
	maxCachedTokens  = 200_000 // Prompt tokens in an engine's prefix cache.
	maxObservedTeams = 4096
	// serviceCallTokens is the number of output tokens that a call to a plain
	// service counts as.
	serviceCallTokens = 16
)

// Queue is the pipeline filter. It is safe for concurrent use.
type Queue struct {
	started time.Time

	mu        sync.Mutex
	gate      *admit.Gate
	prefixes  *admit.Prefixes
	fractions *admit.Fractions
	waiters   map[string]chan *refusal.Refusal // By run id; nil admits the run.
}

// New returns an empty queue.
func New(settings admit.GateSettings) *Queue {
	return &Queue{
		started:   time.Now(),
		gate:      admit.NewGate(settings),
		prefixes:  admit.NewPrefixes(maxCachedTokens),
		fractions: admit.NewFractions(maxObservedTeams),
		waiters:   make(map[string]chan *refusal.Refusal),
	}
}

func (q *Queue) Name() string { return "queue" }

// Admit implements pipeline.Filter. It blocks until the run is admitted or
// refused, or ctx ends.
func (q *Queue) Admit(ctx context.Context, run *pipeline.Run) *refusal.Refusal {
	result := q.enqueue(run)
	select {
	case refused := <-result:
		if refused == nil {
			q.countTokens(run)
		}
		return refused
	case <-ctx.Done():
		q.remove(run.Start.RunId)
		return refusal.New(refusal.DeadlineExceeded, "run %s was still queued at its deadline or was cancelled", run.Start.RunId)
	}
}

func (q *Queue) enqueue(run *pipeline.Run) <-chan *refusal.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	start := run.Start
	result := make(chan *refusal.Refusal, 1)
	q.waiters[start.RunId] = result
	if start.ServiceElsewhere != 0 {
		q.gate.Charge(start.Team, start.ServiceElsewhere)
	}
	run.TeamFraction = q.fractions.Observe(q.now(), start.Team, start.EntryInstance)
	q.refuseAll(q.gate.Add(q.now(), q.describe(run)))
	q.dispatch()
	return result
}

// describe converts a run for the admission gate. It discounts prompt tokens
// that are expected in the prefix cache.
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
		described.OutputTokens = serviceCallTokens
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

// countTokens wraps run.Send to report sent tokens to the gate.
func (q *Queue) countTokens(run *pipeline.Run) {
	send := run.Send
	run.Send = func(event *wirev1.RunEvent) error {
		if chunk := event.GetChunk(); chunk != nil {
			q.addTokens(run.Start.RunId, int(chunk.Tokens))
		}
		return send(event)
	}
}

func (q *Queue) addTokens(id string, tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.Tokens(q.now(), id, tokens)
	q.dispatch()
}

// Done implements pipeline.Filter. It releases the run's slot, and removes the
// run's prefix from the expected cache if the engine reported no cached tokens.
func (q *Queue) Done(run *pipeline.Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	start := run.Start
	if start.Model == "" {
		q.gate.Tokens(q.now(), start.RunId, serviceCallTokens)
	}
	if run.CacheExpected && run.Usage != nil && run.Usage.CachedTokens == 0 {
		q.prefixes.Forget(start.Prefix)
	}
	q.gate.Finish(start.RunId)
	q.dispatch()
}

// remove cancels a queued run. If the run was admitted at the same moment,
// remove releases its slot on the endpoint.
func (q *Queue) remove(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, id)
	if !q.gate.Cancel(id) {
		q.gate.Finish(id)
	}
	q.dispatch()
}

// dispatch admits runs while the endpoint has capacity.
func (q *Queue) dispatch() {
	for {
		id, ok, refused := q.gate.Next(q.now())
		q.refuseAll(refused)
		if !ok {
			return
		}
		q.resolve(id, nil)
	}
}

func (q *Queue) refuseAll(refused []admit.Refused) {
	for _, r := range refused {
		q.resolve(r.ID, newRefusal(r))
	}
}

func (q *Queue) resolve(id string, refused *refusal.Refusal) {
	if result, ok := q.waiters[id]; ok {
		delete(q.waiters, id)
		result <- refused
	}
}

func newRefusal(r admit.Refused) *refusal.Refusal {
	code := refusal.FirstTokenLate
	switch r.Decision.Reason {
	case admit.OverShare:
		code = refusal.OverShare
	case admit.QueueFull:
		code = refusal.QueueFull
	}
	return refusal.New(code, "run %s was refused in the endpoint's queue", r.ID).WithRetryAfter(r.Decision.RetryAfter)
}

func (q *Queue) now() time.Duration { return time.Since(q.started) }

// Load returns the endpoint's load as known to the queue.
func (q *Queue) Load() admit.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.Load()
}
