package crashes

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/blame"
	"flamingospar.org/platform/site"
)

// Times and limits of the check whether an endpoint has crashed.
const (
	// checkDelay is how long after the first connection broke the endpoint is checked.
	// The connections of its other runs break within that time. checkTimeout bounds the
	// connection attempt of the check.
	checkDelay   = 120 * time.Millisecond
	checkTimeout = 500 * time.Millisecond
	// maxChecks bounds the endpoints that are checked at the same time, and
	// maxRunsPerCheck the runs of one of them that are kept.
	maxChecks       = 256
	maxRunsPerCheck = 96
)

// BrokenRun is a run whose connection broke.
type BrokenRun struct {
	RequestID string
	Request   Request
	Endpoint  site.Endpoint
	Prefill   bool // Only the prompt was read.
	// Proven is set if an endpoint had answered so much that the request is not what crashed it:
	// for blame.ProvenAfter, or completely.
	Proven bool
	// Sent is when the call to the endpoint began, and FirstEvent when the endpoint sent its
	// first event; zero if it sent none.
	Sent       time.Time
	FirstEvent time.Time

	broke time.Time // When the connection broke.
}

// Suspect reports whether the endpoint may have crashed since it began to answer the request.
func (r BrokenRun) Suspect() bool { return !r.Prefill && !r.Proven }

// SuspectAt is Suspect for a crash that was first noticed at a moment: what was sent later came
// to an endpoint that had crashed already.
func (r BrokenRun) SuspectAt(crashed time.Time) bool {
	return r.Suspect() && !r.Sent.After(crashed)
}

// checks are the checks that are under way.
type checks struct {
	mu   sync.Mutex
	runs map[blame.Crash]*crashedRuns
}

// crashedRuns are the runs that broke at one endpoint.
type crashedRuns struct {
	runs  []BrokenRun
	first time.Time // When the first one broke.
}

func newChecks() checks { return checks{runs: make(map[blame.Crash]*crashedRuns)} }

// add adds a run to the check of its endpoint. first is set if the check has to be
// started, and ok is false if nothing more can be kept.
func (c *checks) add(crashed blame.Crash, run BrokenRun) (first, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken, started := c.runs[crashed]
	if !started {
		if len(c.runs) >= maxChecks {
			return false, false
		}
		broken = &crashedRuns{first: run.broke}
		c.runs[crashed] = broken
	}
	return !started, broken.add(run)
}

// add adds a run and reports whether there was room.
func (b *crashedRuns) add(run BrokenRun) bool {
	if run.broke.Before(b.first) {
		b.first = run.broke
	}
	if len(b.runs) < maxRunsPerCheck {
		b.runs = append(b.runs, run)
		return true
	}
	return run.Suspect() && replaceProven(b.runs, run)
}

// replaceProven replaces a run that can't have crashed its endpoint.
func replaceProven(runs []BrokenRun, run BrokenRun) bool {
	for i := range runs {
		if !runs[i].Suspect() {
			runs[i] = run
			return true
		}
	}
	return false
}

// end ends a check and returns its runs.
func (c *checks) end(crashed blame.Crash) *crashedRuns {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := c.runs[crashed]
	delete(c.runs, crashed)
	return broken
}

// RecordBrokenRun queues a run whose connection broke for a check of its endpoint. It
// never blocks.
func (t *Tracker) RecordBrokenRun(run BrokenRun) {
	run.broke = time.Now()
	if !t.brokenRuns.Offer(run) {
		t.logUnchecked(run)
	}
}

func (t *Tracker) logUnchecked(run BrokenRun) {
	if ok, omitted := t.lineBudget.Allow("unchecked", maxCrashLinesPerSec); ok {
		log.Info("The endpoint of a broken run is not checked: there are too many.", "request", run.RequestID, "endpoint", run.Endpoint.ID, "lines_omitted", omitted)
	}
}

// Run checks the endpoints of broken runs and marks the requests whose endpoint has
// crashed, until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			t.expire()
		case run := <-t.brokenRuns.Items():
			crashed := blame.Crash{Endpoint: run.Endpoint.ID, StartedMS: run.Endpoint.StartedMS}
			first, ok := t.checks.add(crashed, run)
			if !ok {
				t.logUnchecked(run)
			}
			if first {
				go t.check(ctx, crashed, run.Endpoint.Address)
			}
		}
	}
}

// check records a crash if the endpoint refuses connections although it is listed and
// was not about to leave. A broken connection alone proves no crash, and neither does an
// endpoint that can't be reached: this process may be disconnected from the network.
func (t *Tracker) check(ctx context.Context, crashed blame.Crash, address string) {
	if !clock.Sleep(ctx, checkDelay) {
		return
	}
	refused := t.refuses(ctx, address)
	broken := t.checks.end(crashed)
	if !refused || !t.expected(crashed) {
		return
	}
	t.recordCrash(crashed, broken.runs, broken.first)
}

func refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // Nothing was sent on it.
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// expected reports whether an endpoint should have been running. One that has left the
// list or is draining ended as planned.
func (t *Tracker) expected(crashed blame.Crash) bool {
	endpoint, ok := t.fleet.Endpoint(crashed.Endpoint)
	return ok && !endpoint.Draining
}

// crashID returns the name of a crash, which is the same at all processes.
func crashID(crashed blame.Crash) string {
	return crashed.Endpoint + "/" + strconv.FormatInt(crashed.StartedMS, 10)
}
