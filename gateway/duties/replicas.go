package duties

import (
	"maps"
	"sync"
	"time"
)

// maxCopyAge is how old a copy may be when it arrives: the call that carries it
// may take that long.
const maxCopyAge = 1 * time.Second

// forgetHeard is how long it is kept when an instance was heard of: longer than
// a window is waited for.
const forgetHeard = 1 * time.Minute

// Replicas holds copies of other processes' counts, so that those of a process
// that died before it wrote them are not lost. It is safe for concurrent use.
type Replicas struct {
	mu     sync.Mutex
	counts map[Window]map[string]map[string]int64 // By window and instance: requests by team.
	heard  map[string]time.Time                   // By instance: when its last whole copy came.
}

// NewReplicas returns an empty set of copies.
func NewReplicas() *Replicas {
	return &Replicas{counts: make(map[Window]map[string]map[string]int64), heard: make(map[string]time.Time)}
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

// Heard notes that all counts of an instance were copied at a time.
func (r *Replicas) Heard(instance string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[instance] = at
	maps.DeleteFunc(r.heard, func(_ string, last time.Time) bool { return at.Sub(last) > forgetHeard })
}

// Whole reports whether there is a copy of all that each of some instances
// counted until a time.
func (r *Replicas) Whole(instances []string, until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, instance := range instances {
		if r.heard[instance].Before(until.Add(maxCopyAge)) {
			return false
		}
	}
	return true
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
