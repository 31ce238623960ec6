package experiment

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// smallFleet returns a third of Shedline's engines, to keep runs short.
func smallFleet(t *testing.T) simFleet {
	t.Helper()
	fleets, err := selectFleets("shedline")
	require.NoError(t, err)
	small := fleets[0]
	small.engines = nil
	for i, engine := range fleets[0].engines {
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
	trace.WindowEnd = trace.Seconds
	return trace
}

// TestNoPolicyExceedsTheBound guards against an invalid bound and against lost or
// duplicated requests: it runs policies over short traces with a batch burst and
// with crashes. Runs with the same seed must be identical.
func TestNoPolicyExceedsTheBound(t *testing.T) {
	fleet := smallFleet(t)
	for _, name := range []string{"recall", "third"} {
		trace := shortTrace(t, name)
		bound := clairvoyantBound(fleet, trace, generate(trace, fleet, 1))
		for _, policy := range Policies() {
			if policy.Name != "round-robin" && policy.Name != "ours" && policy.Name != "follow-roles" {
				continue
			}
			requests := generate(trace, fleet, 1)
			result := run(fleet, trace, policy, 1, requests)
			require.LessOrEqual(t, float64(result.good), bound+1e-6, "%s %s", name, policy.Name)
			require.LessOrEqual(t, result.worstShare, 1.0)
			requireEachEndsOnce(t, requests, result)
		}
	}
	trace := shortTrace(t, "third")
	first := run(fleet, trace, currentPolicy(), 1, generate(trace, fleet, 1))
	second := run(fleet, trace, currentPolicy(), 1, generate(trace, fleet, 1))
	require.Equal(t, first, second, "runs with the same seed are identical")
}

// TestOverloadKeepsSharesAndGoodput checks that the worst-served team keeps its
// fair share at twice the fleet's capacity, and that goodput at five times the
// capacity doesn't collapse below that at saturation.
func TestOverloadKeepsSharesAndGoodput(t *testing.T) {
	fleets, err := selectFleets("shedline")
	require.NoError(t, err)
	twice, err := LoadTrace("overload2")
	require.NoError(t, err)
	result := run(fleets[0], twice, currentPolicy(), 1, generate(twice, fleets[0], 1))
	require.GreaterOrEqual(t, result.worstShare, 0.87)

	fleet := smallFleet(t)
	saturated, fivefold := shortTrace(t, "overload1"), shortTrace(t, "overload5")
	atSaturation := inWindow(run(fleet, saturated, currentPolicy(), 1, generate(saturated, fleet, 1)), saturated)
	underOverload := inWindow(run(fleet, fivefold, currentPolicy(), 1, generate(fivefold, fleet, 1)), fivefold)
	require.GreaterOrEqual(t, underOverload, 0.95*atSaturation)
}

// requireEachEndsOnce checks that each request ends exactly once: completed,
// refused or abandoned.
func requireEachEndsOnce(t *testing.T, requests []*request, result *Result) {
	t.Helper()
	done := 0
	for _, r := range requests {
		require.LessOrEqual(t, r.emittedTokens, r.outputTokens, "no token is delivered twice")
		if r.done {
			done++
			require.Equal(t, r.outputTokens, r.emittedTokens)
		}
	}
	require.Equal(t, len(requests), done+result.refused+result.abandoned)
}

// TestBoundIsTight compares the bound with the exact optimum of equal jobs in a
// single bucket.
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
		bound := tightestBound([]float64{capacity}, jobs)
		require.GreaterOrEqual(t, bound, exact-1e-6)
		require.LessOrEqual(t, bound, exact*1.05+1)
	}
}

func BenchmarkRun(b *testing.B) {
	fleets, _ := selectFleets("shedline")
	trace, _ := LoadTrace("steady")
	policies := Policies()
	for b.Loop() {
		run(fleets[0], trace, policies[len(policies)-1], 1, generate(trace, fleets[0], 1))
	}
}
