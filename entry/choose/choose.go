// Package choose picks the endpoint for an attempt from the entry's view of the
// fleet. The decision itself is core/route's.
package choose

import (
	"math/rand/v2"
	"time"

	"flamingospar.org/core/admit"
	"flamingospar.org/core/route"
	"flamingospar.org/core/usage"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/entry/pipeline"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// prices turn tokens into service.
var prices = admit.DefaultGateSettings().Prices

// Chooser picks endpoints for requests of one entry.
type Chooser struct {
	view       *fleet.View
	dataCentre string
}

// New returns a chooser for an entry in dataCentre.
func New(view *fleet.View, dataCentre string) *Chooser {
	return &Chooser{view: view, dataCentre: dataCentre}
}

// Pick is a chosen endpoint. Done must be called when the attempt has ended.
type Pick struct {
	Choice route.Choice
	Agent  *fleet.Agent
	Done   func()
}

// Pick returns the endpoint for the next attempt of x, or false when none is
// left beside those already tried.
func (c *Chooser) Pick(x *pipeline.Exchange, tried map[string]bool) (Pick, bool) {
	choice := c.view.Choose(c.request(x, tried))
	x.Choices = append(x.Choices, pipeline.Chosen{At: time.Now(), Choice: choice})
	agent, done, ok := c.view.Begin(choice.Endpoint, urgentTokens(x.Shape))
	return Pick{Choice: choice, Agent: agent, Done: done}, ok
}

// urgentTokens returns the prompt tokens that add to what urgent requests wait for.
func urgentTokens(shape pipeline.Shape) float64 {
	if shape.Class > 0 {
		return 0
	}
	return float64(shape.PromptTokens)
}

// Look returns the choice for x without beginning an attempt.
func (c *Chooser) Look(x *pipeline.Exchange) route.Choice {
	return c.view.Choose(c.request(x, nil))
}

func (c *Chooser) request(x *pipeline.Exchange, tried map[string]bool) route.Request {
	return route.Request{
		Kind:         x.Kind,
		Model:        x.Model,
		DataCentre:   c.dataCentre,
		Avoid:        tried,
		PromptTokens: float64(x.Shape.PromptTokens),
		Prefix:       x.Shape.Prefix,
		PrefixTokens: float64(x.Shape.PrefixTokens),
		Seed:         rand.Uint64(),
	}
}

// Served tells the view what service the attempt on pick was given.
func (c *Chooser) Served(pick Pick, x *pipeline.Exchange, figures usage.Figures) {
	prompt := float64(figures.PromptTokens - figures.CachedTokens)
	if service := prices.Cost(prompt, float64(figures.OutputTokens)); service > 0 {
		c.view.Served(pick.Agent, x.Team, x.Shape.Weight, service)
	}
}

// Describe tells the agent what the policy knows of x. It is called again for
// each attempt, since the time left for the first token shrinks.
func (c *Chooser) Describe(pick Pick, x *pipeline.Exchange, start *wirev1.RunStart) {
	start.Weight = x.Shape.Weight
	start.Class = int32(x.Shape.Class)
	start.PromptTokensEstimate = x.Shape.PromptTokens
	start.OutputTokensEstimate = x.Shape.OutputTokens
	start.Prefix = x.Shape.Prefix
	start.PrefixTokens = x.Shape.PrefixTokens
	start.FirstTokenMillis = 0
	// A run that is late already, as after a fault, had better come than not.
	if left := time.Until(x.Shape.FirstTokenBy); !x.Shape.FirstTokenBy.IsZero() && left > 0 {
		start.FirstTokenMillis = max(1, left.Milliseconds())
	}
	start.ServiceElsewhere = c.view.ServiceElsewhere(pick.Agent, x.Team)
}
