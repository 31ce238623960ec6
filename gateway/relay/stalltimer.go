package relay

import (
	"sync"
	"time"
)

// stallTimeoutShare is the share of the time that a caller waits for an event after
// which another endpoint is tried beside one without progress.
const stallTimeoutShare = 0.45

// recheckShare is the share of the stall timeout after which an attempt is looked at
// again whose endpoint was alive when it expired, or beside which no other could begin.
const recheckShare = 0.25

// stallTimeout returns how long an endpoint may make no progress; 0 for no limit if
// the request may not be retried.
func (s *stream) stallTimeout() time.Duration {
	if !s.job.Repeatable() || s.progress.runs+1 >= s.job.Route.MaxAttempts {
		return 0
	}
	return time.Duration(stallTimeoutShare * float64(s.job.maxEventWait()))
}

// stallTimer notices an attempt that makes no progress. Before the first progress it
// waits while the endpoint responds to other requests: the request is queued there, and
// would wait longer on another endpoint.
type stallTimer struct {
	timeout time.Duration
	alive   func() bool
	onStall func()

	mu         sync.Mutex
	timer      *time.Timer
	progressed bool
	stopped    bool
}

// newStallTimer starts a timer that calls onStall after timeout without progress; it
// never does if timeout is 0. alive reports whether the endpoint has recently responded
// to any request.
func newStallTimer(timeout time.Duration, alive func() bool, onStall func()) *stallTimer {
	t := &stallTimer{timeout: timeout, alive: alive, onStall: onStall}
	if timeout > 0 {
		t.mu.Lock()
		t.timer = time.AfterFunc(timeout, t.expire)
		t.mu.Unlock()
	}
	return t
}

func (t *stallTimer) expire() {
	if t.stalled() {
		t.onStall()
	}
}

func (t *stallTimer) stalled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return false
	}
	if !t.progressed && t.alive() {
		t.timer.Reset(t.recheckTime())
		return false
	}
	return true
}

func (t *stallTimer) recheckTime() time.Duration {
	return time.Duration(recheckShare * float64(t.timeout))
}

// again has onStall called once more if the endpoint stays without progress.
func (t *stallTimer) again() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(t.recheckTime())
	}
}

func (t *stallTimer) progress() {
	if t.timeout == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progressed = true
	t.timer.Reset(t.timeout)
}

func (t *stallTimer) stop() {
	if t.timeout == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
