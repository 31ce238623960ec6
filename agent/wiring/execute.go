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

func newCrashDetector(s settings.Settings, network netx.Network, marks *crashmarks.Filter) *execute.CrashDetector {
	return execute.NewCrashDetector(network, s.EndpointURL, s.Instance, marks)
}

func newHealthChecker(detector *execute.CrashDetector, st *status.Status) *execute.HealthChecker {
	return execute.NewHealthChecker(detector, st.SetDown)
}

// newExecutor gives the executor an unpooled client for runs that must not use a
// connection that may have died while idle. Such a run opens a new connection to
// the endpoint, which is on the same VM.
func newExecutor(s settings.Settings, network netx.Network, detector *execute.CrashDetector, health *execute.HealthChecker) pipeline.Executor {
	unpooled := netx.UnpooledHTTP1Client(network)
	limits := execute.SilenceLimits{First: time.Duration(s.Silence.First), Next: time.Duration(s.Silence.Next)}
	if s.EndpointKind == modelKind {
		return execute.NewModelExecutor(engine.NewClient(s.EndpointURL, unpooled), detector, health, limits)
	}
	return execute.NewServiceExecutor(plain.NewClient(s.EndpointURL, netx.HTTP1Client(network), unpooled), detector, health, limits)
}
