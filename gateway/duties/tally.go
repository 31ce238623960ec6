// Package duties holds what the fleet's VMs owe the operator: the usage of each
// window, reported once by the holder of a lease.
//
// Each process counts what began to run and writes its counts of a window once
// the window has closed. The lease's holder adds them up in a transaction that
// also checks its lease, and reports only what it finds sealed. So two reports
// of a window can't differ, whoever sends them.
package duties

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Window is the number of a usage window since the start of 1970.
type Window int64

// windowAt returns the window of a time.
func windowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixMilli() / max(length.Milliseconds(), 1))
}

// endOf returns when a window ends.
func (w Window) endOf(length time.Duration) time.Time {
	return time.UnixMilli((int64(w) + 1) * length.Milliseconds())
}

// Tally counts the requests by team that began in each window. It is safe for
// concurrent use.
type Tally struct {
	clock  func() (time.Time, bool)
	length time.Duration

	mu     sync.Mutex
	counts map[Window]map[string]int64
	closed map[Window]map[string]int64 // Those not known to be written, and the last.
}

// NewTally returns a tally of windows of a length.
func NewTally(clock func() (time.Time, bool), length time.Duration) *Tally {
	return &Tally{clock: clock, length: length, counts: make(map[Window]map[string]int64), closed: make(map[Window]map[string]int64)}
}

// Began counts a request of a team that begins to run now.
func (t *Tally) Began(team string) {
	if team == "" {
		return
	}
	now, _ := t.clock()
	window := windowAt(now, t.length)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts[window] == nil {
		t.counts[window] = make(map[string]int64)
	}
	t.counts[window][team]++
}

// Open returns a copy of all counts that are not known to be written, and of
// those closed last, for other processes.
func (t *Tally) Open() map[Window]map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := make(map[Window]map[string]int64, len(t.counts)+len(t.closed))
	for window, counts := range t.counts {
		open[window] = maps.Clone(counts)
	}
	for window, counts := range t.closed {
		open[window] = maps.Clone(counts)
	}
	return open
}

// Closed returns the counts of the windows before one that were not closed yet.
func (t *Tally) Closed(before Window) map[Window]map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	closed := make(map[Window]map[string]int64)
	for window, counts := range t.counts {
		if window < before {
			closed[window] = counts
			delete(t.counts, window)
		}
	}
	maps.Copy(t.closed, closed)
	maps.DeleteFunc(t.closed, func(window Window, _ map[string]int64) bool { return window < before-maxBehind })
	return closed
}

// Written notes that all closed windows are written: other processes are told of
// the newest only.
func (t *Tally) Written() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.closed) == 0 {
		return
	}
	newest := slices.Max(slices.Collect(maps.Keys(t.closed)))
	maps.DeleteFunc(t.closed, func(window Window, _ map[string]int64) bool { return window < newest })
}
