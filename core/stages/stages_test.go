package stages_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/stages"
)

const sampleInterval = 250 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// observed returns a planner that has recorded views at sampleInterval.
func observed(views ...stages.View) *stages.Planner {
	p := &stages.Planner{}
	observe(p, start, views)
	return p
}

// observe records views in a planner at sampleInterval.
func observe(p *stages.Planner, from time.Time, views []stages.View) {
	for i, view := range views {
		p.Observe(from.Add(time.Duration(i)*sampleInterval), view)
	}
}

// constantViews returns n equal views with a wait at the prefill engines and streams
// at the decode engines.
func constantViews(n, prefillEngines, decodeEngines int, wait time.Duration, streams float64) []stages.View {
	views := make([]stages.View, n)
	for i := range views {
		views[i] = stages.View{PrefillEngines: prefillEngines, DecodeEngines: decodeEngines, DecodeSlots: 64 * decodeEngines, Streams: streams, PrefillWait: wait}
	}
	return views
}

// With long prompts and short answers on a large fleet, prompts queue at the third
// of the engines that run prefill while most slots of the others are free. Some of
// the others move to prefill.
func TestIdleDecodeEnginesMoveToPrefillWhenPromptsQueue(t *testing.T) {
	order, ok := observed(constantViews(16, 15, 34, 150*time.Millisecond, 120)...).Plan()
	require.True(t, ok)
	require.True(t, order.ToPrefill)
	require.Equal(t, 4, order.Count)
}

// The load shifts to long answers within seconds. Decode engines are kept if the
// slot use of the past seconds leaves no room for that, and the share of prefill
// engines is bounded.
func TestDecodeEnginesAreKeptForAShiftToLongAnswers(t *testing.T) {
	_, ok := observed(constantViews(16, 15, 34, 150*time.Millisecond, 300)...).Plan()
	require.False(t, ok, "slots are in use")
	views := constantViews(30, 15, 34, 150*time.Millisecond, 120)
	views[4].Streams = 400
	_, ok = observed(views...).Plan()
	require.False(t, ok, "the load shifted 6 s ago")
	_, ok = observed(constantViews(16, 20, 29, 150*time.Millisecond, 60)...).Plan()
	require.False(t, ok, "the share of prefill engines is at its bound")
	_, ok = observed(constantViews(16, 4, 5, 500*time.Millisecond, 2)...).Plan()
	require.False(t, ok, "a small fleet")
}

// No engine changes for a short burst of prompts or a short queue, which are worth
// less than the cost of a change.
func TestNoChangeWithoutSustainedQueue(t *testing.T) {
	_, ok := observed(constantViews(16, 15, 34, 10*time.Millisecond, 120)...).Plan()
	require.False(t, ok, "the prefill engines keep up")
	_, ok = observed(constantViews(8, 15, 34, 300*time.Millisecond, 120)...).Plan()
	require.False(t, ok, "observed for only two seconds")
	p := observed(constantViews(16, 15, 34, 150*time.Millisecond, 120)...)
	p.DropSamples()
	_, ok = p.Plan()
	require.False(t, ok, "views from before a change do not count after it")
}

// When long answers follow after engines moved to prefill, some of these return to
// decode, down to the share of prefill engines that a fleet starts with.
func TestPrefillEnginesReturnToDecodeWhenSlotsAreScarce(t *testing.T) {
	order, ok := observed(constantViews(16, 20, 29, 0, 1500)...).Plan()
	require.True(t, ok)
	require.False(t, order.ToPrefill)
	require.Equal(t, 2, order.Count)
	_, ok = observed(constantViews(16, 17, 32, 0, 2000)...).Plan()
	require.False(t, ok)
}

// When all decode engines are lost, nothing is served until some prefill engines
// move to decode, so the order does not wait for more views.
func TestPrefillEnginesMoveToDecodeWhenNoneIsLeft(t *testing.T) {
	order, ok := observed(stages.View{PrefillEngines: 3}).Plan()
	require.True(t, ok)
	require.False(t, order.ToPrefill)
	require.Equal(t, 1, order.Count)
	_, ok = observed(stages.View{}).Plan()
	require.False(t, ok)
}

// Engines are taken evenly from the data centres, the least loaded first.
func TestChangesAreSpreadOverDataCentres(t *testing.T) {
	var engines []stages.Engine
	for i := range 6 {
		engines = append(engines, stages.Engine{ID: fmt.Sprint("a", i), DataCentre: "a", Load: 6 - i}, stages.Engine{ID: fmt.Sprint("b", i), DataCentre: "b", Load: i})
	}
	engines = append(engines, stages.Engine{ID: "r", DataCentre: "a", Prefill: true})
	var ids []string
	for _, engine := range stages.Choose(stages.Order{ToPrefill: true, Count: 3}, engines) {
		ids = append(ids, engine.ID)
	}
	require.Equal(t, []string{"b0", "a5", "b1"}, ids)
	require.Empty(t, stages.Choose(stages.Order{ToPrefill: true, Count: 2}, nil))
}

// Engines of an idle fleet move to prefill before any load arrives, when a change
// takes no capacity from requests, and only as many as leave enough decode engines
// for a shift to long answers.
func TestIdleFleetPreparesPrefillEngines(t *testing.T) {
	order, ok := observed(constantViews(10, 15, 34, 0, 0)...).Plan()
	require.True(t, ok)
	require.True(t, order.ToPrefill)
	require.Equal(t, 3, order.Count)
	_, ok = observed(constantViews(10, 20, 29, 0, 0)...).Plan()
	require.False(t, ok, "there are enough prefill engines")
	_, ok = observed(constantViews(10, 3, 6, 0, 0)...).Plan()
	require.False(t, ok, "a small fleet has no engine to spare")
	_, ok = observed(append(constantViews(4, 15, 34, 0, 1), constantViews(8, 15, 34, 0, 0)...)...).Plan()
	require.False(t, ok, "a stream ran a moment ago")
	_, ok = observed(constantViews(4, 15, 34, 0, 0)...).Plan()
	require.False(t, ok, "not observed for long enough to be idle")
}

// Without maxIdleChanges, an idle fleet of 1,000 engines got 85 orders before a light
// load, which cost more than the value of all requests served. Only a few engines
// change, however long the fleet is idle. After some load a few more may change.
func TestIdleLargeFleetChangesFewEngines(t *testing.T) {
	planner := observed(constantViews(10, 300, 700, 0, 0)...)
	order, ok := planner.Plan()
	require.True(t, ok)
	require.Equal(t, 8, order.Count)
	planner.DropSamples()
	observe(planner, start.Add(time.Minute), constantViews(10, 308, 692, 0, 0))
	_, ok = planner.Plan()
	require.False(t, ok, "the engines have changed already")
	observe(planner, start.Add(2*time.Minute), constantViews(1, 308, 692, 0, 1))
	observe(planner, start.Add(3*time.Minute), constantViews(10, 308, 692, 0, 0))
	order, ok = planner.Plan()
	require.True(t, ok)
	require.Equal(t, 8, order.Count)
}
