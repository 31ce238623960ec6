// Package ranking keeps the order in which processes share out something that holds for the
// whole fleet, such as the rate limit of an endpoint or the quota of a team: the first one
// in place of all, each further one in place of those before it.
package ranking

import (
	"slices"
	"time"
)

const (
	// maxRanked is the number of VMs in a ranking.
	maxRanked = 8
	// maxAsked is the number of processes that are asked in turn while none is found that
	// answers.
	maxAsked = 4
)

// Times for the users of a ranking.
const (
	// CallTimeout bounds a call to a process that shares something out. The call goes on when
	// no request waits for it any more: a process that is slow for a moment has granted all the
	// same.
	CallTimeout = 600 * time.Millisecond
	// UnreachableBackoff is how long a process is not asked again after it did not answer.
	UnreachableBackoff = 1 * time.Second
	// UpdateInterval is the time between two checks of who shares out what.
	UpdateInterval = 100 * time.Millisecond
)

// Fleet is the list of entry processes.
type Fleet interface {
	// Rank returns the first n VMs in the order of their rank for key, which is the same
	// for all processes with the same list.
	Rank(key string, n int) []string
	// Generation changes whenever the list changes.
	Generation() uint64
	// SilentFor returns how long a VM has been silent, and 0 if this process does not
	// exchange states with it.
	SilentFor(vm string) time.Duration
}

// Ranking is the order of VMs for one key. The zero Ranking is empty until Update is called.
// It is not safe for concurrent use.
type Ranking struct {
	VMs        []string
	generation uint64               // Of the list of VMs that was ranked.
	skipUntil  map[string]time.Time // Processes that are not asked, by VM; nil without one.
}

// Update ranks the VMs again if their list has changed.
func (r *Ranking) Update(fleet Fleet, key string) {
	if generation := fleet.Generation(); r.VMs == nil || r.generation != generation {
		r.VMs, r.generation = fleet.Rank(key, maxRanked), generation
	}
}

// Before returns the VMs that rank before one, and false if that one isn't among the first.
func (r *Ranking) Before(vm string) ([]string, bool) {
	rank := slices.Index(r.VMs, vm)
	if rank < 0 {
		return nil, false
	}
	return r.VMs[:rank], true
}

// Silences returns for how long each process that ranks before vm has been silent, and false
// if vm isn't among the first.
func (r *Ranking) Silences(fleet Fleet, vm string) ([]time.Duration, bool) {
	before, ok := r.Before(vm)
	silences := make([]time.Duration, 0, len(before))
	for _, other := range before {
		silences = append(silences, fleet.SilentFor(other))
	}
	return silences, ok
}

// ToAsk returns the VM to ask: the first that ranks before self and is not skipped, or "".
func (r *Ranking) ToAsk(now time.Time, self string) string {
	for _, vm := range r.VMs[:min(maxAsked, len(r.VMs))] {
		if vm == self {
			break
		}
		if !now.Before(r.skipUntil[vm]) {
			return vm
		}
	}
	return ""
}

// Skip makes ToAsk pass over a VM until a time.
func (r *Ranking) Skip(vm string, until time.Time) {
	if r.skipUntil == nil {
		r.skipUntil = make(map[string]time.Time)
	}
	r.skipUntil[vm] = until
}
