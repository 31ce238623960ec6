package fair

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRecentServiceAgainstModel compares OverShare with sums over all teams and
// checks that never all teams are over their share.
func TestRecentServiceAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRecentService()
		service := make(map[string]float64)
		weights := make(map[string]float64)
		now := 0.0
		for range 100 {
			passed := rapid.Float64Range(0, 3).Draw(t, "passed")
			now += passed
			for name := range service {
				service[name] *= decay(passed)
			}
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team")
			given := rapid.Float64Range(0.01, 2).Draw(t, "service")
			weights[name] = rapid.Float64Range(0.5, 4).Draw(t, "weight")
			service[name] += given
			r.Record(now, name, weights[name], given)
			requireOverShare(t, r, now, service, weights)
		}
	})
}

func requireOverShare(t *rapid.T, r *RecentService, now float64, service, weights map[string]float64) {
	total, weight := 0.0, 0.0
	for name := range service {
		total += service[name]
		weight += weights[name]
	}
	over := 0
	for name := range service {
		const rounding = 1e-9
		excess := service[name]/weights[name] - total/weight
		if excess > rounding {
			require.True(t, r.OverShare(now, name))
			over++
		}
		if excess < -rounding {
			require.False(t, r.OverShare(now, name))
		}
	}
	require.True(t, over == 0 || over < len(service))
	require.False(t, r.OverShare(now, "unknown"))
}

func TestRecentServiceDropsIdleTeams(t *testing.T) {
	r := NewRecentService()
	for i := range 22_000 {
		r.Record(float64(i), fmt.Sprint("team", i), 1, 0.1)
	}
	require.Less(t, len(r.teams), 8*firstSweepTeams)
}
