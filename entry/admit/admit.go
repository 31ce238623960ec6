// Package admit enforces the catalogue's limits at this entry and refuses requests
// early if no endpoint can produce the first token in time.
package admit

import (
	"context"
	"sync"
	"time"

	"flamingospar.org/core/admit"
	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/fair"
	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/choose"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/entry/match"
	"flamingospar.org/entry/pipeline"
	"flamingospar.org/entry/settings"
	"flamingospar.org/entry/spending"
)

// maxPredictedTeams limits the teams for which output lengths are predicted.
const maxPredictedTeams = 4096

// minRetryAfter is the minimum Retry-After of a refusal for a late first token.
const minRetryAfter = 100 * time.Millisecond

// Filter is the pipeline filter that admits requests. It is safe for concurrent
// use.
type Filter struct {
	policy     settings.Policy
	view       *fleet.View
	chooser    *choose.Chooser
	planner    *spending.Planner
	started    time.Time
	indexCache indexCache

	mu        sync.Mutex
	limiter   *admit.Limiter
	predictor *fair.Predictor
}

// New returns the filter.
func New(policy settings.Policy, view *fleet.View, chooser *choose.Chooser, planner *spending.Planner) *Filter {
	return &Filter{
		policy:    policy,
		view:      view,
		chooser:   chooser,
		planner:   planner,
		started:   time.Now(),
		limiter:   admit.NewLimiter(),
		predictor: fair.NewPredictor(float64(policy.DefaultOutputTokens), maxPredictedTeams),
	}
}

func (f *Filter) Name() string { return "admit" }

// Request sets the request's shape and refuses the request if a limit is reached
// or its first token would be late.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	f.setShape(x)
	if refused := f.reserveLimits(x); refused != nil {
		return refused
	}
	f.recordOffered(x)
	refused := f.checkFirstToken(x)
	if refused != nil {
		f.cancelLimits(x)
		f.planner.Refused(x.Model, expectedWork(x))
	}
	return refused
}

// Response releases the limits and reports refused work to the planner.
func (f *Filter) Response(_ context.Context, x *pipeline.Exchange) {
	if x.Kind == match.ModelKind && x.Refused != nil && capacityShortage[x.Refused.Code] {
		f.planner.Refused(x.Model, expectedWork(x))
	}
	f.releaseLimits(x)
}

// capacityShortage is the set of refusals that more endpoints would have avoided.
var capacityShortage = map[refusal.Code]bool{
	refusal.FirstTokenLate: true,
	refusal.OverShare:      true,
	refusal.QueueFull:      true,
	refusal.NoEndpoint:     true,
}

// releaseLimits ends the request at all its limits and updates the output prediction.
func (f *Filter) releaseLimits(x *pipeline.Exchange) {
	applied := f.limitsFor(x)
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.Outcome == refusal.Ran && x.Kind == match.ModelKind {
		f.predictor.Learn(x.Team, int(x.Figures.OutputTokens))
	}
	actual := float64(x.Figures.PromptTokens + x.Figures.OutputTokens)
	for _, b := range applied {
		f.limiter.End(b.key, x.Shape.Tokens(), actual)
	}
}

func (f *Filter) recordOffered(x *pipeline.Exchange) {
	if x.Kind == match.ModelKind {
		f.planner.Offered(x.Model, expectedWork(x))
	}
}

// expectedWork returns the expected cost of the request in endpoint seconds.
func expectedWork(x *pipeline.Exchange) float64 {
	prices := admit.DefaultGateSettings().Prices
	return prices.Cost(float64(x.Shape.PromptTokens), float64(x.Shape.OutputTokens))
}

// setShape sets x.Shape from the catalogue, the body and the output prediction.
func (f *Filter) setShape(x *pipeline.Exchange) {
	found := f.indexCache.get(x.State.Catalogue)
	x.Shape.Weight = found.weight(x.Team)
	x.Shape.Class = classPriority(found.class(x))
	if x.Kind != match.ModelKind {
		return
	}
	body := measureBody(x.Body, f.policy.PrefixBytes)
	x.Shape.PromptTokens = body.promptTokens
	x.Shape.Prefix = body.prefix
	x.Shape.PrefixTokens = body.prefixTokens
	f.mu.Lock()
	x.Shape.OutputTokens = int64(f.predictor.Predict(x.Team, body.maxTokens))
	f.mu.Unlock()
	if found.class(x) == catalogue.Interactive {
		x.Shape.FirstTokenDeadline = x.ArrivedAt.Add(time.Duration(f.policy.FirstToken))
	}
}

// checkFirstToken refuses a request whose first token would miss its deadline at
// the best endpoint. A team below its share is not refused, since the endpoint's
// queue serves it first.
func (f *Filter) checkFirstToken(x *pipeline.Exchange) *refusal.Refusal {
	if !f.policy.EarlyRefusal || x.Shape.FirstTokenDeadline.IsZero() {
		return nil
	}
	choice := f.chooser.Preview(x)
	wait := time.Duration(choice.Wait * float64(time.Second))
	delay := wait - time.Until(x.Shape.FirstTokenDeadline)
	if choice.Endpoint == "" || delay <= 0 || !f.view.OverShare(x.Team) {
		return nil
	}
	return refusal.New(refusal.FirstTokenLate, "the first token would come in %v", wait.Round(time.Millisecond)).WithRetryAfter(max(delay, minRetryAfter))
}

// reserveLimits counts the request against all its limits, or against none of them
// if one is reached.
func (f *Filter) reserveLimits(x *pipeline.Exchange) *refusal.Refusal {
	applied := f.limitsFor(x)
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, b := range applied {
		decision := f.limiter.Begin(time.Since(f.started), b.key, b.limits, x.Shape.Tokens())
		if decision.OK() {
			continue
		}
		for _, reserved := range applied[:n] {
			f.limiter.Cancel(reserved.key, x.Shape.Tokens())
		}
		return refusal.New(refusalCodes[decision.Reason], "%s reached its limit at this entry", b.key).WithRetryAfter(decision.RetryAfter)
	}
	return nil
}

// cancelLimits undoes reserveLimits for a request that this filter refuses.
func (f *Filter) cancelLimits(x *pipeline.Exchange) {
	applied := f.limitsFor(x)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range applied {
		f.limiter.Cancel(b.key, x.Shape.Tokens())
	}
}

var refusalCodes = map[admit.Reason]refusal.Code{
	admit.OverRequestRate: refusal.OverRequestRate,
	admit.OverTokenRate:   refusal.OverTokenRate,
	admit.OverConcurrency: refusal.OverConcurrency,
}

func classPriority(class catalogue.Class) int {
	switch class {
	case catalogue.Interactive:
		return 0
	case catalogue.Batch:
		return 2
	default:
		return 1
	}
}
