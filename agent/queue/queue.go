// Package queue bounds how many runs an endpoint has at once and how many wait.
package queue

import (
	"context"
	"sync/atomic"
	"time"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/core/refusal"
)

// retryAfterFull is what a refused caller is told.
const retryAfterFull = 1 * time.Second

// Queue is the filter. Runs wait in the order of arrival.
type Queue struct {
	slots   chan struct{}
	limit   int64 // Waiting runs.
	waiting atomic.Int64
}

// New returns a queue before an endpoint that takes running runs at once.
func New(running, waiting int) *Queue {
	return &Queue{slots: make(chan struct{}, running), limit: int64(waiting)}
}

// Name implements pipeline.Filter.
func (q *Queue) Name() string { return "queue" }

// Admit implements pipeline.Filter. It waits for a slot until the deadline.
func (q *Queue) Admit(ctx context.Context, run *pipeline.Run) *refusal.Refusal {
	if q.waiting.Add(1) > q.limit {
		q.waiting.Add(-1)
		return refusal.New(refusal.QueueFull, "%d runs wait at the endpoint", q.limit).After(retryAfterFull)
	}
	defer q.waiting.Add(-1)
	select {
	case q.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return refusal.New(refusal.DeadlineExceeded, "run %s was still queued at its deadline or was cancelled", run.Start.RunId)
	}
}

// Done implements pipeline.Filter.
func (q *Queue) Done(*pipeline.Run) { <-q.slots }

// Counts returns the numbers of running and waiting runs.
func (q *Queue) Counts() (running, waiting int) {
	return len(q.slots), int(q.waiting.Load())
}
