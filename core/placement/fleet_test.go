package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/placement"
)

// largeFleet returns n engines in three data centres, a third of them for prefill.
func largeFleet(n int) []*placement.Engine {
	engines := make([]*placement.Engine, 0, n)
	for i := range n {
		stage := placement.Decode
		if i%3 == 0 {
			stage = placement.Prefill
		}
		dataCentre := [...]string{"home", "b", "c"}[i/3%3]
		engines = append(engines, placement.NewEngine(fmt.Sprint("e", i), dataCentre, stage, 64, memoryTokens, &placement.Bias{}))
	}
	return engines
}

// In a fleet of thousands of engines, a decision evaluates only a sample. Prompts
// with the same shared prefix still reach the same local engine, and the load of
// different prefixes spreads over many engines.
func TestLargeFleetKeepsPrefixAffinityAndSpreadsLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	fleet := placement.NewFleet("home", largeFleet(3000))
	place := func(shared, own string) placement.Decision {
		p := placement.Prompt{Tokens: 10_000, Parts: []placement.Part{{ID: shared, Tokens: 6000}, {ID: own, Tokens: 4000}}}
		r := request(p, 2)
		r.Random = random.Float64
		return fleet.Decide(start, r)
	}
	preferred := place("hot", "0").Prefill
	require.Equal(t, "home", preferred.DataCentre)
	for i := range 50 {
		require.Same(t, preferred, place("hot", fmt.Sprint(i)).Prefill)
	}
	used := make(map[string]bool)
	for i := range 300 {
		used[place(fmt.Sprint("cold", i), "own").Prefill.ID] = true
	}
	require.Greater(t, len(used), 100)
}

// When an affinity engine in a large fleet fails, its prompts go to another engine
// and don't fetch from the failed one.
func TestLargeFleetAvoidsAFailingAffinityEngine(t *testing.T) {
	fleet := placement.NewFleet("home", largeFleet(300))
	r := request(prompt(10_000, "hot"), 2)
	preferred := fleet.Decide(start, r).Prefill
	for range 5 {
		preferred.Health.Unreachable(start)
	}
	next := fleet.Decide(start, r)
	require.NotSame(t, preferred, next.Prefill)
	require.NotSame(t, preferred, next.Source)
}

// When no engine in the sample of a large fleet can decode, all engines are evaluated
// before a request is refused.
func TestLargeFleetIsFullyScannedBeforeRefusing(t *testing.T) {
	engines := largeFleet(300)
	var remaining *placement.Engine
	for _, engine := range engines {
		if engine.Stage != placement.Decode {
			continue
		}
		engine.Draining = true
		remaining = engine
	}
	remaining.Draining = false
	fleet := placement.NewFleet("home", engines)
	require.Same(t, remaining, fleet.Decide(start, request(prompt(10_000, "a"), 2)).Decode)
	require.Same(t, remaining, fleet.ChooseDecode(start, request(prompt(10_000, "a"), 2)))
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{12, 50, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fleet := placement.NewFleet("home", largeFleet(n))
			r := request(prompt(10_000, "a"), 2)
			r.Random = rand.Float64
			for i := range b.N {
				fleet.Decide(start.Add(time.Duration(i)*time.Millisecond), r)
			}
		})
	}
}
