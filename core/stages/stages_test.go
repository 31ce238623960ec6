package stages_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/stages"
)

const sampleEvery = 250 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// watched returns a planner that saw views, one each 250 ms.
func watched(views ...stages.View) *stages.Planner {
	p := &stages.Planner{}
	watch(p, start, views)
	return p
}

// watch has a planner see views, one each 250 ms.
func watch(p *stages.Planner, from time.Time, views []stages.View) {
	for i, view := range views {
		p.Observe(from.Add(time.Duration(i)*sampleEvery), view)
	}
}

// steady is n views with a wait at the readers and streams at the producers.
func steady(n, readers, producers int, wait time.Duration, streams float64) []stages.View {
	views := make([]stages.View, n)
	for i := range views {
		views[i] = stages.View{Readers: readers, Producers: producers, Slots: 64 * producers, Streams: streams, Wait: wait}
	}
	return views
}

// Pattern: long prompts, short answers, a large fleet. Prompts queue at a third
// of the engines while the others' slots are almost empty: some of these read.
func TestIdleProducersReadWhenPromptsQueue(t *testing.T) {
	order, ok := watched(steady(16, 15, 34, 150*time.Millisecond, 120)...).Plan()
	require.True(t, ok)
	require.True(t, order.ToRead)
	require.Equal(t, 4, order.Count)
}

// Pattern: the mix swings to long answers within seconds. Producers are kept
// when the slots of the past seconds leave no room for that, and never are more
// than a share of all engines readers.
func TestProducersAreKeptForASwingToLongAnswers(t *testing.T) {
	_, ok := watched(steady(16, 15, 34, 150*time.Millisecond, 300)...).Plan()
	require.False(t, ok, "slots are in use")
	views := steady(30, 15, 34, 150*time.Millisecond, 120)
	views[4].Streams = 400
	_, ok = watched(views...).Plan()
	require.False(t, ok, "a swing was seen 6 s ago")
	_, ok = watched(steady(16, 20, 29, 150*time.Millisecond, 60)...).Plan()
	require.False(t, ok, "as many engines read as may")
	_, ok = watched(steady(16, 4, 5, 500*time.Millisecond, 2)...).Plan()
	require.False(t, ok, "a small fleet")
}

// Pattern: a short burst of prompts, or none. No engine changes for less than
// what its change costs.
func TestNoChangeWithoutLastingNeed(t *testing.T) {
	_, ok := watched(steady(16, 15, 34, 10*time.Millisecond, 120)...).Plan()
	require.False(t, ok, "readers keep up")
	_, ok = watched(steady(8, 15, 34, 300*time.Millisecond, 120)...).Plan()
	require.False(t, ok, "seen for two seconds")
	p := watched(steady(16, 15, 34, 150*time.Millisecond, 120)...)
	p.Forget()
	_, ok = p.Plan()
	require.False(t, ok, "what was seen before a change tells nothing after it")
}

// Pattern: long answers after engines were turned to reading. Some are given
// back, down to the share that a fleet starts with.
func TestReadersAreGivenBackWhenSlotsAreScarce(t *testing.T) {
	order, ok := watched(steady(16, 20, 29, 0, 1500)...).Plan()
	require.True(t, ok)
	require.False(t, order.ToRead)
	require.Equal(t, 2, order.Count)
	_, ok = watched(steady(16, 17, 32, 0, 2000)...).Plan()
	require.False(t, ok)
}

// Pattern: all engines that produce are lost. Nothing is served until some
// readers produce, so they are asked at once.
func TestReadersProduceWhenNobodyElseDoes(t *testing.T) {
	order, ok := watched(stages.View{Readers: 3}).Plan()
	require.True(t, ok)
	require.False(t, order.ToRead)
	require.Equal(t, 1, order.Count)
	_, ok = watched(stages.View{}).Plan()
	require.False(t, ok)
}

// Engines are taken evenly from the data centres, the least loaded first.
func TestChangesAreSpreadOverDataCentres(t *testing.T) {
	var engines []stages.Engine
	for i := range 6 {
		engines = append(engines, stages.Engine{ID: fmt.Sprint("a", i), DataCentre: "a", Load: 6 - i}, stages.Engine{ID: fmt.Sprint("b", i), DataCentre: "b", Load: i})
	}
	engines = append(engines, stages.Engine{ID: "r", DataCentre: "a", Reads: true})
	var ids []string
	for _, engine := range stages.Choose(stages.Order{ToRead: true, Count: 3}, engines) {
		ids = append(ids, engine.ID)
	}
	require.Equal(t, []string{"b0", "a5", "b1"}, ids)
	require.Empty(t, stages.Choose(stages.Order{ToRead: true, Count: 2}, nil))
}

// Pattern: a fleet at rest before its load. Engines change then, since that
// costs nothing, and only as far as a swing to long answers can bear.
func TestFleetAtRestPreparesReaders(t *testing.T) {
	order, ok := watched(steady(10, 15, 34, 0, 0)...).Plan()
	require.True(t, ok)
	require.True(t, order.ToRead)
	require.Equal(t, 3, order.Count)
	_, ok = watched(steady(10, 20, 29, 0, 0)...).Plan()
	require.False(t, ok, "enough of them read")
	_, ok = watched(steady(10, 3, 6, 0, 0)...).Plan()
	require.False(t, ok, "a small fleet has none to spare")
	_, ok = watched(append(steady(4, 15, 34, 0, 1), steady(8, 15, 34, 0, 0)...)...).Plan()
	require.False(t, ok, "it ran a moment ago")
	_, ok = watched(steady(4, 15, 34, 0, 0)...).Plan()
	require.False(t, ok, "it is not known yet whether anything runs")
}

// Pattern: a large fleet at rest before a light load (the sweep at 1,000
// engines: 85 orders, which cost more than all that was served was worth). A few
// engines change, however long the rest lasts; after some load a few more may.
func TestLargeFleetAtRestChangesFewEngines(t *testing.T) {
	planner := watched(steady(10, 300, 700, 0, 0)...)
	order, ok := planner.Plan()
	require.True(t, ok)
	require.Equal(t, 8, order.Count)
	planner.Forget()
	watch(planner, start.Add(time.Minute), steady(10, 308, 692, 0, 0))
	_, ok = planner.Plan()
	require.False(t, ok, "it has prepared already")
	watch(planner, start.Add(2*time.Minute), steady(1, 308, 692, 0, 1))
	watch(planner, start.Add(3*time.Minute), steady(10, 308, 692, 0, 0))
	order, ok = planner.Plan()
	require.True(t, ok)
	require.Equal(t, 8, order.Count)
}
