package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// servePlain runs a request whose response is not a stream.
func (r *Relay) servePlain(ctx context.Context, w http.ResponseWriter, job *Job) Outcome {
	p := &progress{excluded: make(map[string]bool)}
	for first := true; ; first = false {
		if !first {
			if decision := r.decide(job); decision.Refused {
				return p.endUnanswered(ctx, w, job, ReasonCrashes, decision.RetryIn)
			}
		}
		endpoint, done, ok := r.choosePlain(ctx, job, p)
		if !ok {
			return p.endUnanswered(ctx, w, job, p.reasonUnplaced(), max(r.limitRetryAfter(p), r.retryIn(job.Service)))
		}
		p.Endpoint = endpoint.ID
		result := r.attemptPlain(ctx, w, job, endpoint, p)
		done()
		if result.finished {
			outcome := p.Outcome
			outcome.Attempts = p.sends
			return outcome
		}
		p.excluded[endpoint.ID] = true
		if ctx.Err() != nil || !r.mayRetry(job, p, result.sent) {
			return p.endUnanswered(ctx, w, job, ReasonEndpointsFull, r.retryIn(job.Service))
		}
	}
}

func (r *Relay) attemptPlain(ctx context.Context, w http.ResponseWriter, job *Job, endpoint site.Endpoint, p *progress) attemptResult {
	attemptCtx, cancel := r.withAttemptTimeout(ctx, job, p)
	defer cancel()
	request := r.newRequest(job, site.RunHeaders{EndpointID: endpoint.ID, Team: job.Team, Remaining: job.remaining(time.Now()), Priority: -1}, job.Body)
	if !job.Repeatable() {
		request.MaxIdle = nonRepeatableMaxIdle
	}
	start := time.Now()
	response, err := r.send(attemptCtx, endpoint, request)
	if err != nil {
		p.recordCall(endpoint.ID, start, resultOfError(ctx, err))
	}
	if errors.Is(err, transport.ErrNotSent) {
		p.Err = err
		if ctx.Err() == nil && !heldBack(err) {
			r.Selector.RecordResult(endpoint.ID, engines.Unreachable)
		}
		return attemptResult{}
	}
	p.sends++
	if err != nil {
		p.runs++
		return r.recordBrokenPlain(ctx, job, endpoint, p, err)
	}
	defer response.Close()
	if response.Meta.NotRun {
		p.recordCall(endpoint.ID, start, ResultRefused)
		r.recordRefusal(endpoint, response)
		_, _ = io.CopyN(io.Discard, response, maxBufferedResponseBytes)
		return attemptResult{sent: true}
	}
	r.OnRunStart(job.Team)
	p.MayHaveRun = true
	p.runs++
	body, complete, err := readBuffered(response)
	if err != nil {
		p.recordCall(endpoint.ID, start, resultOfError(ctx, err))
		return r.recordBrokenPlain(ctx, job, endpoint, p, err)
	}
	r.Crashes.RecordAnswer(job.Identity)
	r.Crashes.RecordComplete(job.Identity)
	p.recordCall(endpoint.ID, start, resultOfStatus(response.Status))
	if response.Status >= http.StatusInternalServerError {
		r.Selector.RecordResult(endpoint.ID, engines.RequestFailed)
		if job.Repeatable() && p.runs < job.Route.MaxAttempts && ctx.Err() == nil && r.mayRetry(job, p, true) {
			p.excluded[endpoint.ID] = true
			return r.retryPlain(ctx, w, job, p, response, body)
		}
	} else {
		r.Selector.RecordResult(endpoint.ID, engines.RequestSucceeded)
	}
	p.TimeToFirstByte = time.Since(job.Arrived)
	p.Status = response.Status
	writeResponse(w, response, body, complete)
	return attemptResult{finished: true, sent: true}
}

// retryPlain retries a request after an endpoint responded with a server error, and
// forwards that response if no other endpoint responds.
func (r *Relay) retryPlain(ctx context.Context, w http.ResponseWriter, job *Job, p *progress, failed *transport.Response, body []byte) attemptResult {
	if r.decide(job).Refused {
		return forwardFailed(w, job, p, failed, body)
	}
	endpoint, done, ok := r.choosePlain(ctx, job, p)
	if ok {
		defer done()
		p.Endpoint = endpoint.ID
		if result := r.attemptPlain(ctx, w, job, endpoint, p); result.finished {
			return result
		}
	}
	if ctx.Err() != nil {
		return attemptResult{sent: true}
	}
	return forwardFailed(w, job, p, failed, body)
}

// forwardFailed forwards the failure of an endpoint.
func forwardFailed(w http.ResponseWriter, job *Job, p *progress, failed *transport.Response, body []byte) attemptResult {
	p.TimeToFirstByte = time.Since(job.Arrived)
	p.Status = failed.Status
	writeResponse(w, failed, body, true)
	return attemptResult{finished: true, sent: true}
}

// resultOfStatus returns the result of a call with a complete response.
func resultOfStatus(status int) Result {
	if status >= http.StatusInternalServerError {
		return ResultFailed
	}
	return ResultAnswered
}

// withAttemptTimeout limits the time of an attempt that may be retried, so that
// another endpoint still has time to respond if this one does not.
func (r *Relay) withAttemptTimeout(ctx context.Context, job *Job, p *progress) (context.Context, context.CancelFunc) {
	if !job.Repeatable() || p.runs+1 >= job.Route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	timeout := time.Duration(attemptTimeoutShare * float64(job.Route.LatencyObjective))
	return context.WithTimeout(ctx, timeout)
}

func (r *Relay) recordBrokenPlain(ctx context.Context, job *Job, endpoint site.Endpoint, p *progress, err error) attemptResult {
	p.Err = err
	p.MayHaveRun = true
	if ctx.Err() == nil {
		r.Selector.RecordResult(endpoint.ID, healthResult(err))
		r.recordBrokenRun(job, endpoint, runProgress{})
	}
	return attemptResult{sent: true}
}
