package wiring

import (
	"flamingospar.org/agent/pipeline"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/refusal"
)

// declareCounters exports the counter of each refusal reason and filter before
// its first increment.
func declareCounters(registry *meter.Registry, chain *pipeline.Chain) {
	for code := range refusal.Reasons {
		registry.Declare("refused", string(code))
	}
	for _, name := range chain.Names() {
		registry.Declare("filter", name)
	}
}
