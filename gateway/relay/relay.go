// Package relay forwards callers' requests to endpoints: it selects an endpoint for
// each attempt, decides whether to retry, and forwards the response.
//
// A request that may not be repeated is retried only while it is certain that no
// endpoint has begun to run it. The response to the caller reflects this: "not run"
// (status 503 with Retry-After) is sent only if no endpoint can have begun to run
// the request.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"flamingospar.org/base/meter"
	"flamingospar.org/gateway/crashes"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/limits"
	"flamingospar.org/gateway/shares"
	"flamingospar.org/gateway/stopping"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// Limits of the attempts for one request.
const (
	// maxSends is how often a request may be sent, attempts that an endpoint refused
	// included.
	maxSends = 4
	// minAttemptTime is the time before the deadline below which no further attempt is
	// started.
	minAttemptTime = 15 * time.Millisecond
	// nonRepeatableMaxIdle is the longest idle time of a connection that is reused for
	// a request which may not be repeated: if the endpoint closes the connection at
	// the same time, it is unknown whether the request ran.
	nonRepeatableMaxIdle = 400 * time.Millisecond
	// maxBufferedResponseBytes is the size up to which a response body is read
	// completely before it is forwarded. A longer one is forwarded as it arrives.
	maxBufferedResponseBytes = 256 << 10
	// minRetryAfter is the shortest time after which a refused caller is asked to
	// retry, and retryAfterJitter the limit of the random time added to it.
	minRetryAfter    = 200 * time.Millisecond
	retryAfterJitter = 300 * time.Millisecond
	// attemptTimeoutShare is the share of the route's latency objective after which
	// another endpoint is tried beside an attempt of a repeatable request.
	attemptTimeoutShare = 0.9
)

// RunStartFunc is called for each request that an endpoint has begun to run.
type RunStartFunc func(team string)

// Relay forwards requests to endpoints. It is safe for concurrent use.
type Relay struct {
	Pool         *transport.Pool
	Selector     *engines.Selector
	Limits       *limits.Limiter
	Meter        *meter.Registry
	OnRunStart   RunStartFunc
	RetryBudgets *RetryBudgets
	// Shares knows the teams that are over their share of a service. It may be nil.
	Shares   *shares.Tracker
	Crashes  *crashes.Tracker
	Versions StreamVersions
	// Stopping knows when all answers end; it may be nil.
	Stopping *stopping.Gate
	// ListIsCurrent reports whether the list of endpoints is as recent as that of a process which
	// the store answers, or was when the store was lost. It may be nil.
	ListIsCurrent func() bool
	// MaxIdleConns returns the number of idle connections to keep to each endpoint of a
	// service, 0 for no limit of its own.
	MaxIdleConns func(service string) int
	// OnPrefillDone is called after each prefill with the predicted and the measured
	// time.
	OnPrefillDone func(predicted, took time.Duration)
}

// Serve runs a job on endpoints and responds to its caller.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, job *Job) Outcome {
	if !r.Stopping.MayBegin(job.StopRequest()) {
		return respondNotRun(w, job, ReasonStopping, stopping.RetryAfter())
	}
	r.RetryBudgets.addRequest(job.Service)
	ctx, release := r.Stopping.Context(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	outcome := r.serve(ctx, w, job)
	if outcome.Attempts > 0 {
		r.Stopping.Record(job.workKind(), time.Since(job.Arrived))
	}
	return outcome
}

func (r *Relay) serve(ctx context.Context, w http.ResponseWriter, job *Job) Outcome {
	if job.Route.Kind == site.Stream {
		return r.serveStream(ctx, w, job)
	}
	return r.servePlain(ctx, w, job)
}

// retryAfter returns the time after which a refused caller may retry. It is
// randomised so that callers refused at the same time do not all retry at once.
func retryAfter(atLeast time.Duration) time.Duration {
	return max(atLeast, minRetryAfter) + rand.N(retryAfterJitter)
}

// progress is the state of a job over its attempts.
type progress struct {
	Outcome
	excluded map[string]bool
	sends    int // Attempts in which the request may have reached an endpoint.
	runs     int // Attempts that ran the request or may have run it.
}

// mayRetry reports whether another attempt may follow. It takes the attempt from the
// service's retry budget if the previous one may have reached an endpoint.
func (r *Relay) mayRetry(job *Job, p *progress, sent bool) bool {
	if p.MayHaveRun && !job.Repeatable() {
		return false
	}
	if job.Trial || p.sends >= maxSends || p.runs >= job.Route.MaxAttempts || job.remaining(time.Now()) < minAttemptTime {
		return false
	}
	if !sent {
		return true
	}
	if r.Selector.RetryIn(job.Service) > 0 {
		r.Meter.Count("retry", "denied", "asked_to_wait")
		return false
	}
	if !r.RetryBudgets.take(job.Service, 1) {
		r.Meter.Count("retry", "denied", "budget")
		return false
	}
	r.Meter.Count("retry", "sent")
	return true
}

// countUnreplaced counts a request that ends because no call followed one that this
// process had ended.
func (r *Relay) countUnreplaced(p *progress) {
	if p.endedSilent() {
		r.Meter.Count("silent", "unreplaced")
	}
}

// endUnanswered responds to a caller whose request got no response from an endpoint.
func (r *Relay) endUnanswered(ctx context.Context, w http.ResponseWriter, p *progress, job *Job, reason Reason, atLeast time.Duration) Outcome {
	var outcome Outcome
	r.countUnreplaced(p)
	switch {
	case answersEnded(ctx) && p.MayHaveRun:
		outcome = respondMayHaveRun(w, job, ReasonStopping)
	case answersEnded(ctx):
		outcome = respondNotRun(w, job, ReasonStopping, stopping.RetryAfter())
	case callerLeft(ctx, job):
		outcome = Outcome{Reason: ReasonCallerLeft, MayHaveRun: p.MayHaveRun}
	case !p.MayHaveRun:
		outcome = respondNotRun(w, job, reason, retryAfter(atLeast))
	case time.Now().After(job.Deadline):
		outcome = respondMayHaveRun(w, job, ReasonDeadline)
	default:
		outcome = respondMayHaveRun(w, job, ReasonMayHaveRun)
	}
	outcome.Attempts, outcome.Endpoint, outcome.PrefillEndpoint, outcome.Err = p.sends, p.Endpoint, p.PrefillEndpoint, p.Err
	outcome.Calls, outcome.Level, outcome.FetchedTokens, outcome.Timing, outcome.PassedOver, outcome.VersionGone = p.Calls, p.Level, p.FetchedTokens, p.Timing, p.PassedOver, p.VersionGone
	return outcome
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	finished bool // The job has ended; no attempt may follow.
	sent     bool // The request may have reached the endpoint.
	unasked  bool // The decode engine was not asked after a prefill elsewhere.
}

// healthResult returns the result to record for an endpoint whose response failed
// with err.
func healthResult(err error) engines.Result {
	if errors.Is(err, transport.ErrResponseTooLarge) {
		return engines.TooLarge
	}
	return engines.RequestFailed
}

// recordRefusal records that an endpoint refused a request without running it. If
// another endpoint or stage now has the address, it also counts as unreachable, and
// its pooled connections are closed.
func (r *Relay) recordRefusal(endpoint site.Endpoint, response *transport.Response) {
	r.Meter.Count("endpoint", "refused")
	if response.Meta.Misdirected {
		r.Selector.RecordResult(endpoint.ID, engines.Unreachable)
		r.Pool.CloseIdle(endpoint.Address)
		return
	}
	r.Selector.RecordResult(endpoint.ID, engines.Busy)
}

// send sends a request to an endpoint, unless its rate limit is used up. All requests
// to endpoints pass through it or have a permit.
func (r *Relay) send(ctx context.Context, endpoint site.Endpoint, request transport.Request) (*transport.Response, error) {
	giveBack, ok := r.Limits.Reserve(endpoint.ID)
	if !ok {
		return nil, errRateLimited
	}
	return r.sendPermitted(ctx, endpoint, request, giveBack)
}

// sendPermitted sends a request for which a permit was taken, unless the endpoint serves no
// longer, or no longer does once a connection is opened. A permit that is not used is given back.
func (r *Relay) sendPermitted(ctx context.Context, endpoint site.Endpoint, request transport.Request, giveBack func()) (_ *transport.Response, err error) {
	defer func() {
		if errors.Is(err, transport.ErrNotSent) {
			giveBack()
		}
	}()
	if !r.Selector.Allows(endpoint) {
		return nil, errPassedOver
	}
	request.MaySend = func() error {
		if !r.Selector.Take(endpoint) {
			return errPassedOver
		}
		return nil
	}
	request.OnAnswer = func(answer site.EndpointResponse) {
		// An answer to another request doesn't show that this one is accepted.
		answer.Succeeded = answer.Succeeded && answer.RequestID == request.ID
		r.Selector.Observe(endpoint, answer)
	}
	sentAt := time.Now()
	response, err := r.Pool.Send(ctx, endpoint.Address, request)
	if err != nil {
		return nil, err
	}
	r.Limits.Observe(endpoint, sentAt, response.Meta)
	return response, nil
}

// newRequest returns the request for one attempt.
func (r *Relay) newRequest(job *Job, run site.RunHeaders, body []byte) transport.Request {
	header := job.Header.Clone()
	run.Apply(header)
	return transport.Request{ID: job.Caller.ID, Method: job.Method, Target: job.Target, Host: job.Host, Header: header, Body: body, MaxIdleConns: r.MaxIdleConns(job.Service)}
}
