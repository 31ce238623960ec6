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

func newCrashMarks(c *httpapi.Client, view *fleet.View) *crashmarks.Filter {
	return crashmarks.New(crashmarks.NewAgents(view), c)
}

func newClaimFinisher(c *httpapi.Client, registry *meter.Registry) *claim.Finisher {
	return claim.NewFinisher(c, c.Objects(), registry)
}

func newClaimRegister(c *httpapi.Client) *claim.Register {
	return claim.NewRegister(c, c.Objects())
}

func newClaims(s settings.Settings, c *httpapi.Client, finisher *claim.Finisher, registry *meter.Registry) *claim.Filter {
	return claim.New(c, c.Objects(), finisher, registry, time.Duration(s.ClaimRetention))
}
