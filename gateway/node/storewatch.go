package node

import (
	"sync"
	"time"

	"flamingospar.org/gateway/fleet"
)

// storeWatch tells whether the store answers this process, and for how long
// endpoints whose rows lapsed are kept.
type storeWatch struct {
	fleet *fleet.Fleet

	mu     sync.Mutex
	lost   bool
	alone  bool      // The store has answered another process since it was lost here.
	steady time.Time // Since when it answers without a break.
	turned chan struct{}
}

func newStoreWatch(f *fleet.Fleet) *storeWatch {
	return &storeWatch{fleet: f, steady: time.Now(), turned: make(chan struct{})}
}

// Lost notes that a call was not answered.
func (w *storeWatch) Lost() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost {
		return
	}
	w.lost = true
	w.turn()
	w.alone = false
	w.fleet.HoldRemovals(time.Now().Add(maxOutage))
}

// Regained notes the first answer after that. Where only this process was
// turned away, rows that are gone did not lapse for the store's sake.
func (w *storeWatch) Regained() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lost {
		return
	}
	w.lost = false
	w.turn()
	w.steady = time.Now()
	allowance := fleet.ReturnAllowance
	if w.alone {
		allowance = 0
	}
	w.fleet.HoldRemovals(time.Now().Add(allowance))
}

// turn is called with mu held.
func (w *storeWatch) turn() {
	close(w.turned)
	w.turned = make(chan struct{})
}

// Turned returns a channel that is closed when the store is next lost or
// regained.
func (w *storeWatch) Turned() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.turned
}

// AnswersOthers notes that another process has the store.
func (w *storeWatch) AnswersOthers() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost && !w.alone {
		w.alone = true
		w.fleet.HoldRemovals(time.Now())
	}
}

// IsLost reports whether the store does not answer this process.
func (w *storeWatch) IsLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// Steady returns how long the store has answered this process without a break.
func (w *storeWatch) Steady() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost {
		return 0
	}
	return time.Since(w.steady)
}
