// Package ledger refuses runs that were seen before or came after their
// deadline. A run id is remembered until its deadline, so that memory is
// bounded by the runs in flight.
package ledger

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/core/refusal"
)

// Ledger is the filter.
type Ledger struct {
	mu     sync.Mutex
	seen   map[string]struct{}
	expiry expiryHeap
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{seen: make(map[string]struct{})}
}

// Name implements pipeline.Filter.
func (l *Ledger) Name() string { return "ledger" }

// Admit implements pipeline.Filter.
func (l *Ledger) Admit(_ context.Context, run *pipeline.Run) *refusal.Refusal {
	now := time.Now()
	if !now.Before(run.Deadline) {
		return refusal.New(refusal.RunExpired, "run %s arrived after its deadline", run.Start.RunId)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	if _, duplicate := l.seen[run.Start.RunId]; duplicate {
		return refusal.New(refusal.RunDuplicate, "run %s was seen before", run.Start.RunId)
	}
	l.seen[run.Start.RunId] = struct{}{}
	heap.Push(&l.expiry, expiring{id: run.Start.RunId, at: run.Deadline})
	return nil
}

// Done implements pipeline.Filter.
func (l *Ledger) Done(*pipeline.Run) {}

func (l *Ledger) forget(now time.Time) {
	for len(l.expiry) > 0 && !now.Before(l.expiry[0].at) {
		delete(l.seen, heap.Pop(&l.expiry).(expiring).id)
	}
}

type expiring struct {
	id string
	at time.Time
}

type expiryHeap []expiring

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(item any)     { *h = append(*h, item.(expiring)) }
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
