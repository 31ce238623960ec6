package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/refusal"
	"flamingospar.org/core/retry"
	"flamingospar.org/entry/choose"
	"flamingospar.org/entry/dispatch"
	"flamingospar.org/entry/pipeline"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// attempts is the state of one request across its attempts.
type attempts struct {
	filter     *Filter
	x          *pipeline.Exchange
	template   *wirev1.RunStart
	progress   *progress
	tried      map[string]bool
	handovers  int
	lastResult dispatch.Result
	// mayHaveRun is set once any attempt may have started to run.
	mayHaveRun bool
}

// run sends attempts until one succeeds or no retry is allowed.
func (a *attempts) run(ctx context.Context) dispatch.Result {
	f := a.filter
	f.budget.addRequest()
	for {
		pick, ok := a.pick(ctx)
		if !ok {
			return a.noEndpointResult()
		}
		a.lastResult = a.send(ctx, pick)
		if a.lastResult.Refused == nil {
			return a.lastResult
		}
		if !a.waitForRetry(ctx) {
			return a.finalResult()
		}
	}
}

// pick chooses an endpoint. After an attempt that failed with a fault it waits up
// to readyTimeout for an endpoint to become ready, since the fault may have
// affected all of them; endpoints that were already tried are then allowed too.
func (a *attempts) pick(ctx context.Context) (choose.Pick, bool) {
	pick, ok := a.filter.chooser.Pick(a.x, a.tried)
	for waited := time.Duration(0); !ok && a.lastFaulted() && waited < readyTimeout; waited += readyPollInterval {
		if !clock.Sleep(ctx, readyPollInterval) {
			return choose.Pick{}, false
		}
		pick, ok = a.filter.chooser.Pick(a.x, nil)
	}
	return pick, ok
}

// faultCodes are the codes of attempts that failed with a fault, as opposed to
// attempts refused by a working endpoint.
var faultCodes = map[refusal.Code]bool{
	refusal.EndpointChanging: true,
	refusal.EndpointCrashed:  true,
	refusal.EndpointDown:     true,
	refusal.EndpointFailed:   true,
	refusal.EndpointSilent:   true,
	refusal.NoEndpoint:       true,
	refusal.RunOtherInstance: true,
	refusal.Draining:         true,
}

func (a *attempts) lastFaulted() bool {
	return a.lastResult.Refused != nil && faultCodes[a.lastResult.Refused.Code]
}

func (a *attempts) send(ctx context.Context, pick choose.Pick) dispatch.Result {
	a.x.Attempts++
	start := proto.Clone(a.template).(*wirev1.RunStart)
	start.RunId = fmt.Sprintf("%s/%d", a.x.ID, a.x.Attempts)
	start.Endpoint = pick.Choice.Endpoint
	start.Suspect = a.filter.crashMarks.Suspect(a.x.Fingerprint)
	a.filter.chooser.FillRunStart(pick, a.x, start)
	a.progress.setResume(start)
	result := a.filter.dispatcher.Send(ctx, pick.Agent, start, a.progress)
	pick.Done()
	a.filter.chooser.RecordService(pick, a.x, figuresFromUsage(result.Usage))
	a.tried[pick.Choice.Endpoint] = true
	a.mayHaveRun = a.mayHaveRun || result.Outcome != refusal.NotRun
	if result.CrashID != "" {
		a.filter.crashMarks.RecordCrash(ctx, a.x.Fingerprint, a.x.Team, result.CrashID)
	}
	if result.Refused == nil && start.Suspect {
		a.filter.crashMarks.Survived(a.x.Fingerprint)
	}
	return result
}

// waitForRetry reports whether another attempt may be made, after waiting for its
// backoff.
func (a *attempts) waitForRetry(ctx context.Context) bool {
	f := a.filter
	if f.crashMarks.Refused(a.x.Fingerprint) != nil || ctx.Err() != nil {
		return false
	}
	ended := retry.EndedAttempt{
		Outcome:    a.lastResult.Outcome,
		Code:       a.lastResult.Refused.Code,
		Repeatable: a.x.Repeatable,
		Resumable:  a.progress.isModel,
		Received:   a.progress.received(),
		Attempts:   a.x.Attempts - a.handovers,
		Handovers:  a.handovers,
		Remaining:  time.Until(a.x.Deadline),
		Jitter:     rand.Float64(),
	}
	decision := retry.Decide(ended)
	if decision.Kind != retry.None && !f.budget.take(decision.Kind) {
		decision = retry.Decision{Denied: retry.DeniedBudget}
	}
	if decision.Kind == retry.None {
		f.counter.Count("retry_denied", string(decision.Denied))
		return false
	}
	if decision.Kind == retry.Handover {
		a.handovers++
	}
	f.counter.Count(retryMetrics[decision.Kind], string(ended.Code))
	return clock.Sleep(ctx, decision.Backoff)
}

// retryMetrics are the names of the counters of attempts after the first.
var retryMetrics = map[retry.Kind]string{retry.Restart: "retried", retry.Resume: "resumed", retry.Handover: "handed_over"}

// noEndpointResult returns the result if no endpoint is left to try.
func (a *attempts) noEndpointResult() dispatch.Result {
	if a.lastResult.Refused == nil {
		refused := refusal.New(refusal.NoEndpoint, "no endpoint is ready for %s %s", a.x.Kind, a.x.Model).WithRetryAfter(noEndpointRetryAfter)
		return dispatch.Result{Outcome: refusal.NotRun, Refused: refused}
	}
	a.filter.counter.Count("retry_denied", string(retry.DeniedNoEndpoint))
	return a.finalResult()
}

// finalResult returns the last result with the outcome of all attempts combined:
// a request counts as not run only if none of its attempts may have run.
func (a *attempts) finalResult() dispatch.Result {
	result := a.lastResult
	if refused := a.filter.crashMarks.Refused(a.x.Fingerprint); refused != nil {
		result.Refused = refused
	}
	outcome := result.Outcome
	if a.mayHaveRun && outcome == refusal.NotRun {
		outcome = refusal.Unknown
	}
	refused := *result.Refused
	refused.Outcome = outcome
	if outcome == refusal.NotRun && refused.RetryAfter == 0 && refused.Reason().Status >= 500 {
		refused.RetryAfter = noEndpointRetryAfter
	}
	result.Outcome = outcome
	result.Refused = &refused
	return result
}
