package wiring

import (
	"time"

	"github.com/google/uuid"

	"flamingospar.org/base/meter"
	"flamingospar.org/base/netx"
	"flamingospar.org/entry/account"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/entry/sealing"
	"flamingospar.org/entry/settings"
	"flamingospar.org/platform/httpapi"
)

func newUsageInterceptor(s settings.Settings, records *account.Ring, acks *account.Acks, counts *account.Counts, registry *meter.Registry) *account.Interceptor {
	return account.NewInterceptor(records, acks, counts, time.Duration(s.UsageWindow), registry)
}

// newUsageWriter returns a writer that names its batches after the instance and a
// random suffix, so that batch names are unique to each start of the process even
// if the settings fix the name of the instance.
func newUsageWriter(s settings.Settings, c *httpapi.Client, records *account.Ring, acks *account.Acks, view *fleet.View, registry *meter.Registry) *account.Writer {
	instance := s.Instance + "." + uuid.NewString()[:instanceSuffixLen]
	return account.NewWriter(c, records, acks, view, instance, time.Duration(s.UsageFlush), registry)
}

func newSealer(s settings.Settings, network netx.Network, c *httpapi.Client, keeper *leasekeeper.Keeper, registry *meter.Registry) *sealing.Sealer {
	config := sealing.Config{
		Window:               time.Duration(s.UsageWindow),
		Grace:                time.Duration(s.UsageGrace),
		IdleClose:            time.Duration(s.Usage.IdleClose),
		RecordRetention:      time.Duration(s.Usage.Remember),
		SealedRetention:      time.Duration(s.Usage.Keep),
		MaxConcurrentReports: sealing.DefaultMaxConcurrentReports,
	}
	allow := func() error { return sealing.CheckReportAllowed(keeper, config.IdleClose) }
	reports := httpapi.New(s.PlatformURL, netx.HTTP1Client(netx.Guarded(network, allow)))
	return sealing.New(c, reports, keeper, config, registry)
}
