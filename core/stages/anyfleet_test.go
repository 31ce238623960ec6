package stages_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/stages"
)

// Times of a randomFleet.
const (
	eventfulTime = 20 * time.Second
	quietTime    = 30 * time.Second
	// settledTime is the last part of quietTime, in which no version is short of decode engines.
	settledTime  = 10 * time.Second
	changeTime   = 3 * time.Second
	orderSpacing = 4 * time.Second
	lostOrder    = 13 * time.Second // How long an engine counts as changed whose order is lost.
)

// randomEngine is an engine whose stage changes as it is ordered.
type randomEngine struct {
	stages.Engine
	downUntil, changedAt time.Time
	orderLost            bool
}

// randomFleet plays orders against engines that crash, leave and are replaced at random.
type randomFleet struct {
	random    *rand.Rand
	now       time.Time
	engines   []*randomEngine
	started   int
	versions  int
	planner   stages.Planner
	notBefore time.Time
}

func newRandomFleet(seed uint64) *randomFleet {
	f := &randomFleet{random: rand.New(rand.NewPCG(seed, 1)), now: start}
	f.versions = 1 + f.random.IntN(5)
	for range 2 + f.random.IntN(40) {
		f.add(f.random.IntN(f.versions))
	}
	return f
}

func (f *randomFleet) add(version int) {
	f.started++
	f.engines = append(f.engines, &randomEngine{Engine: stages.Engine{
		ID: fmt.Sprintf("e-%03d", f.started), DataCentre: fmt.Sprint("dc-", f.random.IntN(4)), Version: fmt.Sprint("v", version), Prefill: f.random.IntN(2) == 0, Load: f.random.IntN(20),
	}})
}

// disturb has an engine crash, leave, be replaced by one of a newer version, or join.
func (f *randomFleet) disturb() {
	if len(f.engines) == 0 || f.random.IntN(8) > 0 {
		return
	}
	i := f.random.IntN(len(f.engines))
	switch f.random.IntN(4) {
	case 0:
		f.engines[i].downUntil = f.now.Add(2*time.Second + time.Duration(f.random.Int64N(int64(3*time.Second))))
	case 1:
		f.engines = slices.Delete(f.engines, i, i+1)
	case 2:
		f.engines = slices.Delete(f.engines, i, i+1)
		f.add(f.versions)
	default:
		f.add(f.random.IntN(f.versions + 1))
	}
}

// list returns the engines as the holder of the duties sees them.
func (f *randomFleet) list() []stages.Engine {
	list := make([]stages.Engine, 0, len(f.engines))
	for _, e := range f.engines {
		if e.Changing && !f.now.Before(e.changedAt) {
			if e.orderLost {
				e.Prefill = !e.Prefill
			}
			e.Changing, e.orderLost = false, false
		}
		seen := e.Engine
		seen.Down = f.now.Before(e.downUntil)
		seen.NoOrders = seen.Down || seen.Changing
		list = append(list, seen)
	}
	return list
}

// step makes one step, and returns whether orders for versions were given.
func (f *randomFleet) step(mayLose bool) bool {
	f.now = f.now.Add(sampleInterval)
	list := f.list()
	view := viewOf(list)
	view.DecodeSlots = 64 * view.DecodeEngines
	switch f.now.Unix() / 10 % 3 {
	case 0:
		view.PrefillWait = 200 * time.Millisecond
	case 1:
		view.Streams = float64(view.DecodeSlots)
	}
	f.planner.Observe(f.now, view)
	if f.now.Before(f.notBefore) {
		return false
	}
	orders := f.planner.PlanVersions()
	forVersions := len(orders) > 0
	if order, ok := f.planner.Plan(); ok && !forVersions {
		orders = append(orders, order)
	}
	for _, order := range orders {
		f.carryOut(order, list, mayLose)
	}
	return forVersions
}

func (f *randomFleet) carryOut(order stages.Order, list []stages.Engine, mayLose bool) {
	f.notBefore = f.now.Add(orderSpacing)
	f.planner.DropSamples()
	for _, chosen := range stages.Choose(order, list) {
		i := slices.IndexFunc(f.engines, func(e *randomEngine) bool { return e.ID == chosen.ID })
		e := f.engines[i]
		e.Prefill, e.Changing, e.changedAt = order.ToPrefill, true, f.now.Add(changeTime)
		if mayLose && f.random.IntN(4) == 0 {
			e.orderLost, e.changedAt = true, f.now.Add(lostOrder)
		}
	}
}

// Fleets of any number of versions of any size, in which engines crash, leave, join and are replaced, and
// orders by load and lost orders are under way. A version was stranded, or was ordered for ever.
func TestVersionsOfAnyFleetKeepTheirReserve(t *testing.T) {
	for seed := range uint64(400) {
		f := newRandomFleet(seed)
		for range eventfulTime / sampleInterval {
			f.disturb()
			f.step(true)
		}
		for range (quietTime - settledTime) / sampleInterval {
			f.step(false)
		}
		for range settledTime / sampleInterval {
			require.False(t, f.step(false), "seed %d: still short: %+v", seed, stages.CountVersions(f.list()))
		}
		list := f.list()
		if len(stages.CountVersions(list)) > 1 {
			requireStreamsGoOn(t, list)
		}
	}
}
