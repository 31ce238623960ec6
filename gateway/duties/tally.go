// Package duties implements the tasks that one process of the fleet at a time
// performs under a lease: reporting the usage of each window to the operator and
// ordering engines to change their stage.
//
// Each process counts the requests that it starts and writes its counts of a window
// once the window has closed. The lease holder adds them up in a transaction that
// also checks its lease, and reports only sealed windows. So two reports of a window
// can't differ, whichever process sends them.
package duties

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Window is the number of a usage window, counted from the start of 1970.
type Window int64

// windowAt returns the window that contains a time.
func windowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixMilli() / max(length.Milliseconds(), 1))
}

// endOf returns the end of a window.
func (w Window) endOf(length time.Duration) time.Time {
	return time.UnixMilli((int64(w) + 1) * length.Milliseconds())
}

// Tally counts the requests started in each window by team. It is safe for
// concurrent use.
type Tally struct {
	clock        func() (time.Time, bool)
	windowLength time.Duration

	mu     sync.Mutex
	open   map[Window]map[string]int64
	closed map[Window]map[string]int64 // Closed windows of the last maxPendingWindows.
	// written are the closed windows that are written, except the newest.
	written map[Window]bool
}

// NewTally returns a tally with the given window length.
func NewTally(clock func() (time.Time, bool), windowLength time.Duration) *Tally {
	return &Tally{clock: clock, windowLength: windowLength, open: make(map[Window]map[string]int64), closed: make(map[Window]map[string]int64), written: make(map[Window]bool)}
}

// CountStart counts a request of a team that starts now.
func (t *Tally) CountStart(team string) {
	if team == "" {
		return
	}
	now, _ := t.clock()
	window := windowAt(now, t.windowLength)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open[window] == nil {
		t.open[window] = make(map[string]int64)
	}
	t.open[window][team]++
}

// Snapshot returns a copy of all counts that may not be written yet and of the newest
// closed window, for other processes.
func (t *Tally) Snapshot() map[Window]map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	snapshot := make(map[Window]map[string]int64, len(t.open)+len(t.closed))
	for window, counts := range t.open {
		snapshot[window] = maps.Clone(counts)
	}
	for window, counts := range t.closed {
		if !t.written[window] {
			snapshot[window] = maps.Clone(counts)
		}
	}
	return snapshot
}

// CloseBefore closes all open windows before the given one and returns their counts.
func (t *Tally) CloseBefore(before Window) map[Window]map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	newlyClosed := make(map[Window]map[string]int64)
	for window, counts := range t.open {
		if window < before {
			newlyClosed[window] = counts
			delete(t.open, window)
		}
	}
	maps.Copy(t.closed, newlyClosed)
	maps.DeleteFunc(t.closed, func(window Window, _ map[string]int64) bool { return window < before-maxPendingWindows })
	maps.DeleteFunc(t.written, func(window Window, _ bool) bool { return window < before-maxPendingWindows })
	return newlyClosed
}

// MarkWritten records that all closed windows are written. Only the newest one is
// still included in snapshots.
func (t *Tally) MarkWritten() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.closed) == 0 {
		return
	}
	newest := slices.Max(slices.Collect(maps.Keys(t.closed)))
	for window := range t.closed {
		t.written[window] = window < newest
	}
}

// Reopen returns the counts of all closed windows that are kept, written ones included,
// for a store that has lost them.
func (t *Tally) Reopen() map[Window]map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.written)
	return maps.Clone(t.closed)
}
