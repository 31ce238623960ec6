// Package choose selects the endpoint for an attempt from the entry's view of the
// fleet. The decision itself is made by core/route.
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

// tokenPrices convert token counts to service.
var tokenPrices = admit.DefaultGateSettings().Prices

// Chooser selects the endpoints for the requests of one entry.
type Chooser struct {
	view       *fleet.View
	dataCentre string
}

// New returns a chooser for an entry in the given data centre.
func New(view *fleet.View, dataCentre string) *Chooser {
	return &Chooser{view: view, dataCentre: dataCentre}
}

// Pick is the endpoint selected for an attempt. Done must be called when the attempt
// has ended.
type Pick struct {
	Choice route.Choice
	Agent  *fleet.Agent
	Done   func()
}

// Pick selects the endpoint for the next attempt of x and counts the attempt as
// outstanding. It returns false if no untried endpoint is available.
func (c *Chooser) Pick(x *pipeline.Exchange, tried map[string]bool) (Pick, bool) {
	choice := c.view.Choose(c.request(x, tried))
	x.Choices = append(x.Choices, pipeline.AttemptChoice{At: time.Now(), Choice: choice})
	agent, done, ok := c.view.Begin(choice.Endpoint, urgentTokens(x.Shape))
	return Pick{Choice: choice, Agent: agent, Done: done}, ok
}

// urgentTokens returns the prompt tokens that delay later requests of the most urgent
// class; less urgent requests add none.
func urgentTokens(shape pipeline.Shape) float64 {
	if shape.Class > 0 {
		return 0
	}
	return float64(shape.PromptTokens)
}

// Preview returns the choice for x without starting an attempt.
func (c *Chooser) Preview(x *pipeline.Exchange) route.Choice {
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

// RecordService records the service that the team received from the attempt on pick.
func (c *Chooser) RecordService(pick Pick, x *pipeline.Exchange, figures usage.Figures) {
	prompt := float64(figures.PromptTokens - figures.CachedTokens)
	if service := tokenPrices.Cost(prompt, float64(figures.OutputTokens)); service > 0 {
		c.view.RecordService(pick.Agent, x.Team, x.Shape.Weight, service)
	}
}

// FillRunStart sets the scheduling fields of the message that starts a run. It is
// called for each attempt, because the time left until the first token is due
// decreases.
func (c *Chooser) FillRunStart(pick Pick, x *pipeline.Exchange, start *wirev1.RunStart) {
	start.Weight = x.Shape.Weight
	start.Class = int32(x.Shape.Class)
	start.PromptTokensEstimate = x.Shape.PromptTokens
	start.OutputTokensEstimate = x.Shape.OutputTokens
	start.Prefix = x.Shape.Prefix
	start.PrefixTokens = x.Shape.PrefixTokens
	start.FirstTokenMillis = 0
	// A run that is already late, for example after a fault, is sent without a limit,
	// since a late answer is better than none.
	if left := time.Until(x.Shape.FirstTokenDeadline); !x.Shape.FirstTokenDeadline.IsZero() && left > 0 {
		start.FirstTokenMillis = max(1, left.Milliseconds())
	}
	start.ServiceElsewhere = c.view.ServiceElsewhere(pick.Agent, x.Team)
}
