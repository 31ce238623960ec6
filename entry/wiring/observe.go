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

// observeParams are the dependencies of the observe server and API.
type observeParams struct {
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

// newObserveServer returns the observe server of this entry, which also queries the
// other entries.
func (e *Entry) newObserveServer() *observe.Server {
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
		Leases:  []observe.NamedLease{{Name: usageLeaseName, Lease: e.UsageLease}},
		Ready:   e.Ready,
		Peers:   observe.NewPeers(e.Observe.Roster, netx.HTTP2Client(e.Peers)).All,
	}
}

// mountObserveAPI adds the read-only observe calls to the operators' API and sets
// the observer that records the decisions of the chain.
func (e *Entry) mountObserveAPI(api *operator.API) {
	e.Chain.SetObserver(e.Observe.Observer)
	api.Mount(observe.NewAPI(e.newObserveServer(), e.Observe.Platform).Mount)
}

// Journal returns the entry's journal, to which the process adds its log lines.
func (e *Entry) Journal() *journal.Journal { return e.Observe.Journal }
