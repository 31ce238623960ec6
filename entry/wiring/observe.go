package wiring

import (
	"time"

	"go.uber.org/dig"

	"flamingospar.org/base/journal"
	"flamingospar.org/base/netx"
	"flamingospar.org/entry/account"
	"flamingospar.org/entry/explain"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/entry/observe"
	"flamingospar.org/entry/operator"
	"flamingospar.org/entry/settings"
	"flamingospar.org/platform/httpapi"
)

// observeParts are what operators' questions are answered from.
type observeParts struct {
	dig.In

	Journal  *journal.Journal
	Observer *explain.Observer
	Counts   *account.Counts
	Platform *httpapi.Client
	Roster   *fleet.Roster
}

func newJournal(s settings.Settings) *journal.Journal {
	return journal.New(s.Instance, journal.DefaultCapacity)
}

// observeServer answers for this entry and asks the others.
func (e *Entry) observeServer() *observe.Server {
	return &observe.Server{
		Identity: observe.Identity{
			Instance:   e.Settings.Instance,
			DataCentre: e.Settings.DataCentre,
			Window:     time.Duration(e.Settings.UsageWindow),
		},
		Journal: e.Observe.Journal,
		Meter:   e.Meter,
		Config:  e.Config,
		Fleet:   e.Fleet,
		Counts:  e.Observe.Counts,
		Leases:  []observe.NamedLease{{Name: usageLease, Lease: e.Lease}},
		Ready:   e.Ready,
		Peers:   observe.NewPeers(e.Observe.Roster, netx.HTTP2Client(e.Peers)).All,
	}
}

// mountObserve adds the read-only questions to the operators' interface and
// lets the chain note what it decides.
func (e *Entry) mountObserve(api *operator.API) {
	e.Chain.SetObserver(e.Observe.Observer)
	api.Mount(observe.NewAPI(e.observeServer(), e.Observe.Platform).Mount)
}

// Journal returns the entry's journal, for the process' log lines.
func (e *Entry) Journal() *journal.Journal { return e.Observe.Journal }
