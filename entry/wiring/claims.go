package wiring

import (
	"time"

	"flamingospar.org/base/meter"
	"flamingospar.org/entry/claim"
	"flamingospar.org/entry/crashmarks"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/entry/settings"
	"flamingospar.org/platform/httpapi"
)

func newCrashMarkFilter(c *httpapi.Client, view *fleet.View) *crashmarks.Filter {
	return crashmarks.New(crashmarks.NewAgents(view), c)
}

func newClaimFinisher(c *httpapi.Client, registry *meter.Registry) *claim.OutcomeWriter {
	return claim.NewOutcomeWriter(c, c.Objects(), registry)
}

func newClaimRegistry(c *httpapi.Client) *claim.Registry {
	return claim.NewRegistry(c, c.Objects())
}

func newClaimFilter(s settings.Settings, c *httpapi.Client, finisher *claim.OutcomeWriter, registry *meter.Registry) *claim.Filter {
	return claim.New(c, c.Objects(), finisher, registry, time.Duration(s.ClaimRetention))
}
