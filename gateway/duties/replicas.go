package duties

import (
	"maps"
	"sync"
	"time"
)

// maxCopyAge is the maximum age of a copy when it arrives: the call that carries it
// may take that long.
const maxCopyAge = 1 * time.Second

// completeRetention is how long the arrival time of an instance's last complete copy
// is kept. It is longer than a window waits for counts.
const completeRetention = 1 * time.Minute

// Replicas holds copies of other processes' counts, so that the counts of a process
// that dies before writing them are not lost. It is safe for concurrent use.
type Replicas struct {
	mu           sync.Mutex
	counts       map[Window]map[string]map[string]int64 // Requests by window, instance and team.
	lastComplete map[string]time.Time                   // Arrival of the last complete copy, by instance.
}

// NewReplicas returns an empty set of copies.
func NewReplicas() *Replicas {
	return &Replicas{counts: make(map[Window]map[string]map[string]int64), lastComplete: make(map[string]time.Time)}
}

// Set merges the counts of an instance in a window. Counts only increase.
func (r *Replicas) Set(instance string, window Window, counts map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[window] == nil {
		r.counts[window] = make(map[string]map[string]int64)
		r.prune(window - 2*maxPendingWindows)
	}
	current := r.counts[window][instance]
	if current == nil {
		current = make(map[string]int64)
		r.counts[window][instance] = current
	}
	for team, count := range counts {
		current[team] = max(current[team], count)
	}
}

// RecordComplete records that a copy of all counts of an instance arrived at a time.
func (r *Replicas) RecordComplete(instance string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastComplete[instance] = at
	maps.DeleteFunc(r.lastComplete, func(_ string, last time.Time) bool { return at.Sub(last) > completeRetention })
}

// CompleteUntil reports whether the copies include everything that the instances
// counted before a time.
func (r *Replicas) CompleteUntil(instances []string, until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, instance := range instances {
		if r.lastComplete[instance].Before(until.Add(maxCopyAge)) {
			return false
		}
	}
	return true
}

func (r *Replicas) prune(before Window) {
	maps.DeleteFunc(r.counts, func(window Window, _ map[string]map[string]int64) bool { return window < before })
}

// Counts returns the copies of a window by instance.
func (r *Replicas) Counts(window Window) map[string]map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	copies := make(map[string]map[string]int64, len(r.counts[window]))
	for instance, counts := range r.counts[window] {
		copies[instance] = maps.Clone(counts)
	}
	return copies
}
