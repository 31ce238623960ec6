// Package choose picks the endpoint for an attempt from the entry's view of the
// fleet. The decision itself is core/route's.
package choose

import (
	"time"

	"flamingospar.org/core/route"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/entry/pipeline"
)

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
	request := route.Request{Kind: x.Kind, Model: x.Model, DataCentre: c.dataCentre, Avoid: tried}
	choice := route.Choose(request, c.view.Candidates())
	x.Choices = append(x.Choices, pipeline.Chosen{At: time.Now(), Choice: choice})
	agent, done, ok := c.view.Begin(choice.Endpoint)
	return Pick{Choice: choice, Agent: agent, Done: done}, ok
}
