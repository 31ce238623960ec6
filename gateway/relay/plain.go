package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"flamingospar.org/core/balance"
	"flamingospar.org/core/standby"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// plainRun is the state of a request whose response is not a stream, over its calls. Only
// the goroutine of the request uses it; calls hand over their results on ended.
type plainRun struct {
	*progress
	relay *Relay
	ctx   context.Context
	w     http.ResponseWriter
	job   *Job
	// underWay are the calls that have not ended: one, or two while the endpoint of the
	// first is silent.
	underWay []*plainCall
	ended    chan *plainCall
	// failed is the last call that an endpoint answered with a failure of its own, which
	// the caller gets if no other call is answered.
	failed *plainCall
	silent *time.Timer
}

// servePlain runs a request whose response is not a stream.
func (r *Relay) servePlain(ctx context.Context, w http.ResponseWriter, job *Job) Outcome {
	p := &plainRun{
		progress: &progress{excluded: make(map[string]bool)}, relay: r, ctx: ctx, w: w, job: job,
		ended: make(chan *plainCall, maxSends), silent: time.NewTimer(attemptTimeout(job)),
	}
	defer p.close()
	endpoint, done, ok := r.choosePlain(ctx, job, p.progress)
	if !ok {
		return p.endUnplaced()
	}
	p.start(endpoint, done)
	for {
		select {
		case c := <-p.ended:
			if outcome, finished := p.callEnded(c); finished {
				return outcome
			}
		case <-p.silent.C:
			if job.Repeatable() {
				p.startStandby()
				p.silent.Reset(standbyRecheck)
			}
		}
	}
}

// standbyRecheck is the time after which a call whose endpoint is silent is looked at again.
const standbyRecheck = 50 * time.Millisecond

// attemptTimeout returns the time after which the endpoint of a call counts as silent.
func attemptTimeout(job *Job) time.Duration {
	return max(minAttemptTime, time.Duration(attemptTimeoutShare*float64(job.Route.LatencyObjective)))
}

// start starts a call. done records its end at the selector.
func (p *plainRun) start(endpoint site.Endpoint, done engines.PlainDone) {
	c := newPlainCall(p.ctx, p.job, endpoint, done)
	request := p.relay.newRequest(p.job, site.RunHeaders{EndpointID: endpoint.ID, Team: p.job.Team, Remaining: p.job.remaining(time.Now()), Priority: -1}, p.job.Body)
	if !p.job.Repeatable() {
		request.MaxIdle = nonRepeatableMaxIdle
	}
	p.Endpoint = endpoint.ID
	p.underWay = append(p.underWay, c)
	p.silent.Reset(attemptTimeout(p.job))
	go func() {
		defer func() {
			c.panicked = newCaughtPanic(recover())
			p.ended <- c
		}()
		c.run(p.relay, request)
	}()
}

// startStandby starts a second call beside one whose endpoint is silent, if it may. The
// first one goes on: the first whole answer is forwarded.
func (p *plainRun) startStandby() {
	if len(p.underWay) != 1 || !p.attempts().MayBegin() || p.job.Trial {
		return
	}
	first := p.underWay[0]
	if time.Since(first.start) < attemptTimeout(p.job) {
		return
	}
	p.recordSilence(first)
	if decision := p.relay.Crashes.Decide(p.job.Identity); decision.Refused || decision.Trial {
		return
	}
	p.excluded[first.endpoint.ID] = true
	endpoint, done, ok := p.relay.Selector.ChoosePlain(p.job.Caller.ID, p.job.Service, p.excluded)
	if !ok {
		p.relay.Meter.Count("standby", "unplaced")
		return
	}
	if !p.relay.RetryBudgets.take(p.job.Service, 1) {
		done(balance.Failed)
		p.relay.Meter.Count("standby", "denied", "budget")
		return
	}
	p.relay.Meter.Count("standby", "sent")
	p.start(endpoint, done)
}

// attempts returns what decides whether a standby may begin.
func (p *plainRun) attempts() standby.Attempts {
	return standby.Attempts{
		Repeatable: p.job.Repeatable(), Continuable: true,
		Runs: p.runs + len(p.underWay), MaxRuns: p.job.Route.MaxAttempts,
		Sends: p.sends + len(p.underWay), MaxSends: maxSends,
		Remaining: p.job.remaining(time.Now()), MinTime: minAttemptTime,
	}
}

// recordSilence records once that the endpoint of a call is silent.
func (p *plainRun) recordSilence(c *plainCall) {
	if c.silent {
		return
	}
	c.silent = true
	p.relay.Selector.RecordResult(c.endpoint.ID, engines.RequestFailed)
}

// callEnded processes the end of a call. finished reports that the request has ended.
func (p *plainRun) callEnded(c *plainCall) (outcome Outcome, finished bool) {
	p.remove(c)
	c.done(c.outcome())
	if c.panicked != nil {
		c.close()
		panic(c.panicked)
	}
	sent := p.record(c)
	if c.answered() && c.response.Status < http.StatusInternalServerError {
		return p.forward(c), true
	}
	if c.answered() {
		p.replaceFailed(c)
	} else {
		c.close()
	}
	p.excluded[c.endpoint.ID] = true
	if len(p.underWay) > 0 {
		return Outcome{}, false
	}
	return p.startNext(c, sent)
}

// startNext starts another call after all others have ended, or ends the request.
func (p *plainRun) startNext(last *plainCall, sent bool) (outcome Outcome, finished bool) {
	if p.failed != nil && p.failed != last && p.ctx.Err() == nil {
		return p.forward(p.failed), true
	}
	if p.ctx.Err() != nil || !p.relay.Stopping.MayGoOn(p.job.StopRequest()) || !p.relay.mayRetry(p.job, p.progress, sent) {
		return p.endWith(ReasonEndpointsFull, p.relay.retryIn(p.job.Service, anyVersion)), true
	}
	if decision := p.relay.decide(p.job); decision.Refused {
		return p.endWith(ReasonCrashes, decision.RetryIn), true
	}
	endpoint, done, ok := p.relay.choosePlain(p.ctx, p.job, p.progress)
	if !ok {
		return p.endUnplaced(), true
	}
	p.start(endpoint, done)
	return Outcome{}, false
}

// endUnplaced ends a request for which there is no endpoint.
func (p *plainRun) endUnplaced() Outcome {
	return p.endWith(p.reasonUnplaced(), max(p.relay.limitRetryAfter(p.progress), p.relay.retryIn(p.job.Service, anyVersion)))
}

// endWith ends a request that no endpoint has answered with success.
func (p *plainRun) endWith(reason Reason, atLeast time.Duration) Outcome {
	if p.failed != nil && p.ctx.Err() == nil {
		return p.forward(p.failed)
	}
	return p.relay.endUnanswered(p.ctx, p.w, p.progress, p.job, reason, atLeast)
}

// forward forwards the answer of an endpoint. Calls that are under way are cancelled.
func (p *plainRun) forward(c *plainCall) Outcome {
	defer c.close()
	p.cancelOthers()
	p.Endpoint = c.endpoint.ID
	if promisesNotRun(c.response.Status) {
		return p.relay.endUnanswered(p.ctx, p.w, p.progress, p.job, ReasonMayHaveRun, 0)
	}
	p.TimeToFirstByte = time.Since(p.job.Arrived)
	p.Status = c.response.Status
	writeResponse(p.w, c.response, c.body, c.complete)
	p.Attempts = p.sends
	return p.Outcome
}

// cancelOthers cancels the calls that are under way, since another one was answered.
func (p *plainRun) cancelOthers() {
	for _, c := range p.underWay {
		c.cancel(errOutrun)
		p.relay.Meter.Count("standby", "outrun")
		p.recordCall(c.endpoint.ID, c.start, ResultOutrun)
		p.sends++
		p.runs++
		if c.silent {
			p.relay.recordBrokenRun(p.job, c.endpoint, runProgress{sent: c.start})
		}
	}
}

// close ends the calls that are under way and waits for them.
func (p *plainRun) close() {
	p.silent.Stop()
	for _, c := range p.underWay {
		c.cancel(errOutrun)
	}
	for range p.underWay {
		c := <-p.ended
		c.done(c.outcome())
		c.close()
	}
	if p.failed != nil {
		p.failed.close()
	}
}

func (p *plainRun) remove(c *plainCall) {
	kept := p.underWay[:0]
	for _, other := range p.underWay {
		if other != c {
			kept = append(kept, other)
		}
	}
	p.underWay = kept
}

func (p *plainRun) replaceFailed(c *plainCall) {
	if p.failed != nil {
		p.failed.close()
	}
	p.failed = c
}

// record records the end of a call. It reports whether the call may have reached its
// endpoint.
func (p *plainRun) record(c *plainCall) (sent bool) {
	switch {
	case errors.Is(c.err, transport.ErrNotSent):
		p.recordCall(c.endpoint.ID, c.start, resultOfError(c.ctx, c.err))
		p.Err = c.err
		if p.ctx.Err() == nil && !heldBack(c.err) {
			p.relay.Selector.RecordResult(c.endpoint.ID, engines.Unreachable)
		}
		return false
	case c.err != nil:
		p.recordBroken(c)
	case c.response.Meta.NotRun:
		p.recordCall(c.endpoint.ID, c.start, ResultRefused)
		p.relay.recordRefusal(c.endpoint, c.response)
	default:
		p.recordAnswer(c)
	}
	p.sends++
	return true
}

func (p *plainRun) recordBroken(c *plainCall) {
	p.runs++
	p.recordCall(c.endpoint.ID, c.start, resultOfError(c.ctx, c.err))
	p.Err = c.err
	p.MayHaveRun = true
	if p.ctx.Err() == nil {
		p.relay.Selector.RecordResult(c.endpoint.ID, healthResult(c.err))
		p.relay.recordBrokenRun(p.job, c.endpoint, runProgress{sent: c.start})
	}
}

func (p *plainRun) recordAnswer(c *plainCall) {
	p.runs++
	p.MayHaveRun = true
	p.relay.Crashes.RecordAnswer(p.job.Identity)
	p.recordCall(c.endpoint.ID, c.start, resultOfStatus(c.response.Status))
	if c.response.Status >= http.StatusInternalServerError {
		p.relay.Selector.RecordResult(c.endpoint.ID, engines.RequestFailed)
		return
	}
	p.relay.Selector.RecordResult(c.endpoint.ID, engines.RequestSucceeded)
}

// resultOfStatus returns the result of a call with a complete response.
func resultOfStatus(status int) Result {
	if status >= http.StatusInternalServerError {
		return ResultFailed
	}
	return ResultAnswered
}
