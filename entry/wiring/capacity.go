package wiring

import (
	"context"
	"sync"

	"flamingospar.org/base/netx"
	"flamingospar.org/core/rendezvous"
	"flamingospar.org/entry/capacityorders"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/entry/settings"
	"flamingospar.org/entry/spending"
	"flamingospar.org/platform/httpapi"
)

// leaseCandidates is how many entries look at a lease often.
const leaseCandidates = 3

// capacityDuties order endpoints, one for each data centre that this entry may
// order for.
type capacityDuties struct {
	keepers []*leasekeeper.Keeper
	duties  []*capacityorders.Reconciler
}

// bookTargets orders what the demand for each model asks for.
type bookTargets struct{ book *spending.Planner }

// Targets implements capacityorders.Targets. The kind of an order is the model.
func (b bookTargets) Targets(dataCentre string) []capacityorders.Target {
	var targets []capacityorders.Target
	for model, count := range b.book.Targets(dataCentre) {
		targets = append(targets, capacityorders.Target{Kind: model, Count: count})
	}
	return targets
}

func newTargets(book *spending.Planner) capacityorders.Targets { return bookTargets{book: book} }

func newCapacityDuties(s settings.Settings, network netx.Network, c *httpapi.Client, targets capacityorders.Targets) *capacityDuties {
	dataCentres := s.Authority.CapacityDataCentres
	if len(dataCentres) == 0 {
		dataCentres = []string{s.DataCentre}
	}
	all := new(capacityDuties)
	for _, dataCentre := range dataCentres {
		name := capacityorders.LeaseName(dataCentre)
		keeper := leasekeeper.New(c, name, s.Instance)
		allow := func() error { return keeper.CheckHeld() }
		orders := httpapi.New(s.PlatformURL, netx.HTTP1Client(netx.Guarded(network, allow)))
		all.keepers = append(all.keepers, keeper)
		all.duties = append(all.duties, capacityorders.New(dataCentre, s.Instance, c, orders, keeper, targets))
	}
	return all
}

func newUsageKeeper(s settings.Settings, c *httpapi.Client, roster *fleet.Roster) *leasekeeper.Keeper {
	keeper := leasekeeper.New(c, usageLease, s.Instance)
	keeper.SetCandidateFunc(func() bool { return isCandidate(roster, usageLease) })
	return keeper
}

// isCandidate reports whether this entry is among the first for a lease that
// every entry may take. A lease of some entries only has no candidates: the
// first of all entries may be none of those.
func isCandidate(roster *fleet.Roster, lease string) bool {
	return rendezvous.Chosen(lease, roster.Self(), roster.Others(), leaseCandidates)
}

// Run keeps the leases and orders endpoints until ctx ends.
func (d *capacityDuties) Run(ctx context.Context) {
	var running sync.WaitGroup
	for i := range d.duties {
		for _, run := range []func(context.Context){d.keepers[i].Run, d.duties[i].Run} {
			running.Add(1)
			go func() {
				defer running.Done()
				run(ctx)
			}()
		}
	}
	running.Wait()
}
