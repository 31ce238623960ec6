// Package crashes keeps marks of requests that were running when endpoints
// crashed, and has them refused before they crash more. Marks spread between the
// entry processes with the rest of their state.
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

// Times and bounds of the marks.
const (
	// confirmAfter is how long after a connection broke the endpoint is tried,
	// and confirmLimit how long it may take to open a connection then.
	confirmAfter = 120 * time.Millisecond
	confirmLimit = 500 * time.Millisecond
	// pending bounds the broken runs that wait to be confirmed.
	pending = 64
	// maxTold bounds the marks that one exchange tells.
	maxTold = 32
)

var log = logging.For("gateway/crashes")

// Broken is a run whose connection broke.
type Broken struct {
	RequestID string
	Team      string
	Path      string
	Body      []byte
	Endpoint  string
	Address   string
}

// Marks is safe for concurrent use.
type Marks struct {
	broken *ring.Ring[Broken]
	any    atomic.Bool // There is a mark.

	mu   sync.Mutex
	book *crash.MarkSet
}

// New returns an empty set of marks.
func New() *Marks {
	return &Marks{broken: ring.New[Broken](pending), book: crash.NewMarkSet()}
}

// Refused reports whether a request was running at so many crashes that it is
// not run again.
func (m *Marks) Refused(team, path string, body []byte) bool {
	if !m.any.Load() {
		return false
	}
	fingerprint := crash.FingerprintOf(team, path, body)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.Mark(fingerprint).Refused(time.Now())
}

// Note hands over a run whose connection broke. It never blocks.
func (m *Marks) Note(broken Broken) {
	if !m.broken.Offer(broken) {
		log.Info("A broken run is not looked at: too many wait.", "request", broken.RequestID, "endpoint", broken.Endpoint)
	}
}

// Run marks the requests whose endpoint is found to be down, until ctx ends.
func (m *Marks) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case broken := <-m.broken.Items():
			m.confirm(ctx, broken)
		}
	}
}

// confirm tries the endpoint: a connection that broke alone tells of no crash,
// and an endpoint that can't be reached may have none either.
func (m *Marks) confirm(ctx context.Context, broken Broken) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(confirmAfter):
	}
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", broken.Address)
	if err == nil {
		_ = conn.Close() // Nothing was sent on it.
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return // It may be this process that is cut off.
	}
	mark := crash.New(crash.FingerprintOf(broken.Team, broken.Path, broken.Body), broken.Team, uuid.NewString()[:8], time.Now())
	m.Merge([]crash.Mark{mark})
	log.Info("A request was running when its endpoint crashed.", "request", broken.RequestID, "endpoint", broken.Endpoint, "fingerprint", string(mark.Fingerprint))
}

// Merge takes marks of this or another process.
func (m *Marks) Merge(marks []crash.Mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mark := range marks {
		if m.book.Merge(mark, time.Now()) {
			m.any.Store(true)
		}
	}
}

// Told returns the marks that another process is told: those of requests that
// are refused or close to it come first.
func (m *Marks) Told() []crash.Mark {
	if !m.any.Load() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var told []crash.Mark
	now := time.Now()
	for _, mark := range m.book.All() {
		if mark.Refused(now) {
			told = append([]crash.Mark{mark}, told...)
			continue
		}
		told = append(told, mark)
	}
	return told[:min(len(told), maxTold)]
}
