package wiring

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/dig"

	"flamingospar.org/agent/account"
	"flamingospar.org/agent/explain"
	"flamingospar.org/agent/settings"
	"flamingospar.org/base/journal"
	"flamingospar.org/base/meter"
	"flamingospar.org/base/netx"
	"flamingospar.org/platform/httpapi"
)

// agentEvents is the size of the journal: some minutes of one endpoint's runs.
const agentEvents = 4096

// usageParts account for the agent's runs and explain them.
type usageParts struct {
	dig.In

	Service *account.Service
	Writer  *account.Writer
	Observe *explain.Service
	Journal *journal.Journal
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

func newJournal(s settings.Settings) *journal.Journal {
	return journal.New(s.Instance, agentEvents)
}

func newObserver(s settings.Settings, j *journal.Journal) *explain.Observer {
	return explain.NewObserver(j, s.Endpoint)
}

// Journal returns the agent's journal, for the process' log lines.
func (a *Agent) Journal() *journal.Journal { return a.usage.Journal }
