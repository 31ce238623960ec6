package relay

import (
	"sync"
	"time"
)

// stallShare is the part of a caller's patience after which a silent endpoint is
// given up for another.
const stallShare = 0.45

// stallLimit is how long an endpoint may be silent; 0 when no other may go on.
func (s *stream) stallLimit() time.Duration {
	if !s.job.Repeatable() || s.p.runs+1 >= s.job.Route.MaxAttempts {
		return 0
	}
	return time.Duration(stallShare * float64(s.job.streamPatience()))
}

// stallWatch ends an attempt that has made no progress for a time.
type stallWatch struct {
	mu    sync.Mutex
	limit time.Duration
	timer *time.Timer
}

// newStallWatch calls end after limit without progress; a limit of 0 never does.
func newStallWatch(limit time.Duration, end func()) *stallWatch {
	w := &stallWatch{limit: limit}
	if limit > 0 {
		w.timer = time.AfterFunc(limit, end)
	}
	return w
}

func (w *stallWatch) progress() {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(w.limit)
}

func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
