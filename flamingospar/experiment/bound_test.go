package experiment

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNoPolicyPassesTheBound runs policies over short traces and checks that
// the bound holds and that nothing is lost.
func TestNoPolicyPassesTheBound(t *testing.T) {
	sites, err := selectSites("shedline")
	require.NoError(t, err)
	for _, name := range []string{"steady", "swing", "recall", "third", "overload2"} {
		trace, err := LoadTrace(name)
		require.NoError(t, err)
		trace.Seconds = min(trace.Seconds, 60)
		trace.To = trace.Seconds
		for _, policy := range Policies() {
			if policy.Name != "round-robin" && policy.Name != "ours" && policy.Name != "follow-roles" {
				continue
			}
			requests := generate(trace, sites[0], 1)
			result := run(sites[0], trace, policy, 1, requests)
			bound := clairvoyant(sites[0], trace, generate(trace, sites[0], 1))
			require.LessOrEqual(t, float64(result.good), bound+1e-6, "%s %s", name, policy.Name)
			require.LessOrEqual(t, result.worstShare, 1.0)
			checkEnds(t, requests, result)
			again := run(sites[0], trace, policy, 1, generate(trace, sites[0], 1))
			require.Equal(t, result.good, again.good, "the same seed gives the same run")
		}
	}
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
