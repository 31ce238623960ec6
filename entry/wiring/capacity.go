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

// leaseCandidateCount is the number of entries that read a lease at the short
// interval. The others are on standby and read it less often.
const leaseCandidateCount = 3

// capacityReconcilers orders endpoints. It has one lease keeper and one reconciler
// for each data centre that this entry may order for.
type capacityReconcilers struct {
	keepers     []*leasekeeper.Keeper
	reconcilers []*capacityorders.Reconciler
}

// plannerTargets provides the planned number of endpoints of each model as targets
// for orders.
type plannerTargets struct{ planner *spending.Planner }

// Targets implements capacityorders.Targets, with the model as the kind of order.
func (t plannerTargets) Targets(dataCentre string) []capacityorders.Target {
	var targets []capacityorders.Target
	for model, count := range t.planner.Targets(dataCentre) {
		targets = append(targets, capacityorders.Target{Kind: model, Count: count})
	}
	return targets
}

func newTargets(planner *spending.Planner) capacityorders.Targets {
	return plannerTargets{planner: planner}
}

func newCapacityReconcilers(s settings.Settings, network netx.Network, c *httpapi.Client, targets capacityorders.Targets) *capacityReconcilers {
	dataCentres := s.Authority.CapacityDataCentres
	if len(dataCentres) == 0 {
		dataCentres = []string{s.DataCentre}
	}
	all := new(capacityReconcilers)
	for _, dataCentre := range dataCentres {
		name := capacityorders.LeaseName(dataCentre)
		keeper := leasekeeper.New(c, name, s.Instance)
		allow := func() error { return keeper.CheckHeld() }
		orders := httpapi.New(s.PlatformURL, netx.HTTP1Client(netx.Guarded(network, allow)))
		all.keepers = append(all.keepers, keeper)
		all.reconcilers = append(all.reconcilers, capacityorders.New(dataCentre, s.Instance, c, orders, keeper, targets))
	}
	return all
}

func newUsageLeaseKeeper(s settings.Settings, c *httpapi.Client, roster *fleet.Roster) *leasekeeper.Keeper {
	keeper := leasekeeper.New(c, usageLeaseName, s.Instance)
	keeper.SetCandidateFunc(func() bool { return isCandidate(roster, usageLeaseName) })
	return keeper
}

// isCandidate reports whether this entry is among the first leaseCandidateCount
// entries in the rendezvous ranking for lease. It must be used only for a lease
// that every entry may acquire. If only some entries may, the first of all entries
// might include none of them.
func isCandidate(roster *fleet.Roster, lease string) bool {
	return rendezvous.Chosen(lease, roster.Self(), roster.Others(), leaseCandidateCount)
}

// Run maintains the leases and reconciles the orders until ctx ends.
func (c *capacityReconcilers) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range c.reconcilers {
		for _, run := range []func(context.Context){c.keepers[i].Run, c.reconcilers[i].Run} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				run(ctx)
			}()
		}
	}
	wg.Wait()
}
