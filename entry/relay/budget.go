package relay

import (
	"sync"

	"flamingospar.org/core/retry"
)

// budget is the entry's retry budget, safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	bucket *retry.Budget
}

func newBudget() *budget { return &budget{bucket: retry.NewBudget()} }

func (b *budget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.AddRequest()
}

func (b *budget) take(kind retry.Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.Take(kind)
}
