package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"flamingospar.org/core/placement"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// Limits of streams.
const (
	// levelsPerPriority is the number of priority levels from one priority of routes
	// and teams to the next, and maxLevel the largest level. The levels above are left
	// for prompts that can't be in time.
	levelsPerPriority = 2
	maxLevel          = 6
	// remoteCostShare is the share of a route's latency objective that is the cost of
	// an engine in another data centre.
	remoteCostShare   = 0.35
	streamBufferBytes = 8 << 10
)

// stream is the state of one streamed response over its attempts.
type stream struct {
	// mu guards all other fields while a standby may act; see wait.
	mu         sync.Mutex
	relay      *Relay
	job        *Job
	w          http.ResponseWriter
	flush      func() error
	prompt     placement.Prompt
	progress   *progress
	events     eventBuffer
	headerSent bool // The header, and possibly events, were sent to the caller.
	runCounted bool // OnRunStart was called.
	// proven is set once an endpoint has answered for so long, or completely, that the
	// request is not what crashes endpoints.
	proven bool
	// prefillCalls is the number of prefill calls to separate engines.
	prefillCalls int
	// prefillFailed reports whether the last attempt ended with a failed prefill call.
	prefillFailed bool
	// version is the version of the engines' software at which the stream has to go on;
	// empty until the caller is about to get the first event.
	version string
	// versionFrom is the call that fixed the version; nil if another request did.
	versionFrom *streamCall
	// callWritten is set once events of the current call were written.
	callWritten bool
	// reserved is the permit for a limited decode engine that was taken before the prefill,
	// nil if there is none.
	reserved *permit
	// next is a standby that has become the next attempt, if any.
	next *streamCall
	// unread is the placement of the last attempt if its prefill engine was silent: the
	// decode engine can still read the prompt itself.
	unread *engines.Placement
	// saidNothingLeft is the endpoint that said that no event is left after the last one, if
	// any.
	saidNothingLeft string
	// panicked is a panic while a standby was made, if any.
	panicked *caughtPanic
	// overShare is set if the team was over its share of the service before the first
	// placement, and demandRecorded once that placement was counted.
	overShare      bool
	demandRecorded bool
	// retryAfter is the time after which the last placement expected room.
	retryAfter time.Duration
}

// serveStream runs a request whose response is a stream of events.
func (r *Relay) serveStream(ctx context.Context, w http.ResponseWriter, job *Job) Outcome {
	s := &stream{
		relay: r, job: job, w: w, flush: http.NewResponseController(w).Flush, prompt: job.prompt(),
		progress:  &progress{excluded: make(map[string]bool)},
		overShare: r.Shares.Over(job.shareClass(), job.Team),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.takesUp() && !s.findVersion(ctx) {
		return s.giveUp(ctx, ReasonVersionUnknown, s.relay.Versions.RetryAfterUnknown())
	}
	for first := true; ; first = false {
		result, ended := s.nextAttempt(ctx, first)
		if ended {
			return s.progress.Outcome
		}
		if result.finished {
			s.progress.Attempts = s.progress.sends
			return s.progress.Outcome
		}
		if !result.unasked {
			s.progress.excluded[s.progress.Endpoint] = true
		}
		if !s.anotherAttempt(ctx, result) {
			s.dropNext()
			return s.giveUp(ctx, ReasonEndpointsFull, s.retryAfter)
		}
	}
}

// anotherAttempt reports whether another attempt follows one that did not finish.
func (s *stream) anotherAttempt(ctx context.Context, result attemptResult) bool {
	switch {
	case ctx.Err() != nil, s.inDoubt(), !s.mayBeginRun():
		return false
	case s.next != nil:
		return true
	case s.relay.mayRetry(s.job, s.progress, result.sent):
		s.unread = nil
		return true
	default: // A call to the decode engine after a prefill is no retry.
		return s.unread != nil && s.job.remaining(time.Now()) >= minAttemptTime
	}
}

// nextAttempt makes the next attempt. ended reports that there is none and the stream has
// ended.
func (s *stream) nextAttempt(ctx context.Context, first bool) (result attemptResult, ended bool) {
	if c := s.next; c != nil {
		s.next = nil
		return s.goOn(ctx, c), false
	}
	if !first {
		if decision := s.relay.decide(s.job); decision.Refused {
			s.progress.Outcome = s.giveUp(ctx, ReasonCrashes, decision.RetryIn)
			return attemptResult{}, true
		}
	}
	if !s.awaitCurrentList(ctx) {
		s.progress.Outcome = s.giveUp(ctx, ReasonVersionUnknown, oldListRetryAfter)
		return attemptResult{}, true
	}
	if unread := s.unread; unread != nil {
		s.unread = nil
		return s.attempt(ctx, *unread), false
	}
	placed := s.placeNext(ctx)
	s.recordDemand(placed)
	s.retryAfter = placed.RetryAfter
	if placed.Verdict == placement.Refused || placed.Verdict == placement.NoEngine {
		s.progress.Outcome = s.endUnplaced(ctx, placed)
		return attemptResult{}, true
	}
	s.relay.Meter.Count("placement", verdictName(placed.Verdict))
	return s.attempt(ctx, placed), false
}

// dropNext cancels a standby that was to be the next attempt.
func (s *stream) dropNext() {
	c := s.next
	if c == nil {
		return
	}
	s.next = nil
	c.cancel(nil)
	s.wait(func() { <-c.done })
	c.end()
	if c.sent() {
		s.countPossibleRun()
	}
}

func verdictName(v placement.Verdict) string {
	if v == placement.Late {
		return "late"
	}
	return "in_time"
}

// giveUp ends a stream that no endpoint can start or continue.
func (s *stream) giveUp(ctx context.Context, reason Reason, atLeast time.Duration) Outcome {
	if !s.headerSent {
		return s.relay.endUnanswered(ctx, s.w, s.progress, s.job, reason, max(atLeast, s.relay.retryIn(s.job.Service, s.version)))
	}
	s.progress.Reason = ReasonBroken
	s.relay.countUnreplaced(s.progress)
	if callerLeft(ctx, s.job) {
		s.progress.Reason = ReasonCallerLeft
	}
	s.progress.Attempts = s.progress.sends
	return s.progress.Outcome
}

func (s *stream) recordFailure(ctx context.Context, endpoint site.Endpoint, progress runProgress, err error) {
	s.progress.Err = err
	if heldBack(err) || errors.Is(err, errStartedAgain) {
		return
	}
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return // The caller disconnected; the endpoint did not fail.
	}
	if errors.Is(err, transport.ErrNotSent) {
		s.relay.Selector.RecordResult(endpoint.ID, engines.Unreachable)
		return
	}
	s.relay.Selector.RecordResult(endpoint.ID, healthResult(err))
	if ctx.Err() == nil {
		s.relay.recordBrokenRun(s.job, endpoint, progress)
	}
}

func (s *stream) countPossibleRun() {
	s.progress.sends++
	s.progress.runs++
	s.progress.MayHaveRun = true
}

// recordDecodeRefusal records that an endpoint did not run a request. If it could not
// fetch the KV cache from the prefill engine, its health is not affected.
func (s *stream) recordDecodeRefusal(endpoint site.Endpoint, response *transport.Response, run site.RunHeaders) {
	if run.KVSource != "" && !response.Meta.Misdirected {
		s.relay.Meter.Count("endpoint", "handle_refused")
		return
	}
	s.relay.recordRefusal(endpoint, response)
}

// handleDecodeFailure forwards an error response of an endpoint, unless another attempt
// may follow.
func (s *stream) handleDecodeFailure(c *streamCall, w *watch) attemptResult {
	s.progress.MayHaveRun = true
	s.progress.runs++
	s.relay.Selector.RecordResult(c.endpoint.ID, engines.RequestFailed)
	var body []byte
	var complete bool
	var err error
	s.wait(func() { body, complete, err = readBuffered(c.response, s.job.Memory) })
	s.progress.Err = err
	another := w.call != nil || (s.job.Repeatable() && s.progress.runs < s.job.Route.MaxAttempts)
	if s.headerSent || w.replaced() || err != nil || (another && c.response.Status >= http.StatusInternalServerError) {
		return attemptResult{sent: true}
	}
	if promisesNotRun(c.response.Status) {
		s.progress.Outcome = s.giveUp(c.ctx, ReasonMayHaveRun, 0)
		return attemptResult{finished: true, sent: true}
	}
	s.progress.Status = c.response.Status
	writeResponse(s.w, c.response, body, complete)
	return attemptResult{finished: true, sent: true}
}
