// Package admit enforces the catalogue's limits at this entry and refuses early
// the requests whose first token can't be in time at any endpoint.
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

// predictedTeams bounds the teams whose output lengths are remembered.
const predictedTeams = 4096

// leastRetryAfter is the shortest time after which a refused caller may come back.
const leastRetryAfter = 100 * time.Millisecond

// Filter is the admit filter. It is safe for concurrent use.
type Filter struct {
	policy  settings.Policy
	view    *fleet.View
	chooser *choose.Chooser
	book    *spending.Planner
	started time.Time
	indexes indexes

	mu        sync.Mutex
	limiter   *admit.Limiter
	predictor *fair.Predictor
}

// New returns the filter.
func New(policy settings.Policy, view *fleet.View, chooser *choose.Chooser, book *spending.Planner) *Filter {
	return &Filter{
		policy:    policy,
		view:      view,
		chooser:   chooser,
		book:      book,
		started:   time.Now(),
		limiter:   admit.NewLimiter(),
		predictor: fair.NewPredictor(float64(policy.OutputGuess), predictedTeams),
	}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "admit" }

// Request implements pipeline.Filter.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	f.shape(x)
	if refused := f.limits(x); refused != nil {
		return refused
	}
	f.offer(x)
	refused := f.firstToken(x)
	if refused != nil {
		f.cancel(x)
		f.book.Refused(x.Model, work(x))
	}
	return refused
}

// Response implements pipeline.Filter.
func (f *Filter) Response(_ context.Context, x *pipeline.Exchange) {
	if x.Kind == match.ModelKind && x.Refused != nil && wantOfCapacity[x.Refused.Code] {
		f.book.Refused(x.Model, work(x))
	}
	f.end(x)
}

// wantOfCapacity holds the refusals that more endpoints would have avoided.
var wantOfCapacity = map[refusal.Code]bool{
	refusal.FirstTokenLate: true,
	refusal.OverShare:      true,
	refusal.QueueFull:      true,
	refusal.NoEndpoint:     true,
}

// end gives back what the request holds of its team's limits.
func (f *Filter) end(x *pipeline.Exchange) {
	bounds := f.boundsOf(x)
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.Outcome == refusal.Ran && x.Kind == match.ModelKind {
		f.predictor.Learn(x.Team, int(x.Figures.OutputTokens))
	}
	actual := float64(x.Figures.PromptTokens + x.Figures.OutputTokens)
	for _, b := range bounds {
		f.limiter.End(b.key, x.Shape.Tokens(), actual)
	}
}

func (f *Filter) offer(x *pipeline.Exchange) {
	if x.Kind == match.ModelKind {
		f.book.Offered(x.Model, work(x))
	}
}

// work returns the service that the request is expected to take, in seconds of
// an endpoint.
func work(x *pipeline.Exchange) float64 {
	prices := admit.DefaultGateSettings().Prices
	return prices.Cost(float64(x.Shape.PromptTokens), float64(x.Shape.OutputTokens))
}

// shape finds out what the policy needs to know of the request.
func (f *Filter) shape(x *pipeline.Exchange) {
	found := f.indexes.of(x.State.Catalogue)
	x.Shape.Weight = found.weight(x.Team)
	x.Shape.Class = classNumber(found.class(x))
	if x.Kind != match.ModelKind {
		return
	}
	body := measure(x.Body, f.policy.PrefixBytes)
	x.Shape.PromptTokens = body.promptTokens
	x.Shape.Prefix = body.prefix
	x.Shape.PrefixTokens = body.prefixTokens
	f.mu.Lock()
	x.Shape.OutputTokens = int64(f.predictor.Predict(x.Team, body.maxTokens))
	f.mu.Unlock()
	if found.class(x) == catalogue.Interactive {
		x.Shape.FirstTokenBy = x.Arrived.Add(time.Duration(f.policy.FirstToken))
	}
}

// firstToken refuses a request that would wait too long at the best endpoint.
// A team below its share is let through: the endpoint's queue serves it first.
func (f *Filter) firstToken(x *pipeline.Exchange) *refusal.Refusal {
	if !f.policy.EarlyRefusal || x.Shape.FirstTokenBy.IsZero() {
		return nil
	}
	choice := f.chooser.Look(x)
	wait := time.Duration(choice.Wait * float64(time.Second))
	late := wait - time.Until(x.Shape.FirstTokenBy)
	if choice.Endpoint == "" || late <= 0 || !f.view.OverShare(x.Team) {
		return nil
	}
	return refusal.New(refusal.FirstTokenLate, "the first token would come in %v", wait.Round(time.Millisecond)).WithRetryAfter(max(late, leastRetryAfter))
}

// limits counts the request against all its limits, or against none when one
// of them is reached.
func (f *Filter) limits(x *pipeline.Exchange) *refusal.Refusal {
	bounds := f.boundsOf(x)
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, b := range bounds {
		decision := f.limiter.Begin(time.Since(f.started), b.key, b.limits, x.Shape.Tokens())
		if decision.OK() {
			continue
		}
		for _, held := range bounds[:n] {
			f.limiter.Cancel(held.key, x.Shape.Tokens())
		}
		return refusal.New(codes[decision.Reason], "%s reached its limit at this entry", b.key).WithRetryAfter(decision.RetryAfter)
	}
	return nil
}

// cancel takes back what limits counted for a request that is refused here.
func (f *Filter) cancel(x *pipeline.Exchange) {
	bounds := f.boundsOf(x)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range bounds {
		f.limiter.Cancel(b.key, x.Shape.Tokens())
	}
}

var codes = map[admit.Reason]refusal.Code{
	admit.OverRequestRate: refusal.OverRequestRate,
	admit.OverTokenRate:   refusal.OverTokenRate,
	admit.OverConcurrency: refusal.OverConcurrency,
}

func classNumber(class catalogue.Class) int {
	switch class {
	case catalogue.Interactive:
		return 0
	case catalogue.Batch:
		return 2
	default:
		return 1
	}
}
