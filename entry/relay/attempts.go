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

// attempts is the state of one request over its attempts.
type attempts struct {
	filter    *Filter
	x         *pipeline.Exchange
	base      *wirev1.RunStart
	progress  *progress
	tried     map[string]bool
	handovers int
	last      dispatch.Result
	// began says that one of the attempts may have begun.
	began bool
}

// run attempts the request until it has a final result.
func (a *attempts) run(ctx context.Context) dispatch.Result {
	f := a.filter
	f.budget.request()
	for {
		pick, ok := a.pick(ctx)
		if !ok {
			return a.noneReady()
		}
		a.last = a.send(ctx, pick)
		if a.last.Refused == nil {
			return a.last
		}
		if !a.next(ctx) {
			return a.final()
		}
	}
}

// pick chooses an endpoint. A request that has lost an attempt waits a little
// for one to become ready again, since a fault may have hit all of them; then
// it may also go where it failed before.
func (a *attempts) pick(ctx context.Context) (choose.Pick, bool) {
	pick, ok := a.filter.chooser.Pick(a.x, a.tried)
	for waited := time.Duration(0); !ok && a.lost() && waited < readyWait; waited += readyPoll {
		if !clock.Sleep(ctx, readyPoll) {
			return choose.Pick{}, false
		}
		pick, ok = a.filter.chooser.Pick(a.x, nil)
	}
	return pick, ok
}

// faults are the codes of attempts lost to a fault, unlike those refused by an
// endpoint that is at work.
var faults = map[refusal.Code]bool{
	refusal.EndpointChanging: true,
	refusal.EndpointCrashed:  true,
	refusal.EndpointDown:     true,
	refusal.EndpointFailed:   true,
	refusal.EndpointSilent:   true,
	refusal.NoEndpoint:       true,
	refusal.RunOtherInstance: true,
	refusal.Draining:         true,
}

func (a *attempts) lost() bool { return a.last.Refused != nil && faults[a.last.Refused.Code] }

func (a *attempts) send(ctx context.Context, pick choose.Pick) dispatch.Result {
	a.x.Attempts++
	start := proto.Clone(a.base).(*wirev1.RunStart)
	start.RunId = fmt.Sprintf("%s/%d", a.x.ID, a.x.Attempts)
	start.Endpoint = pick.Choice.Endpoint
	start.Suspect = a.filter.marks.Suspect(a.x.Fingerprint)
	a.filter.chooser.Describe(pick, a.x, start)
	a.progress.continueIn(start)
	result := a.filter.dispatcher.Send(ctx, pick.Agent, start, a.progress)
	pick.Done()
	a.filter.chooser.Served(pick, a.x, figuresOf(result.Usage))
	a.tried[pick.Choice.Endpoint] = true
	a.began = a.began || result.Outcome != refusal.NotRun
	if result.CrashID != "" {
		a.filter.marks.Crashed(ctx, a.x.Fingerprint, a.x.Team, result.CrashID)
	}
	if result.Refused == nil && start.Suspect {
		a.filter.marks.Survived(a.x.Fingerprint)
	}
	return result
}

// next decides whether another attempt follows and waits until it may start.
func (a *attempts) next(ctx context.Context) bool {
	f := a.filter
	if f.marks.Refused(a.x.Fingerprint) != nil || ctx.Err() != nil {
		return false
	}
	ended := retry.EndedAttempt{
		Outcome:    a.last.Outcome,
		Code:       a.last.Refused.Code,
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
	f.counter.Count(kindNames[decision.Kind], string(ended.Code))
	return clock.Sleep(ctx, decision.Backoff)
}

// kindNames are the counters of attempts after the first.
var kindNames = map[retry.Kind]string{retry.Restart: "retried", retry.Resume: "resumed", retry.Handover: "handed_over"}

// noneReady is the result when no endpoint is left to try.
func (a *attempts) noneReady() dispatch.Result {
	if a.last.Refused == nil {
		refused := refusal.New(refusal.NoEndpoint, "no endpoint is ready for %s %s", a.x.Kind, a.x.Model).WithRetryAfter(noEndpointAfter)
		return dispatch.Result{Outcome: refusal.NotRun, Refused: refused}
	}
	a.filter.counter.Count("retry_denied", string(retry.DeniedNoEndpoint))
	return a.final()
}

// final is the last result, made true for all attempts together: a request is
// not run only if none of its attempts may have begun.
func (a *attempts) final() dispatch.Result {
	result := a.last
	if refused := a.filter.marks.Refused(a.x.Fingerprint); refused != nil {
		result.Refused = refused
	}
	outcome := result.Outcome
	if a.began && outcome == refusal.NotRun {
		outcome = refusal.Unknown
	}
	refused := *result.Refused
	refused.Outcome = outcome
	if outcome == refusal.NotRun && refused.RetryAfter == 0 && refused.Reason().Status >= 500 {
		refused.RetryAfter = noEndpointAfter
	}
	result.Outcome = outcome
	result.Refused = &refused
	return result
}
