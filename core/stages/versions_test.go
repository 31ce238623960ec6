package stages_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/stages"
)

// engineGroup is a number of engines of one software version in one stage.
type engineGroup struct {
	version string
	prefill bool
	count   int
}

func decode(version string, count int) engineGroup { return engineGroup{version, false, count} }

func prefill(version string, count int) engineGroup { return engineGroup{version, true, count} }

// newEngines returns the engines of groups, spread over three data centres.
func newEngines(groups ...engineGroup) []stages.Engine {
	var engines []stages.Engine
	for _, group := range groups {
		for range group.count {
			n := len(engines)
			engines = append(engines, stages.Engine{ID: fmt.Sprintf("e-%02d", n), DataCentre: fmt.Sprintf("dc-%d", n%3), Version: group.version, Prefill: group.prefill})
		}
	}
	return engines
}

// viewOf returns a view of engines without load.
func viewOf(engines []stages.Engine) stages.View {
	view := stages.View{Versions: stages.CountVersions(engines)}
	for _, engine := range engines {
		if engine.Prefill {
			view.PrefillEngines++
		} else {
			view.DecodeEngines++
		}
	}
	return view
}

// ordersFor returns the orders for engines that have been the same for some time.
func ordersFor(engines []stages.Engine, unchangedFor time.Duration) []stages.Order {
	views := make([]stages.View, unchangedFor/sampleInterval+1)
	for i := range views {
		views[i] = viewOf(engines)
	}
	return observed(views...).PlanVersions()
}

// carryOut changes the stages of the engines chosen for orders.
func carryOut(orders []stages.Order, engines []stages.Engine) {
	for _, order := range orders {
		for _, chosen := range stages.Choose(order, engines) {
			i := slices.IndexFunc(engines, func(e stages.Engine) bool { return e.ID == chosen.ID })
			engines[i].Prefill = order.ToPrefill
		}
	}
}

// requireStreamsGoOn fails if two engines that fail at once leave a version with two engines or
// more of which none can go on with its streams.
func requireStreamsGoOn(t *testing.T, engines []stages.Engine) {
	t.Helper()
	for i := range engines {
		for j := range i {
			left := slices.Delete(slices.Clone(engines), i, i+1)
			left = slices.Delete(left, j, j+1)
			for _, version := range stages.CountVersions(left) {
				require.False(t, version.DecodeEngines == 0 && version.PrefillEngines >= 2, "engines %d and %d fail: %+v", i, j, version)
			}
		}
	}
}

const longUnchanged = 3 * time.Second

// The two decode engines of a software version crashed. Its streams were refused wherever their
// callers took them up, though two prefill engines of the version served.
func TestStreamsOfAVersionGoOnAfterTwoEnginesFail(t *testing.T) {
	engines := newEngines(decode("v1", 2), prefill("v1", 2), decode("v2", 3), prefill("v2", 2))
	orders := ordersFor(engines, longUnchanged)
	require.Len(t, orders, 1)
	require.Equal(t, stages.VersionShortOfDecode, orders[0].Reason)
	require.Equal(t, stages.VersionView{Version: "v1", PrefillEngines: 2, DecodeEngines: 2, DecodeUp: 2}, orders[0].Version)
	require.False(t, orders[0].ToPrefill)
	require.Equal(t, 1, orders[0].Count)
	carryOut(orders, engines)
	requireStreamsGoOn(t, engines)
	require.Empty(t, ordersFor(engines, longUnchanged))
}

// The same for every mix of stages of up to six engines of each of two versions: one round of orders
// is enough, and a version of several engines keeps one for prefill.
func TestStreamsGoOnForEveryMixOfStages(t *testing.T) {
	for mix := range 6 * 6 * 6 * 6 {
		d1, p1, d2, p2 := mix%6, mix/6%6, mix/36%6, mix/216
		if d1+p1 == 0 || d2+p2 == 0 {
			continue
		}
		engines := newEngines(decode("v1", d1), prefill("v1", p1), decode("v2", d2), prefill("v2", p2))
		carryOut(ordersFor(engines, longUnchanged), engines)
		requireStreamsGoOn(t, engines)
		require.Empty(t, ordersFor(engines, longUnchanged), "%d %d %d %d", d1, p1, d2, p2)
		for i, had := range []int{p1, p2} {
			version := stages.CountVersions(engines)[i]
			require.NotZero(t, version.DecodeEngines)
			if had > 0 && version.DecodeEngines+version.PrefillEngines > 1 {
				require.NotZero(t, version.PrefillEngines, "%d %d %d %d", d1, p1, d2, p2)
			}
		}
	}
}

// Orders for one version after another would leave the last of several without a reserve for
// seconds more.
func TestAllVersionsGetTheirReserveAtOnce(t *testing.T) {
	engines := newEngines(decode("v1", 2), prefill("v1", 2), decode("v2", 2), prefill("v2", 2), decode("v3", 2), prefill("v3", 2))
	orders := ordersFor(engines, longUnchanged)
	require.Len(t, orders, 3)
	carryOut(orders, engines)
	requireStreamsGoOn(t, engines)
}

// A fleet of one version is served as before: its streams may go on at any engine.
func TestOneVersionNeedsNoReserve(t *testing.T) {
	engines := newEngines(decode("v1", 2), prefill("v1", 7))
	require.Empty(t, ordersFor(engines, longUnchanged))
	for i := range 2 {
		engines[i].Down = true
	}
	require.Empty(t, ordersFor(engines, longUnchanged))
}

// A release replaces an engine each second. An order for a version that has just begun or is about
// to end would take an engine out of service for nothing.
func TestNoReserveWhileAReleaseGoesOn(t *testing.T) {
	var views []stages.View
	for replaced := range 5 {
		engines := newEngines(decode("v1", 5-replaced), prefill("v1", 4), decode("v2", replaced))
		for range time.Second / sampleInterval {
			views = append(views, viewOf(engines))
			require.Empty(t, observed(views...).PlanVersions(), "%d replaced", replaced)
		}
	}
	halted := views[len(views)-1]
	for range longUnchanged / sampleInterval {
		views = append(views, halted)
	}
	require.NotEmpty(t, observed(views...).PlanVersions(), "the release has halted")
}

// A version that has lost all its decode engines can't go on with streams until one of its prefill
// engines has changed its stage. The order waits only until a single failure of each is ruled out: a
// process whose connections were reset ordered the last prefill engine of a version that served.
func TestVersionThatLostItsDecodeEnginesSoonGetsOne(t *testing.T) {
	const ejection, lost = 500 * time.Millisecond, time.Second
	engines := newEngines(decode("v1", 3), prefill("v1", 2), decode("v2", 3), prefill("v2", 1))
	for i := range 2 {
		engines[i].Down = true
	}
	require.Empty(t, ordersFor(engines, lost), "one answers")
	engines[2].Down = true
	require.Empty(t, ordersFor(engines, ejection), "they may have failed once")
	orders := ordersFor(engines, lost)
	require.Len(t, orders, 1)
	require.Equal(t, stages.VersionLostDecode, orders[0].Reason)
	require.Equal(t, "v1", orders[0].Version.Version)
	require.Equal(t, 1, orders[0].Count)
	for _, chosen := range stages.Choose(orders[0], engines) {
		require.Equal(t, "v1", chosen.Version)
		require.True(t, chosen.Prefill)
	}
}

// While an engine changes its stage, its entry states the former one. A second engine was ordered
// for the same reason, and the version had no prefill engine left.
func TestEngineThatChangesCountsInItsNextStage(t *testing.T) {
	engines := newEngines(decode("v1", 2), prefill("v1", 2), decode("v2", 5))
	require.NotEmpty(t, ordersFor(engines, longUnchanged))
	engines[2].Prefill, engines[2].Changing, engines[2].NoOrders = false, true, true
	require.Empty(t, ordersFor(engines, longUnchanged))
	require.Equal(t, 2, stages.CountVersions(engines)[0].DecodeUp, "it generates no tokens yet")
}

// Prompts queue, and the load calls for more prefill engines. They were taken from a version that
// has just enough decode engines for its streams.
func TestLoadTakesNoEngineFromTheReserveOfAVersion(t *testing.T) {
	order := stages.Order{ToPrefill: true, Count: 4}
	engines := newEngines(decode("v1", 3), prefill("v1", 1), decode("v2", 5), prefill("v2", 1))
	chosen := stages.Choose(order, engines)
	require.Len(t, chosen, 2)
	for _, engine := range chosen {
		require.Equal(t, "v2", engine.Version)
	}
	require.Len(t, stages.Choose(order, newEngines(decode("v1", 8), prefill("v1", 2))), 4, "one version")
}

// Engines that are down, or that want no requests for a time, get no orders.
func TestEnginesThatMayGetNoOrdersAreNotChosen(t *testing.T) {
	engines := newEngines(prefill("v1", 3), decode("v2", 1))
	engines[0].NoOrders = true
	chosen := stages.Choose(stages.Order{Count: 3, Version: stages.VersionView{Version: "v1"}}, engines)
	require.Len(t, chosen, 2)
	require.NotContains(t, chosen, engines[0])
}
