package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/placement"
)

// largeFleet returns n engines in three data centres, a third of them readers.
func largeFleet(n int) []*placement.Engine {
	engines := make([]*placement.Engine, 0, n)
	for i := range n {
		stage := placement.Decode
		if i%3 == 0 {
			stage = placement.Prefill
		}
		dataCentre := [...]string{"home", "b", "c"}[i/3%3]
		engines = append(engines, placement.NewEngine(fmt.Sprint("e", i), dataCentre, stage, 64, memory, &placement.Bias{}))
	}
	return engines
}

// Pattern: thousands of engines and many prompts that share parts. A decision
// looks at some engines only; prompts with the same parts still meet at one
// engine, near home, and load spreads over many.
func TestLargeFleetKeepsHomesAndSpreads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	fleet := placement.NewFleet("home", largeFleet(3000))
	place := func(shared, own string) placement.Decision {
		p := placement.Prompt{Tokens: 10_000, Parts: []placement.Part{{ID: shared, Tokens: 6000}, {ID: own, Tokens: 4000}}}
		r := request(p, 2)
		r.Random = random.Float64
		return fleet.Decide(start, r)
	}
	home := place("hot", "0").Prefill
	require.Equal(t, "home", home.DataCentre)
	for i := range 50 {
		require.Same(t, home, place("hot", fmt.Sprint(i)).Prefill)
	}
	used := make(map[string]bool)
	for i := range 300 {
		used[place(fmt.Sprint("cold", i), "own").Prefill.ID] = true
	}
	require.Greater(t, len(used), 100)
}

// Pattern: a home fails in a large fleet. Its prompts go elsewhere and fetch
// nothing from it.
func TestLargeFleetAvoidsAHomeThatFails(t *testing.T) {
	fleet := placement.NewFleet("home", largeFleet(300))
	r := request(prompt(10_000, "hot"), 2)
	home := fleet.Decide(start, r).Prefill
	for range 5 {
		home.Health.Unreachable(start)
	}
	next := fleet.Decide(start, r)
	require.NotSame(t, home, next.Prefill)
	require.NotSame(t, home, next.Source)
}

// Pattern: the part of a large fleet that is looked at can't produce tokens. The
// rest is looked at before anybody is refused.
func TestLargeFleetIsSearchedBeforeRefusing(t *testing.T) {
	engines := largeFleet(300)
	var left *placement.Engine
	for _, engine := range engines {
		if engine.Stage != placement.Decode {
			continue
		}
		engine.Draining = true
		left = engine
	}
	left.Draining = false
	fleet := placement.NewFleet("home", engines)
	require.Same(t, left, fleet.Decide(start, request(prompt(10_000, "a"), 2)).Decode)
	require.Same(t, left, fleet.Continue(start, request(prompt(10_000, "a"), 2)))
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
