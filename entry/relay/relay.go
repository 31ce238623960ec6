// Package relay chooses an endpoint, runs the request there and passes the
// answer on. What follows a failed attempt is core/retry's decision: again
// elsewhere, on from the tokens that came, or no more.
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
	noEndpointAfter = 1 * time.Second
	// readyWait is how long a request that lost an attempt waits for an
	// endpoint to become ready.
	readyWait = 4 * time.Second
	readyPoll = 100 * time.Millisecond
)

// CrashMarks knows the requests that were running when endpoints crashed.
type CrashMarks interface {
	// Refused returns the refusal of a request that is run no more, else nil.
	Refused(crash.Fingerprint) *refusal.Refusal
	// Suspect reports whether the request was running at a crash.
	Suspect(crash.Fingerprint) bool
	// Crashed records that the request was running at a crash and returns when
	// the agents have been told or a short time has passed.
	Crashed(ctx context.Context, fingerprint crash.Fingerprint, team, crashID string)
	// Survived records that a suspect ran to its end.
	Survived(crash.Fingerprint)
}

// Filter is the last filter of the chain.
type Filter struct {
	chooser    *choose.Chooser
	dispatcher *dispatch.Dispatcher
	marks      CrashMarks
	counter    pipeline.Counter
	instance   string
	budget     *budget
}

// New returns the filter of the entry process instance.
func New(instance string, chooser *choose.Chooser, dispatcher *dispatch.Dispatcher, marks CrashMarks, counter pipeline.Counter) *Filter {
	return &Filter{
		chooser:    chooser,
		dispatcher: dispatcher,
		marks:      marks,
		counter:    counter,
		instance:   instance,
		budget:     newBudget(),
	}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "relay" }

// Response implements pipeline.Filter.
func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

// Request implements pipeline.Filter.
func (f *Filter) Request(ctx context.Context, x *pipeline.Exchange) *refusal.Refusal {
	if !x.Repeatable {
		// The run goes on when its caller leaves, so that its end is known.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	answer, start, refused := f.prepare(x)
	if refused != nil {
		return refused
	}
	p := &progress{answer: answer, isModel: x.Kind == match.ModelKind}
	all := &attempts{filter: f, x: x, base: start, progress: p, tried: make(map[string]bool)}
	result := all.run(ctx)
	if result.Refused != nil {
		return f.notAnswered(x, result, p)
	}
	x.Outcome = refusal.Ran
	x.Figures = figuresOf(result.Usage)
	if err := answer.Finish(result.FinishReason, result.Usage); err != nil {
		f.counter.Count("caller_left")
	}
	return nil
}

// notAnswered bills a run that was cut short because its caller left: for what
// was generated until then. Nobody pays for a run that failed on our side.
func (f *Filter) notAnswered(x *pipeline.Exchange, result dispatch.Result, p *progress) *refusal.Refusal {
	refused := *result.Refused
	if refused.Code != refusal.CallerLeft || result.Outcome == refusal.NotRun {
		return &refused
	}
	f.counter.Count("caller_left")
	reported := result.Usage
	if reported == nil {
		reported = &wirev1.Usage{OutputTokens: p.tokens}
	}
	x.Figures = figuresOf(reported)
	refused.Outcome = refusal.Ran
	return &refused
}

func figuresOf(reported *wirev1.Usage) usage.Figures {
	return usage.Figures{
		Requests:     1,
		PromptTokens: reported.GetPromptTokens(),
		CachedTokens: reported.GetCachedTokens(),
		OutputTokens: reported.GetOutputTokens(),
	}
}
