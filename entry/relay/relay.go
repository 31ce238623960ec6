// Package relay chooses an endpoint, runs the request on it and forwards the
// response. After a failed attempt, core/retry decides whether to restart the
// run on another endpoint, resume it after the tokens already received, or fail
// the request.
package relay

import (
	"context"
	"time"

	"flamingospar.org/core/crash"
	"flamingospar.org/core/refusal"
	"flamingospar.org/core/usage"
	"flamingospar.org/entry/choose"
	"flamingospar.org/entry/dispatch"
	"flamingospar.org/entry/match"
	"flamingospar.org/entry/pipeline"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	// noEndpointRetryAfter is the Retry-After of requests that no endpoint ran.
	noEndpointRetryAfter = 1 * time.Second
	// readyTimeout is how long a request waits for an endpoint to become ready
	// after an attempt failed with a fault.
	readyTimeout      = 4 * time.Second
	readyPollInterval = 100 * time.Millisecond
)

// CrashMarks records the requests that were running when endpoints crashed.
type CrashMarks interface {
	// Refused returns the refusal of a request that must not run again, or nil.
	Refused(crash.Fingerprint) *refusal.Refusal
	// Suspect reports whether the request was running during a crash.
	Suspect(crash.Fingerprint) bool
	// RecordCrash records that the request was running during a crash. It returns
	// when the agents have been notified or a short timeout has passed.
	RecordCrash(ctx context.Context, fingerprint crash.Fingerprint, team, crashID string)
	// Survived records that a suspect request completed without a crash.
	Survived(crash.Fingerprint)
}

// Filter is the last filter of the chain and runs the request.
type Filter struct {
	chooser    *choose.Chooser
	dispatcher *dispatch.Dispatcher
	crashMarks CrashMarks
	counter    pipeline.Counter
	instance   string
	budget     *budget
}

// New returns a filter for the entry process with the given instance ID.
func New(instance string, chooser *choose.Chooser, dispatcher *dispatch.Dispatcher, crashMarks CrashMarks, counter pipeline.Counter) *Filter {
	return &Filter{
		chooser:    chooser,
		dispatcher: dispatcher,
		crashMarks: crashMarks,
		counter:    counter,
		instance:   instance,
		budget:     newBudget(),
	}
}

// Name returns "relay".
func (f *Filter) Name() string { return "relay" }

// Response does nothing.
func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

// Request runs the request and writes its response.
func (f *Filter) Request(ctx context.Context, x *pipeline.Exchange) *refusal.Refusal {
	if !x.Repeatable {
		// The run continues after the caller disconnects, so that its outcome
		// becomes known.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	response, start, refused := f.prepare(x)
	if refused != nil {
		return refused
	}
	p := &progress{response: response, isModel: x.Kind == match.ModelKind}
	a := &attempts{filter: f, x: x, template: start, progress: p, tried: make(map[string]bool)}
	result := a.run(ctx)
	if result.Refused != nil {
		return f.chargeCancelled(x, result, p)
	}
	x.Outcome = refusal.Ran
	x.Figures = figuresFromUsage(result.Usage)
	if err := response.Finish(result.FinishReason, result.Usage); err != nil {
		f.counter.Count("caller_left")
	}
	return nil
}

// chargeCancelled returns the refusal of a request without a complete response.
// A run cut short because its caller disconnected is charged for the tokens
// generated until then; a run that failed for another reason is not charged.
func (f *Filter) chargeCancelled(x *pipeline.Exchange, result dispatch.Result, p *progress) *refusal.Refusal {
	refused := *result.Refused
	if refused.Code != refusal.CallerLeft || result.Outcome == refusal.NotRun {
		return &refused
	}
	f.counter.Count("caller_left")
	reported := result.Usage
	if reported == nil {
		reported = &wirev1.Usage{OutputTokens: p.tokens}
	}
	x.Figures = figuresFromUsage(reported)
	refused.Outcome = refusal.Ran
	return &refused
}

func figuresFromUsage(reported *wirev1.Usage) usage.Figures {
	return usage.Figures{
		Requests:     1,
		PromptTokens: reported.GetPromptTokens(),
		CachedTokens: reported.GetCachedTokens(),
		OutputTokens: reported.GetOutputTokens(),
	}
}
