package wiring

import (
	"time"

	"flamingospar.org/agent/crashmarks"
	"flamingospar.org/agent/execute"
	"flamingospar.org/agent/pipeline"
	"flamingospar.org/agent/settings"
	"flamingospar.org/agent/status"
	"flamingospar.org/base/netx"
	"flamingospar.org/platform/engine"
	"flamingospar.org/platform/plain"
)

func newCrashes(s settings.Settings, network netx.Network, marks *crashmarks.Filter) *execute.Crashes {
	return execute.NewCrashes(network, s.EndpointURL, s.Instance, marks)
}

func newHealth(crashes *execute.Crashes, st *status.Status) *execute.Health {
	return execute.NewHealth(crashes, st.SetDown)
}

// newExecutor opens a connection to the endpoint, on the same VM, for each run
// whose connection must not have gone silent while it was idle.
func newExecutor(s settings.Settings, network netx.Network, crashes *execute.Crashes, health *execute.Health) pipeline.Executor {
	fresh := netx.UnpooledHTTP1Client(network)
	limits := execute.Limits{First: time.Duration(s.Silence.First), Next: time.Duration(s.Silence.Next)}
	if s.EndpointKind == modelKind {
		return execute.NewModel(engine.NewClient(s.EndpointURL, fresh), crashes, health, limits)
	}
	return execute.NewService(plain.NewClient(s.EndpointURL, netx.HTTP1Client(network), fresh), crashes, health, limits)
}
