// Package stopping decides which requests a process still takes that was asked to stop. Each
// answer ends when the process closes the connections of its callers; a request that can't be
// expected to have its whole answer by then is refused before an endpoint gets it, so that its
// caller turns to another process while it certainly has not run.
package stopping

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/core/worktime"
)

var log = logging.For("gateway/stopping")

// maxLinesPerSec bounds the lines about requests that are not taken.
const maxLinesPerSec = 40

// ErrAnswersEnd is the cause with which requests end that outlast the process.
var ErrAnswersEnd = errors.New("the process stops; remedy: send the request to another process")

// How much longer than the longest request of its kind a new one may last. One that may not be
// repeated is lost for good if its answer is cut.
const (
	repeatableFactor    = 2
	nonRepeatableFactor = 3
	// fewRequests is the number of requests whose longest one counts twice: fewer say little about
	// how long the next one may last, and the longest of them counts for more.
	fewRequests = 30
)

// mayLast returns how long a request may last, by those like it.
func mayLast(like worktime.Lasted, factor int) time.Duration {
	unsure := 1 + float64(fewRequests)/float64(like.Count)
	return time.Duration(float64(factor) * unsure * float64(like.Longest))
}

// Times of a caller that is refused: other processes can take its request at once.
const (
	minRetryAfter    = 10 * time.Millisecond
	retryAfterJitter = 40 * time.Millisecond
)

// RetryAfter returns the time after which a caller that is refused may turn to another process.
func RetryAfter() time.Duration { return minRetryAfter + rand.N(retryAfterJitter) }

// Request is what the decision about a request depends on.
type Request struct {
	ID         string
	Kind       worktime.Kind
	Repeatable bool
	Deadline   time.Time // Its answer ends by then in any case.
}

// Gate decides while its process stops. It is safe for concurrent use; a nil Gate is that of a
// process which never stops.
type Gate struct {
	lines logging.LineBudget
	ended context.Context // Ends when all answers do.
	end   context.CancelFunc

	mu        sync.Mutex
	times     worktime.Times
	answersBy time.Time // When all answers end; zero until the process is asked to stop.
}

// NewGate returns a gate that lets all requests pass until Stop is called.
func NewGate() *Gate {
	g := &Gate{}
	g.ended, g.end = context.WithCancel(context.Background())
	return g
}

// Stop has all answers end at a time.
func (g *Gate) Stop(answersBy time.Time) {
	g.mu.Lock()
	g.answersBy = answersBy
	g.mu.Unlock()
	time.AfterFunc(time.Until(answersBy), g.end)
}

// Context returns a context that ends with the cause ErrAnswersEnd when all answers do. release
// must be called when it is no longer used.
func (g *Gate) Context(ctx context.Context) (_ context.Context, release func()) {
	if g == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(g.ended, func() { cancel(ErrAnswersEnd) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// Record records how long a request lasted that an endpoint was sent.
func (g *Gate) Record(kind worktime.Kind, lasted time.Duration) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.times.Record(time.Now(), kind, lasted)
}

// MayBegin reports whether a request that has just arrived can be expected to have its whole
// answer before all answers end.
func (g *Gate) MayBegin(r Request) bool {
	factor := nonRepeatableFactor
	if r.Repeatable {
		factor = repeatableFactor
	}
	return g.decide(r, factor)
}

// MayGoOn is MayBegin for a request that was taken and is to be sent to an endpoint now: it is
// not refused for the mere possibility that it lasts longer than others.
func (g *Gate) MayGoOn(r Request) bool { return g.decide(r, 1) }

// decide reports whether a request may last for the factor times the longest one of its kind.
func (g *Gate) decide(r Request, factor int) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	answersBy := g.answersBy
	if answersBy.IsZero() || !r.Deadline.After(answersBy) {
		g.mu.Unlock()
		return true
	}
	now := time.Now()
	like := g.times.Of(now, r.Kind)
	g.mu.Unlock()
	if like.Count > 0 && !now.Add(mayLast(like, factor)).After(answersBy) {
		return true
	}
	if ok, omitted := g.lines.Allow("", maxLinesPerSec); ok {
		log.Info("A request may outlast this process, which stops, and is not sent.", "request", r.ID, "service", r.Kind.Service, "route", r.Kind.Route, "repeatable", r.Repeatable,
			"answers_end_in_ms", answersBy.Sub(now).Milliseconds(), "time_limit_in_ms", r.Deadline.Sub(now).Milliseconds(), "requests_known", like.Count, "longest_ms", like.Longest.Milliseconds(), "factor", factor, "lines_omitted", omitted)
	}
	return false
}
