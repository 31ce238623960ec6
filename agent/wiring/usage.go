package wiring

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/dig"

	"flamingospar.org/agent/account"
	"flamingospar.org/agent/settings"
	"flamingospar.org/base/meter"
	"flamingospar.org/base/netx"
	"flamingospar.org/platform/httpapi"
)

// usageParts account for the agent's runs.
type usageParts struct {
	dig.In

	Service *account.Service
	Writer  *account.Writer
}

// start runs the writer; the returned function makes it write all that is held
// and waits for it.
func (u usageParts) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		u.Writer.Run(ctx)
	}()
	return func() {
		cancel()
		running.Wait()
	}
}

// newUsageLedger gives each start of the process a source of its own, also when
// the settings fix the instance's name.
func newUsageLedger(s settings.Settings) *account.Ledger {
	return account.NewLedger(s.Instance+"."+uuid.NewString()[:8], s.EndpointKind)
}

func newUsageWriter(s settings.Settings, network netx.Network, ledger *account.Ledger, registry *meter.Registry) *account.Writer {
	client := httpapi.New(s.PlatformURL, netx.HTTP1Client(network))
	return account.NewWriter(ledger, client, time.Duration(s.Usage.Hold), registry)
}
