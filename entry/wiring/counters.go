package wiring

import (
	"flamingospar.org/base/meter"
	"flamingospar.org/core/refusal"
)

// declareCounters creates the counters of refusal reasons, retry reasons, filters
// and file reloads, so that they are exported before their first event.
func (e *Entry) declareCounters() {
	declareReasons(e.Meter)
	for _, name := range append(e.Chain.Names(), e.Models.Names()...) {
		e.Meter.Declare("filter", name)
	}
	for _, event := range []string{"reloaded", "reload_failed"} {
		e.Meter.Declare("tls", event)
		e.Meter.Declare("operators", event)
	}
}

func declareReasons(registry *meter.Registry) {
	for code := range refusal.Reasons {
		registry.Declare("refused", string(code))
		registry.Declare("retried", string(code))
	}
}
