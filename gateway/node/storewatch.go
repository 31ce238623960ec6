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
}

func newStoreWatch(f *fleet.Fleet) *storeWatch {
	return &storeWatch{fleet: f, steady: time.Now()}
}

// Lost notes that a call was not answered.
func (w *storeWatch) Lost() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost {
		return
	}
	w.lost = true
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
	w.steady = time.Now()
	allowance := fleet.ReturnAllowance
	if w.alone {
		allowance = 0
	}
	w.fleet.HoldRemovals(time.Now().Add(allowance))
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
