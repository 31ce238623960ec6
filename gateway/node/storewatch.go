package node

import (
	"sync"
	"time"

	"flamingospar.org/gateway/fleet"
)

// storeWatch tracks whether the store answers this process, and defers the
// removal of endpoints whose rows expire during an outage.
type storeWatch struct {
	fleet *fleet.Fleet

	// marking is held while the state changes and removals are deferred accordingly, so that both
	// change in the same order. mu is never held then: listeners of the list of endpoints, which
	// are told while its lock is held, ask for the state.
	marking sync.Mutex

	mu               sync.Mutex
	answered         bool // The store has answered this process.
	lost             bool
	lostAt           time.Time
	availableToPeers bool      // The store has answered another process since it was lost here.
	availableSince   time.Time // Start of the current period without failed calls.
	changed          chan struct{}
}

func newStoreWatch(f *fleet.Fleet) *storeWatch {
	return &storeWatch{fleet: f, availableSince: time.Now(), changed: make(chan struct{})}
}

// storeRestored is called when the store has come back from an older copy.
func (n *Node) storeRestored(known, era int64) {
	log.Info("The store came back from an older copy. What was written since is gone, and versions are given out again.",
		"era", era, "era_before", known, "configuration", n.config.Version(), "endpoints_version", n.fleet.Version())
	n.meter.Count("store", "restored")
	n.lease.StoreRestored()
	n.usageWriter.StoreRestored()
	n.cluster.StoreRestored()
	n.crashBackup.StoreRestored()
	n.versions.StoreRestored()
	select {
	case n.clockLost <- struct{}{}:
	default:
	}
	n.storeWatch.MarkRestored()
}

// MarkRestored records that the store came back from an older copy. Calls that are held
// may wait for versions that it has given out again, so they are repeated.
func (w *storeWatch) MarkRestored() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.availableSince = time.Now()
	w.signalChange()
}

// MarkLost records that a call was not answered.
func (w *storeWatch) MarkLost() {
	w.marking.Lock()
	defer w.marking.Unlock()
	if w.setLost() {
		w.fleet.DeferRemovals(time.Now().Add(maxStoreOutage))
	}
}

// setLost reports whether the store was not lost before.
func (w *storeWatch) setLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost {
		return false
	}
	w.lost, w.lostAt = true, time.Now()
	w.signalChange()
	w.availableToPeers = false
	return true
}

// MarkRecovered records the first answer after an outage. If only this process
// had lost the store, other endpoints could renew their rows meanwhile; missing
// rows were deleted on purpose and are removed without delay.
func (w *storeWatch) MarkRecovered() {
	w.marking.Lock()
	defer w.marking.Unlock()
	if delay, recovered := w.setRecovered(); recovered {
		w.fleet.DeferRemovals(time.Now().Add(delay))
	}
}

// setRecovered reports whether the store was lost before, and for how long missing rows are kept.
func (w *storeWatch) setRecovered() (delay time.Duration, recovered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lost {
		return 0, false
	}
	w.lost = false
	w.signalChange()
	w.availableSince = time.Now()
	if w.availableToPeers {
		return 0, true
	}
	return fleet.ReregistrationTimeout, true
}

// signalChange wakes the waiters of StateChanged. The caller holds mu.
func (w *storeWatch) signalChange() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// StateChanged returns a channel that is closed when the store is next lost or
// recovers.
func (w *storeWatch) StateChanged() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// MarkAvailableToPeers records that the store answers another process.
func (w *storeWatch) MarkAvailableToPeers() {
	w.marking.Lock()
	defer w.marking.Unlock()
	if w.setAvailableToPeers() {
		w.fleet.DeferRemovals(time.Now())
	}
}

// setAvailableToPeers reports whether that was not known in this outage.
func (w *storeWatch) setAvailableToPeers() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lost || w.availableToPeers {
		return false
	}
	w.availableToPeers = true
	return true
}

// MarkAnswered records that the store has answered this process.
func (w *storeWatch) MarkAnswered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered = true
}

// HasAnswered reports whether the store has answered this process since it started.
func (w *storeWatch) HasAnswered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answered
}

// IsLost reports whether the store does not answer this process.
func (w *storeWatch) IsLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// LostSince returns since when the store has not answered this process. lost is false if it
// does.
func (w *storeWatch) LostSince() (at time.Time, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lostAt, w.lost
}

// AvailableFor returns how long the store has answered this process without a
// failed call, or 0 during an outage.
func (w *storeWatch) AvailableFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost {
		return 0
	}
	return time.Since(w.availableSince)
}
