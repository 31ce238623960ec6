// Package crashes keeps marks of requests that were running when endpoints crashed,
// and refuses these requests before they crash more endpoints. The entry processes
// exchange their marks along with the rest of their state.
package crashes

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/ring"
	"flamingospar.org/core/crash"
)

// Times and limits of the marks.
const (
	// confirmDelay is how long after a connection broke the endpoint is checked, and
	// confirmTimeout bounds the connection attempt of that check.
	confirmDelay   = 120 * time.Millisecond
	confirmTimeout = 500 * time.Millisecond
	// maxQueuedRuns bounds the broken runs that wait for their check.
	maxQueuedRuns = 64
	// maxMarksPerExchange bounds the marks sent in one exchange with another process.
	maxMarksPerExchange = 32
)

var log = logging.For("gateway/crashes")

// BrokenRun is a run whose connection broke.
type BrokenRun struct {
	RequestID string
	Team      string
	Path      string
	Body      []byte
	Endpoint  string
	Address   string
}

// Tracker holds the crash marks known to this process. It is safe for concurrent use.
type Tracker struct {
	brokenRuns *ring.Ring[BrokenRun]
	hasMarks   atomic.Bool // Avoids fingerprinting requests while there are no marks.

	mu    sync.Mutex
	marks *crash.MarkSet
}

// New returns a tracker without marks.
func New() *Tracker {
	return &Tracker{brokenRuns: ring.New[BrokenRun](maxQueuedRuns), marks: crash.NewMarkSet()}
}

// Refused reports whether a request was running at so many crashes that it must not
// run again.
func (t *Tracker) Refused(team, path string, body []byte) bool {
	if !t.hasMarks.Load() {
		return false
	}
	fingerprint := crash.FingerprintOf(team, path, body)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.marks.Mark(fingerprint).Refused(time.Now())
}

// RecordBrokenRun queues a run whose connection broke for a check of its endpoint. It
// never blocks.
func (t *Tracker) RecordBrokenRun(run BrokenRun) {
	if !t.brokenRuns.Offer(run) {
		log.Info("The endpoint of a broken run is not checked: the queue is full.", "request", run.RequestID, "endpoint", run.Endpoint)
	}
}

// Run checks the endpoints of broken runs and marks the requests whose endpoint is
// down, until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case run := <-t.brokenRuns.Items():
			t.confirm(ctx, run)
		}
	}
}

// confirm marks the request of a run if its endpoint refuses connections. A broken
// connection alone does not prove a crash, and neither does an endpoint that can't be
// reached.
func (t *Tracker) confirm(ctx context.Context, run BrokenRun) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(confirmDelay):
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", run.Address)
	if err == nil {
		_ = conn.Close() // Nothing was sent on it.
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return // This process may be disconnected from the network.
	}
	mark := crash.New(crash.FingerprintOf(run.Team, run.Path, run.Body), run.Team, uuid.NewString()[:8], time.Now())
	t.Merge([]crash.Mark{mark})
	log.Info("A request was running when its endpoint crashed.", "request", run.RequestID, "endpoint", run.Endpoint, "fingerprint", string(mark.Fingerprint))
}

// Merge adds marks of this or another process.
func (t *Tracker) Merge(marks []crash.Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, mark := range marks {
		if t.marks.Merge(mark, time.Now()) {
			t.hasMarks.Store(true)
		}
	}
}

// MarksForPeer returns the marks to send to another process. Marks of refused requests
// come first.
func (t *Tracker) MarksForPeer() []crash.Mark {
	if !t.hasMarks.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var forPeer []crash.Mark
	now := time.Now()
	for _, mark := range t.marks.All() {
		if mark.Refused(now) {
			forPeer = append([]crash.Mark{mark}, forPeer...)
			continue
		}
		forPeer = append(forPeer, mark)
	}
	return forPeer[:min(len(forPeer), maxMarksPerExchange)]
}
