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

// journalSize is the journal's capacity in events: some minutes of one endpoint's
// runs.
const journalSize = 4096

// usageServices are the components that meter the agent's runs and explain them.
type usageServices struct {
	dig.In

	Service *account.Service
	Writer  *account.Writer
	Observe *explain.Service
	Journal *journal.Journal
}

// start runs the writer. The returned function stops it and waits until it has
// written the remaining records.
func (u usageServices) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		u.Writer.Run(ctx)
	}()
	return func() {
		cancel()
		wg.Wait()
	}
}

// newUsageLedger returns a ledger whose source is unique to each start of the
// process, also when the settings fix the instance id.
func newUsageLedger(s settings.Settings) *account.Ledger {
	return account.NewLedger(s.Instance+"."+uuid.NewString()[:8], s.EndpointKind)
}

func newUsageWriter(s settings.Settings, network netx.Network, ledger *account.Ledger, registry *meter.Registry) *account.Writer {
	client := httpapi.New(s.PlatformURL, netx.HTTP1Client(network))
	return account.NewWriter(ledger, client, time.Duration(s.Usage.Hold), registry)
}

func newJournal(s settings.Settings) *journal.Journal {
	return journal.New(s.Instance, journalSize)
}

func newObserver(s settings.Settings, j *journal.Journal) *explain.Observer {
	return explain.NewObserver(j, s.Endpoint)
}

// Journal returns the agent's journal, which also records the process's log lines.
func (a *Agent) Journal() *journal.Journal { return a.usage.Journal }
