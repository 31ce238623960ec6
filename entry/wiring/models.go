package wiring

import (
	"flamingospar.org/base/meter"
	"flamingospar.org/entry/accept"
	"flamingospar.org/entry/authenticate"
	"flamingospar.org/entry/configview"
	"flamingospar.org/entry/models"
	"flamingospar.org/entry/pipeline"
	"flamingospar.org/entry/render"
)

// modelsChain is the pipeline for requests for the list of models. It is a type of
// its own because dig resolves dependencies by type.
type modelsChain struct {
	*pipeline.Chain
}

func newModelsChain(registry *meter.Registry, c *configview.View) *modelsChain {
	chain := pipeline.New(registry, render.Refusal, accept.New(), authenticate.New(c), models.New())
	return &modelsChain{Chain: chain}
}
