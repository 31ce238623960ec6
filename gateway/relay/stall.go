package relay

import (
	"sync"
	"time"
)

// stallShare is the part of a caller's patience after which a silent endpoint is
// given up for another.
const stallShare = 0.45

// recheckShare is the part of that limit after which an endpoint is looked at
// again that works for others meanwhile.
const recheckShare = 0.25

// stallLimit is how long an endpoint may be silent; 0 when no other may go on.
func (s *stream) stallLimit() time.Duration {
	if !s.job.Repeatable() || s.p.runs+1 >= s.job.Route.MaxAttempts {
		return 0
	}
	return time.Duration(stallShare * float64(s.job.streamPatience()))
}

// stallWatch ends an attempt that has made no progress for a time. Until the
// first progress it leaves an endpoint its time that answers others meanwhile:
// the request waits its turn there, and would wait for longer elsewhere.
type stallWatch struct {
	limit time.Duration
	alive func() bool
	end   func()

	mu      sync.Mutex
	timer   *time.Timer
	started bool
	stopped bool
}

// newStallWatch calls end after limit without progress; a limit of 0 never does.
// alive reports whether the endpoint was heard of lately.
func newStallWatch(limit time.Duration, alive func() bool, end func()) *stallWatch {
	w := &stallWatch{limit: limit, alive: alive, end: end}
	if limit > 0 {
		w.mu.Lock()
		w.timer = time.AfterFunc(limit, w.fire)
		w.mu.Unlock()
	}
	return w
}

func (w *stallWatch) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if !w.started && w.alive() {
		w.timer.Reset(time.Duration(recheckShare * float64(w.limit)))
		return
	}
	w.end()
}

func (w *stallWatch) progress() {
	if w.limit == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = true
	w.timer.Reset(w.limit)
}

func (w *stallWatch) stop() {
	if w.limit == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
