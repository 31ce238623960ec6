// Package dedup refuses duplicate runs and runs that arrive after their
// deadline. A run id is kept until the run's deadline, which bounds the memory
// used.
package dedup

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/core/refusal"
)

// Filter is the pipeline filter. It is safe for concurrent use.
type Filter struct {
	mu     sync.Mutex
	seen   map[string]struct{}
	expiry expiryHeap
}

// New returns a filter that has seen no runs.
func New() *Filter {
	return &Filter{seen: make(map[string]struct{})}
}

// Name implements pipeline.Filter. The metric names use "ledger".
func (f *Filter) Name() string { return "ledger" }

func (f *Filter) Admit(_ context.Context, run *pipeline.Run) *refusal.Refusal {
	now := time.Now()
	if !now.Before(run.Deadline) {
		return refusal.New(refusal.RunExpired, "run %s arrived after its deadline", run.Start.RunId)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropExpired(now)
	if _, duplicate := f.seen[run.Start.RunId]; duplicate {
		return refusal.New(refusal.RunDuplicate, "run %s was seen before", run.Start.RunId)
	}
	f.seen[run.Start.RunId] = struct{}{}
	heap.Push(&f.expiry, expiringID{id: run.Start.RunId, at: run.Deadline})
	return nil
}

// Done implements pipeline.Filter. Ids stay until they expire.
func (f *Filter) Done(*pipeline.Run) {}

func (f *Filter) dropExpired(now time.Time) {
	for len(f.expiry) > 0 && !now.Before(f.expiry[0].at) {
		delete(f.seen, heap.Pop(&f.expiry).(expiringID).id)
	}
}

type expiringID struct {
	id string
	at time.Time
}

type expiryHeap []expiringID

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(item any)     { *h = append(*h, item.(expiringID)) }
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
