// Package admit enforces the limits of teams at this entry and refuses early
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
	started time.Time

	mu        sync.Mutex
	limiter   *admit.Limiter
	predictor *fair.Predictor
}

// New returns the filter.
func New(policy settings.Policy, view *fleet.View, chooser *choose.Chooser) *Filter {
	return &Filter{
		policy:    policy,
		view:      view,
		chooser:   chooser,
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
	if refused := f.firstToken(x); refused != nil {
		return refused
	}
	return f.limits(x)
}

// Response implements pipeline.Filter.
func (f *Filter) Response(_ context.Context, x *pipeline.Exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.Outcome == refusal.Ran && x.Kind == match.ModelKind {
		f.predictor.Learn(x.Team, int(x.Figures.OutputTokens))
	}
	actual := float64(x.Figures.PromptTokens + x.Figures.OutputTokens)
	f.limiter.End(x.Team, x.Shape.Tokens(), actual)
}

// shape finds out what the policy needs to know of the request.
func (f *Filter) shape(x *pipeline.Exchange) {
	team, _ := x.State.Catalogue.FindTeam(x.Team)
	x.Shape.Weight = team.Weight
	x.Shape.Class = classNumber(classOf(x))
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
	if classOf(x) == catalogue.Interactive {
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
	return refusal.New(refusal.FirstTokenLate, "the first token would come in %v", wait.Round(time.Millisecond)).After(max(late, leastRetryAfter))
}

func (f *Filter) limits(x *pipeline.Exchange) *refusal.Refusal {
	if x.Team == "" {
		return nil
	}
	limits := f.limitsOf(x)
	f.mu.Lock()
	decision := f.limiter.Begin(time.Since(f.started), x.Team, limits, x.Shape.Tokens())
	f.mu.Unlock()
	if decision.OK() {
		return nil
	}
	return refusal.New(codes[decision.Reason], "team %s reached its limit at this entry", x.Team).After(decision.RetryAfter)
}

var codes = map[admit.Reason]refusal.Code{
	admit.OverRequestRate: refusal.OverRequestRate,
	admit.OverTokenRate:   refusal.OverTokenRate,
	admit.OverConcurrency: refusal.OverConcurrency,
}

// limitsOf returns this entry's part of the team's limits.
func (f *Filter) limitsOf(x *pipeline.Exchange) admit.Limits {
	team, ok := x.State.Catalogue.FindTeam(x.Team)
	if !ok || team.Limits == nil {
		return admit.Limits{}
	}
	whole := admit.Limits{
		RequestsPerSecond: team.Limits.RequestsPerSecond,
		TokensPerSecond:   team.Limits.TokensPerSecond,
		Concurrent:        team.Limits.Concurrent,
	}
	return whole.Share(f.view.Fraction(x.Team))
}

func classOf(x *pipeline.Exchange) catalogue.Class {
	if model, ok := x.State.Catalogue.FindModel(x.Model); ok {
		return model.Class
	}
	for _, route := range x.State.Catalogue.Routes {
		if route.Name == x.Route {
			return route.Class
		}
	}
	return catalogue.Standard
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
