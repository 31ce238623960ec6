package duties

import (
	"maps"
	"sync"
)

// Replicas holds copies of other processes' counts, so that those of a process
// that died before it wrote them are not lost. It is safe for concurrent use.
type Replicas struct {
	mu     sync.Mutex
	counts map[Window]map[string]map[string]int64 // By window and instance: requests by team.
}

// NewReplicas returns an empty set of copies.
func NewReplicas() *Replicas {
	return &Replicas{counts: make(map[Window]map[string]map[string]int64)}
}

// Set takes the counts of an instance in a window, which only rise.
func (r *Replicas) Set(instance string, window Window, began map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[window] == nil {
		r.counts[window] = make(map[string]map[string]int64)
		r.forget(window - 2*maxBehind)
	}
	known := r.counts[window][instance]
	if known == nil {
		known = make(map[string]int64)
		r.counts[window][instance] = known
	}
	for team, count := range began {
		known[team] = max(known[team], count)
	}
}

func (r *Replicas) forget(before Window) {
	maps.DeleteFunc(r.counts, func(window Window, _ map[string]map[string]int64) bool { return window < before })
}

// Of returns the copies of a window by instance.
func (r *Replicas) Of(window Window) map[string]map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	copies := make(map[string]map[string]int64, len(r.counts[window]))
	for instance, began := range r.counts[window] {
		copies[instance] = maps.Clone(began)
	}
	return copies
}
