package duties

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/stages"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
)

// reserveTime is the time in which a version has its reserve ordered, with a margin.
const reserveTime = 4 * time.Second

// listEngine adds an engine of a software version to a planner's list.
func listEngine(p *StagePlanner, id, address, version string, stage site.Stage) {
	p.Balancer.EndpointChanged(site.Endpoint{ID: id, Service: "model", Address: address, DataCentre: "dc-1", Slots: 8, Stage: stage, StartedMS: 1, SoftwareVersion: version})
}

// plannerOfTwoVersions returns the planner of a fleet of nine engines. Version v1 has two decode
// engines and, as given, two prefill engines.
func (f *fixture) plannerOfTwoVersions(holder string, prefillEngines ...*prefillEngine) *StagePlanner {
	p := f.planner(holder)
	for _, e := range prefillEngines {
		listEngine(p, e.endpoint.ID, e.endpoint.Address, "v1", site.Prefill)
	}
	for id, version := range map[string]string{"d1": "v1", "d2": "v1", "d3": "v2", "d4": "v2", "d5": "v2"} {
		listEngine(p, id, "127.0.0.1:1", version, site.Decode)
	}
	for _, id := range []string{"p3", "p4"} {
		listEngine(p, id, "127.0.0.1:1", "v2", site.Prefill)
	}
	return p
}

// stepFor runs steps of planners for a time, or until an order has arrived.
func stepFor(t *testing.T, span time.Duration, arrived func() bool, planners ...*StagePlanner) {
	for end := time.Now().Add(span); time.Now().Before(end) && !arrived(); {
		for _, p := range planners {
			p.step(t.Context(), "model")
		}
		time.Sleep(sampleInterval)
	}
}

// A software version had two decode engines and two prefill engines. When the former two crashed, its
// streams were refused wherever they were taken up: no order had made room for that before.
func TestVersionWithTwoDecodeEnginesGetsAThird(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	e1, e2 := newPrefillEngine(t, "e1"), newPrefillEngine(t, "e2")
	p := f.plannerOfTwoVersions("vm-1", e1, e2)
	orders := func() []stageOrder { return append(e1.receivedOrders(t), e2.receivedOrders(t)...) }
	stepFor(t, reserveTime, func() bool { return len(orders()) > 0 }, p)
	require.Equal(t, []stageOrder{{Op: "stage", Stage: "decode", Holder: "vm-1", Fence: 1, Precondition: 2}}, orders())
	stepFor(t, time.Second, func() bool { return len(orders()) > 1 }, p)
	require.Len(t, orders(), 1, "a second order was sent during the stage change")
}

// All decode engines of a version crash. No prefill engine took their place, since the other version
// had decode engines.
func TestVersionThatLostItsDecodeEnginesSoonGetsOne(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	e1, e2 := newPrefillEngine(t, "e1"), newPrefillEngine(t, "e2")
	p := f.plannerOfTwoVersions("vm-1", e1, e2)
	orders := func() []stageOrder { return append(e1.receivedOrders(t), e2.receivedOrders(t)...) }
	for _, id := range []string{"d1", "d2"} {
		for range 3 {
			p.Balancer.RecordResult(id, engines.Unreachable)
		}
	}
	stepFor(t, 3*time.Second/2, func() bool { return len(orders()) > 0 }, p)
	require.Len(t, orders(), 1)
	require.Equal(t, "decode", orders()[0].Stage)
}

// The holder of the lease stopped after its order, and so did the next one: the third ordered another
// engine of the version while the first still changed its stage.
func TestHoldersOneAfterTheOtherOrderOneEngine(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	e1, e2 := newPrefillEngine(t, "e1"), newPrefillEngine(t, "e2")
	e1.reportsChange, e2.reportsChange = true, true
	var planners []*StagePlanner
	for _, holder := range []string{"vm-1", "vm-2", "vm-3"} {
		planners = append(planners, f.plannerOfTwoVersions(holder, e1, e2))
	}
	orders := func() []stageOrder { return append(e1.receivedOrders(t), e2.receivedOrders(t)...) }
	stepFor(t, reserveTime, func() bool { return len(orders()) > 0 }, planners...)
	require.Len(t, orders(), 1)
	for i, p := range planners[1:] {
		planners[i].Lease.Release(t.Context())
		p.Lease.Step(t.Context())
		_, held := p.Lease.Fence()
		require.True(t, held)
		p.step(t.Context(), "model")
		require.Len(t, orders(), 1, p.Holder)
	}
}

// The prefill engines of a version that is short of decode engines want no requests. The service
// changed no other engine's stage meanwhile, whatever its load.
func TestVersionThatMayNotBeOrderedHoldsUpNoOrderByLoad(t *testing.T) {
	list := []stages.Engine{{ID: "d1", Version: "v1"}, {ID: "p1", Version: "v1", Prefill: true, NoOrders: true}, {ID: "p2", Version: "v1", Prefill: true, NoOrders: true}}
	for _, id := range []string{"d2", "d3", "d4", "d5", "d6", "d7", "d8", "d9", "d10"} {
		list = append(list, stages.Engine{ID: id, Version: "v2"})
	}
	planner := &stages.Planner{}
	for age := 4 * time.Second; age >= 0; age -= sampleInterval {
		view := stages.View{PrefillEngines: 2, DecodeEngines: 10, DecodeSlots: 640, Streams: 1, PrefillWait: time.Second, Versions: stages.CountVersions(list)}
		planner.Observe(time.Now().Add(-age), view)
	}
	require.NotEmpty(t, planner.PlanVersions())
	changes := plan(planner, list)
	require.Len(t, changes, 1)
	require.Equal(t, stages.Load, changes[0].order.Reason)
	require.NotEmpty(t, changes[0].engines)
}

// requireNextOrder fails unless the next order, once the service may get one again, goes to the engine
// that got none before, or to none if want is 0.
func requireNextOrder(t *testing.T, p *StagePlanner, e1, e2 *prefillEngine, want int) {
	t.Helper()
	other := func() int { return len(e2.receivedOrders(t)) }
	require.Zero(t, other())
	clear(p.serviceNotBefore)
	stepFor(t, reserveTime, func() bool { return other() > 0 }, p)
	require.Equal(t, want, other())
	require.LessOrEqual(t, len(e1.receivedOrders(t)), 1, "an engine was ordered twice")
}

// The answer to an order was lost, and the engine may carry it out for seconds. The other prefill engine of
// the version was ordered beside it.
func TestNoSecondOrderWhileTheFirstMayBeCarriedOut(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	e1, e2 := newPrefillEngine(t, "e1"), newPrefillEngine(t, "e2")
	e1.orderStatus = 0
	p := f.plannerOfTwoVersions("vm-1", e1, e2)
	stepFor(t, reserveTime, func() bool { return len(e1.receivedOrders(t)) > 0 }, p)
	requireNextOrder(t, p, e1, e2, 0)
}

// An engine refused its order, so that it keeps its stage. It counted as changed, and the version stayed short of
// decode engines.
func TestAnotherEngineIsOrderedAfterARefusal(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	e1, e2 := newPrefillEngine(t, "e1"), newPrefillEngine(t, "e2")
	e1.orderStatus = http.StatusConflict
	p := f.plannerOfTwoVersions("vm-1", e1, e2)
	stepFor(t, reserveTime, func() bool { return len(e1.receivedOrders(t)) > 0 }, p)
	requireNextOrder(t, p, e1, e2, 1)
}

// An engine did not say its state, so that it got no order. It was asked again each time in place of the other
// one.
func TestAnotherEngineIsOrderedIfOneHidesItsReport(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	e1, e2 := newPrefillEngine(t, "e1"), newPrefillEngine(t, "e2")
	e1.hidesReport = true
	p := f.plannerOfTwoVersions("vm-1", e1, e2)
	stepFor(t, reserveTime, func() bool { return len(e1.endpoint.Requests()) > 0 }, p)
	require.Empty(t, e1.receivedOrders(t))
	requireNextOrder(t, p, e1, e2, 1)
}

// Decode engines of a version leave, planned as they are. They counted as decode engines of it until they were
// gone, and the order that their streams need came too late.
func TestDecodeEnginesThatLeaveAreReplaced(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	e1, e2 := newPrefillEngine(t, "e1"), newPrefillEngine(t, "e2")
	p := f.plannerOfTwoVersions("vm-1", e1, e2)
	listEngine(p, "d0", "127.0.0.1:1", "v1", site.Decode)
	orders := func() []stageOrder { return append(e1.receivedOrders(t), e2.receivedOrders(t)...) }
	stepFor(t, reserveTime, func() bool { return len(orders()) > 0 }, p)
	require.Empty(t, orders(), "three decode engines are enough")
	p.Balancer.EndpointChanged(site.Endpoint{ID: "d0", Service: "model", Address: "127.0.0.1:1", DataCentre: "dc-1", Slots: 8, Stage: site.Decode, StartedMS: 1, SoftwareVersion: "v1", Draining: true})
	stepFor(t, reserveTime, func() bool { return len(orders()) > 0 }, p)
	require.Len(t, orders(), 1)
}
