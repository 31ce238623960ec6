package experiment

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// smallSite is a third of Shedline's fleet, so that runs are short.
func smallSite(t *testing.T) site {
	t.Helper()
	sites, err := selectSites("shedline")
	require.NoError(t, err)
	small := sites[0]
	small.engines = nil
	for i, engine := range sites[0].engines {
		if i%3 == 0 {
			small.engines = append(small.engines, engine)
		}
	}
	return small
}

func shortTrace(t *testing.T, name string) Trace {
	t.Helper()
	trace, err := LoadTrace(name)
	require.NoError(t, err)
	trace.Seconds = 55
	trace.To = trace.Seconds
	return trace
}

// TestNoPolicyPassesTheBound runs policies over short traces and checks that
// the bound holds and that nothing is lost.
func TestNoPolicyPassesTheBound(t *testing.T) {
	fleet := smallSite(t)
	for _, name := range []string{"recall", "third"} {
		trace := shortTrace(t, name)
		bound := clairvoyant(fleet, trace, generate(trace, fleet, 1))
		for _, policy := range Policies() {
			if policy.Name != "round-robin" && policy.Name != "ours" && policy.Name != "follow-roles" {
				continue
			}
			requests := generate(trace, fleet, 1)
			result := run(fleet, trace, policy, 1, requests)
			require.LessOrEqual(t, float64(result.good), bound+1e-6, "%s %s", name, policy.Name)
			require.LessOrEqual(t, result.worstShare, 1.0)
			checkEnds(t, requests, result)
		}
	}
	trace := shortTrace(t, "third")
	first := run(fleet, trace, ours(), 1, generate(trace, fleet, 1))
	again := run(fleet, trace, ours(), 1, generate(trace, fleet, 1))
	require.Equal(t, first, again, "the same seed gives the same run")
}

// TestOverloadKeepsSharesAndGoodput: at twice the fleet's best the worst-served
// team keeps its share, and at five times the goodput is that at saturation.
func TestOverloadKeepsSharesAndGoodput(t *testing.T) {
	sites, err := selectSites("shedline")
	require.NoError(t, err)
	twice, err := LoadTrace("overload2")
	require.NoError(t, err)
	result := run(sites[0], twice, ours(), 1, generate(twice, sites[0], 1))
	require.GreaterOrEqual(t, result.worstShare, 0.87)

	fleet := smallSite(t)
	saturated, fivefold := shortTrace(t, "overload1"), shortTrace(t, "overload5")
	least := inWindow(run(fleet, saturated, ours(), 1, generate(saturated, fleet, 1)), saturated)
	held := inWindow(run(fleet, fivefold, ours(), 1, generate(fivefold, fleet, 1)), fivefold)
	require.GreaterOrEqual(t, held, 0.95*least)
}

// checkEnds: each request ends once, whole or refused.
func checkEnds(t *testing.T, requests []*request, result *Result) {
	t.Helper()
	done := 0
	for _, r := range requests {
		require.LessOrEqual(t, r.emitted, r.output, "no token twice")
		if r.done {
			done++
			require.Equal(t, r.output, r.emitted)
		}
	}
	require.Equal(t, len(requests), done+result.refused+result.abandoned)
}

// TestBoundIsTight compares the bound with the exact optimum of small cases:
// equal jobs in one bucket.
func TestBoundIsTight(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 6))
	for range 20 {
		work := 0.05 + random.Float64()
		n := 1 + random.IntN(200)
		jobs := make([]job, n)
		for i := range jobs {
			jobs[i] = job{work: work}
		}
		capacity := 5 + 10*random.Float64()
		exact := min(float64(n), capacity/work)
		bound := boundOf([]float64{capacity}, jobs)
		require.GreaterOrEqual(t, bound, exact-1e-6)
		require.LessOrEqual(t, bound, exact*1.05+1)
	}
}

func BenchmarkRun(b *testing.B) {
	sites, _ := selectSites("shedline")
	trace, _ := LoadTrace("steady")
	policies := Policies()
	for b.Loop() {
		run(sites[0], trace, policies[len(policies)-1], 1, generate(trace, sites[0], 1))
	}
}
